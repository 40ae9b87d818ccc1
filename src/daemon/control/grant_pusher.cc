#include "daemon/control/grant_pusher.h"

#include <httplib.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <string>

#include "daemon/control/lease_json.h"
#include "logging/log.h"

namespace ladderstream::control {
namespace {

constexpr uint32_t kThreads = 4;

/// Connecting, sending and receiving each take at most this long.
constexpr std::chrono::milliseconds kStepTimeout(200);

void PushOnce(const authority::PushGrants& push) {
  httplib::Client client(push.backend.endpoint.host, push.backend.endpoint.port);
  client.set_connection_timeout(kStepTimeout);
  client.set_read_timeout(kStepTimeout);
  client.set_write_timeout(kStepTimeout);
  const httplib::Result result =
      client.Post("/grants", FormatGrantSet(push.grants), "application/json");
  if (!result) {
    Log(Part::kLease, Severity::kDebug, "Pushing grants failed.",
        {{"backend", push.backend.id.value()}, {"error", httplib::to_string(result.error())}});
  }
}

}  // namespace

GrantPusher::GrantPusher() : threads_(kThreads) {}

GrantPusher::~GrantPusher() { Stop(); }

void GrantPusher::Push(const authority::PushGrants& push) {
  const BackendId backend = push.backend.id;
  {
    const absl::MutexLock lock(&mutex_);
    Lane& lane = lanes_[backend];
    lane.newest = push;
    if (lane.running || stopping_) {
      return;
    }
    lane.running = true;
  }
  boost::asio::post(threads_, [this, backend] { RunLane(backend); });
}

void GrantPusher::Stop() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  threads_.join();
}

void GrantPusher::RunLane(const BackendId& backend) {
  while (const std::optional<authority::PushGrants> push = TakeNewest(backend)) {
    PushOnce(*push);
  }
}

std::optional<authority::PushGrants> GrantPusher::TakeNewest(const BackendId& backend) {
  const absl::MutexLock lock(&mutex_);
  const auto lane = lanes_.find(backend);
  if (stopping_ || !lane->second.newest) {
    lanes_.erase(lane);
    return std::nullopt;
  }
  std::optional<authority::PushGrants> newest;
  newest.swap(lane->second.newest);
  return newest;
}

}  // namespace ladderstream::control
