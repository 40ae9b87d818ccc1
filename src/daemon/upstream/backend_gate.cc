#include "daemon/upstream/backend_gate.h"

#include <algorithm>
#include <utility>

namespace ladderstream::upstream {
namespace {

/// A refused caller never comes back sooner than this.
constexpr Duration kMinRetryAfter = absl::Milliseconds(10);
constexpr Duration kCancelTimeout = absl::Milliseconds(200);

/// Whether the attempt says that the back end is in trouble.
bool IsFailure(const ForwardResponse& response) {
  return OutcomeOf(response.result) == Outcome::kUnknown ||
         response.result == ResultCode::kBackendUnreachable ||
         response.result == ResultCode::kBackendShed;
}

}  // namespace

BackendGate::BackendGate(const Endpoint& endpoint, const GateLimits& limits,
                         const ConnectionSettings& settings, const TimeSource& time,
                         DeadlineWatch& watch, CancelSender& cancels)
    : endpoint_(endpoint),
      time_(time),
      cancels_(cancels),
      pool_(std::make_shared<ConnectionPool>(endpoint, settings, time, watch)),
      limits_(limits),
      queue_(limits.slots, limits.max_queue) {}

ForwardResponse BackendGate::Run(const ForwardRequest& request, Time deadline,
                                 routing::Cancellation& cancellation) {
  ForwardResponse response;
  if (!Admit(request, deadline, cancellation, response)) {
    return response;
  }
  const Time started = time_.Now();
  response = Exchange(request, deadline, cancellation);
  Finish(response, time_.Now() - started);
  if (OutcomeOf(response.result) == Outcome::kDidNotRun) {
    response.retry_after = std::max(response.retry_after, RetryAfter());
  }
  return response;
}

bool BackendGate::Admit(const ForwardRequest& request, Time deadline,
                        routing::Cancellation& cancellation, ForwardResponse& refusal) {
  Waiter waiter;
  admission::TicketId id = 0;
  {
    const absl::MutexLock lock(&mutex_);
    id = ++next_ticket_;
    waiters_.emplace(id, &waiter);
    Apply(queue_.Offer({id, request.priority, deadline}, time_.Now()));
  }
  const std::weak_ptr<BackendGate> weak = weak_from_this();
  const uint64_t callback = cancellation.OnCancel([weak, id] {
    if (const BackendGatePtr gate = weak.lock()) {
      gate->CancelWaiting(id);
    }
  });
  {
    const absl::MutexLock lock(&mutex_);
    while (waiter.state == State::kWaiting) {
      const bool expired = waiter.changed.WaitWithTimeout(&mutex_, deadline - time_.Now());
      if (expired && waiter.state == State::kWaiting && queue_.Cancel(id)) {
        waiter.state = State::kRefused;
        waiter.code = ResultCode::kDeadlineUnreachable;
        waiter.retry_after = std::max(kMinRetryAfter, queue_.EstimatedWait());
      }
    }
    waiters_.erase(id);
  }
  cancellation.Forget(callback);
  refusal.result = waiter.code;
  refusal.retry_after = waiter.retry_after;
  return waiter.state == State::kStarted;
}

void BackendGate::Apply(const admission::Changes& changes) {
  for (const admission::TicketId id : changes.started) {
    Waiter* waiter = waiters_.at(id);
    waiter->state = State::kStarted;
    waiter->changed.Signal();
  }
  for (const admission::Refusal& refusal : changes.refused) {
    Waiter* waiter = waiters_.at(refusal.id);
    waiter->state = State::kRefused;
    waiter->code = refusal.code;
    waiter->retry_after = refusal.retry_after;
    waiter->changed.Signal();
  }
}

void BackendGate::CancelWaiting(admission::TicketId id) {
  const absl::MutexLock lock(&mutex_);
  const auto found = waiters_.find(id);
  if (found == waiters_.end() || !queue_.Cancel(id)) {
    return;
  }
  found->second->state = State::kRefused;
  found->second->code = ResultCode::kCancelled;
  found->second->changed.Signal();
}

ForwardResponse BackendGate::Exchange(const ForwardRequest& request, Time deadline,
                                      routing::Cancellation& cancellation) {
  ForwardResponse response;
  if (cancellation.cancelled()) {
    response.result = ResultCode::kCancelled;
    return response;
  }
  const uint32_t limit = ConnectionLimit();
  BackendConnectionPtr connection = pool_->Take(limit);
  if (connection == nullptr) {
    response.result = ResultCode::kOverloaded;
    return response;
  }
  const std::shared_ptr<ConnectionPool> pool = pool_;
  const uint64_t callback =
      cancellation.OnCancel([&cancels = cancels_, pool, limit, id = request.request_id] {
        cancels.Submit([pool, limit, id] {
          if (BackendConnectionPtr other = pool->Take(limit)) {
            other->SendCancel(id, kCancelTimeout);
            pool->Return(std::move(other));
          }
        });
      });
  response = connection->Exchange(request, deadline);
  cancellation.Forget(callback);
  pool_->Return(std::move(connection));
  return response;
}

void BackendGate::Finish(const ForwardResponse& response, Duration service_time) {
  const absl::MutexLock lock(&mutex_);
  ++(IsFailure(response) ? counts_.failed : counts_.answered);
  // Refusals and failed connections take no time at the back end; they would spoil the estimate.
  const bool ran = OutcomeOf(response.result) != Outcome::kDidNotRun;
  Apply(queue_.Finish(ran ? service_time : queue_.mean_service_time(), time_.Now()));
}

uint32_t BackendGate::ConnectionLimit() {
  const absl::MutexLock lock(&mutex_);
  return limits_.max_connections;
}

Duration BackendGate::RetryAfter() {
  const absl::MutexLock lock(&mutex_);
  return std::max(kMinRetryAfter, queue_.EstimatedWait());
}

void BackendGate::SetLimits(const GateLimits& limits) {
  const absl::MutexLock lock(&mutex_);
  limits_ = limits;
  Apply(queue_.SetLimits(limits.slots, limits.max_queue, time_.Now()));
}

GateCounts BackendGate::TakeCounts() {
  const absl::MutexLock lock(&mutex_);
  GateCounts counts = counts_;
  counts.running = queue_.running();
  counts.waiting = static_cast<uint32_t>(queue_.waiting());
  counts_ = GateCounts();
  return counts;
}

}  // namespace ladderstream::upstream
