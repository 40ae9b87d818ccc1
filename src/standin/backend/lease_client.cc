#include "standin/backend/lease_client.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <exception>
#include <iostream>

#include "standin/backend/lease_codec.h"
#include "standin/support/boot_time.h"

namespace ladderstream::standin {
namespace {

// A back end asks every third of its lease.
constexpr int kRequestsPerLease = 3;

}  // namespace

LeaseClient::LeaseClient(const LeaseClientSettings& settings, RequestRunner* runner)
    : settings_(settings), runner_(runner) {
  for (const Endpoint& node : settings.nodes) {
    auto client = std::make_unique<httplib::Client>(node.host, node.port);
    const auto timeout = absl::ToChronoMicroseconds(settings.timeout);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    if (!settings.source_address.empty()) {
      client->set_interface(settings.source_address);
    }
    clients_.push_back(std::move(client));
  }
  runner_->OnApplied([this] { AskNow(); });
  thread_ = std::thread([this] { Loop(); });
}

LeaseClient::~LeaseClient() {
  {
    absl::MutexLock lock(&mutex_);
    stop_ = true;
  }
  thread_.join();
}

void LeaseClient::AskNow() {
  absl::MutexLock lock(&mutex_);
  ask_now_ = true;
}

void LeaseClient::Leave() {
  absl::MutexLock lock(&mutex_);
  leaving_ = true;
  ask_now_ = true;
}

bool LeaseClient::HasLeft() const {
  absl::MutexLock lock(&mutex_);
  return left_;
}

void LeaseClient::Loop() {
  Duration pause = absl::ZeroDuration();
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      const auto wake = [this]()
                            ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return stop_ || ask_now_; };
      mutex_.AwaitWithTimeout(absl::Condition(&wake), pause);
      if (stop_) {
        return;
      }
      ask_now_ = false;
    }
    pause = Ask();
  }
}

Duration LeaseClient::Ask() {
  LeaseRequest request;
  request.incarnation = settings_.incarnation;
  request.applied_version = runner_->applied_version();
  {
    absl::MutexLock lock(&mutex_);
    request.leaving = leaving_;
  }
  const std::string path = absl::StrCat("/v1/backends/", settings_.backend.value(), "/lease");
  // The lease runs from here, whenever the answer comes.
  const Time sent = BootTimeNow();
  const auto answer =
      clients_[current_]->Post(path, WriteLeaseRequest(request), "application/json");
  if (!answer) {
    return GiveUpOnNode();
  }
  try {
    const LeaseResponse response = ReadLeaseResponse(answer->body);
    if (response.result != ResultCode::kOk) {
      return GiveUpOnNode();
    }
    failures_in_row_ = 0;
    runner_->TakeLease(response, sent);
    absl::MutexLock lock(&mutex_);
    left_ = request.leaving && runner_->held().grants.empty();
    const Duration interval = response.lease / kRequestsPerLease;
    return std::max(settings_.retry_pause, sent + interval - BootTimeNow());
  } catch (const std::exception& error) {
    std::cerr << "lease: unreadable answer: " << error.what() << "\n";
    return GiveUpOnNode();
  }
}

Duration LeaseClient::GiveUpOnNode() {
  current_ = (current_ + 1) % clients_.size();
  ++failures_in_row_;
  const bool all_failed = failures_in_row_ % clients_.size() == 0;
  return all_failed ? settings_.retry_pause : absl::ZeroDuration();
}

}  // namespace ladderstream::standin
