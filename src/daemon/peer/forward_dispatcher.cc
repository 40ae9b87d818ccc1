#include "daemon/peer/forward_dispatcher.h"

#include <boost/asio/post.hpp>
#include <exception>
#include <utility>

#include "logging/log.h"
#include "wire/result_code.h"

namespace ladderstream::peer {
namespace {

constexpr uint32_t kCancellationThreads = 2;

/// The share of the threads, in percent, that each priority may fill.
constexpr uint32_t kNormalPercent = 85;
constexpr uint32_t kBulkPercent = 65;

constexpr Duration kRetryAfterOverload = absl::Milliseconds(50);

ForwardResponse Refusal(ResultCode code) {
  ForwardResponse response;
  response.result = code;
  response.retry_after = kRetryAfterOverload;
  return response;
}

}  // namespace

ForwardDispatcher::ForwardDispatcher(DataPathPtr data_path, uint32_t threads)
    : data_path_(std::move(data_path)),
      threads_(threads),
      attempts_(threads),
      cancellations_(kCancellationThreads) {}

ForwardDispatcher::~ForwardDispatcher() { Stop(); }

uint32_t ForwardDispatcher::LimitFor(Priority priority) const {
  constexpr uint32_t kWhole = 100;
  switch (priority) {
    case Priority::kCritical:
      return threads_;
    case Priority::kNormal:
      return threads_ * kNormalPercent / kWhole;
    case Priority::kBulk:
      return threads_ * kBulkPercent / kWhole;
  }
  return threads_ * kBulkPercent / kWhole;
}

void ForwardDispatcher::Dispatch(ForwardRequest request, Respond respond) {
  const uint32_t before = running_.fetch_add(1);
  if (before >= LimitFor(request.priority)) {
    running_.fetch_sub(1);
    respond(Refusal(ResultCode::kOverloaded));
    return;
  }
  if (stopping_) {
    running_.fetch_sub(1);
    respond(Refusal(ResultCode::kShuttingDown));
    return;
  }
  boost::asio::post(attempts_, [this, request = std::move(request), respond = std::move(respond)] {
    Run(request, respond);
    running_.fetch_sub(1);
  });
}

void ForwardDispatcher::Run(const ForwardRequest& request, const Respond& respond) {
  ForwardResponse response;
  try {
    response = data_path_->RunAttempt(request);
  } catch (const std::exception& error) {
    // What failed may have run at the back end.
    Log(Part::kPeer, Severity::kError, "Attempt failed.", {{"error", error.what()}});
    response = Refusal(ResultCode::kNodeLost);
  }
  respond(response);
}

void ForwardDispatcher::Cancel(ForwardCancel cancel) {
  boost::asio::post(cancellations_, [this, cancel = std::move(cancel)] {
    try {
      data_path_->CancelAttempt(cancel.request_id);
    } catch (const std::exception& error) {
      Log(Part::kPeer, Severity::kError, "Cancellation failed.", {{"error", error.what()}});
    }
  });
}

void ForwardDispatcher::Stop() {
  stopping_ = true;
  attempts_.join();
  cancellations_.join();
}

}  // namespace ladderstream::peer
