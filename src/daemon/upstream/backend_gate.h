// All of this node's dealings with one back end: admission, connections, cancellation, counts.
//
// There is one gate for each back end whose home is this node. Requests of all nodes pass it, so
// that together they keep to the back end's slots.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <string>

#include "core/admission/admission_queue.h"
#include "core/routing/cancellation.h"
#include "daemon/upstream/cancel_sender.h"
#include "daemon/upstream/connection_pool.h"
#include "wire/configuration.h"
#include "wire/peer_message.h"

namespace ladderstream::upstream {

struct GateLimits {
  uint32_t slots = 1;
  uint32_t max_queue = 64;
  /// For this node: less than the back end accepts while an earlier home may hold some.
  uint32_t max_connections = 1;
};

/// What passed the gate since the last call.
struct GateCounts {
  uint64_t answered = 0;
  uint64_t failed = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
};

/// Thread-safe. Requests run on the threads that bring them.
class BackendGate : public std::enable_shared_from_this<BackendGate> {
 public:
  /// `time`, `watch` and `cancels` must outlive the object.
  BackendGate(const Endpoint& endpoint, const GateLimits& limits,
              const ConnectionSettings& settings, const TimeSource& time, DeadlineWatch& watch,
              CancelSender& cancels);

  /// Waits for a slot, runs the request and gives the whole answer, or refuses.
  ForwardResponse Run(const ForwardRequest& request, Time deadline,
                      routing::Cancellation& cancellation);

  void SetLimits(const GateLimits& limits);
  void CloseIdle(Duration age) { pool_->CloseIdle(age); }
  GateCounts TakeCounts();
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  enum class State { kWaiting, kStarted, kRefused };

  /// One request before it runs; lives on its thread's stack.
  struct Waiter {
    State state = State::kWaiting;
    ResultCode code = ResultCode::kCancelled;
    Duration retry_after = absl::ZeroDuration();
    absl::CondVar changed;
  };

  /// Gives true when the request may run; otherwise `refusal` says why not.
  bool Admit(const ForwardRequest& request, Time deadline, routing::Cancellation& cancellation,
             ForwardResponse& refusal);
  void Apply(const admission::Changes& changes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void CancelWaiting(admission::TicketId id);
  ForwardResponse Exchange(const ForwardRequest& request, Time deadline,
                           routing::Cancellation& cancellation);
  void Finish(const ForwardResponse& response, Duration service_time);
  uint32_t ConnectionLimit();
  Duration RetryAfter();

  const Endpoint endpoint_;
  const TimeSource& time_;
  CancelSender& cancels_;
  const std::shared_ptr<ConnectionPool> pool_;

  absl::Mutex mutex_;
  GateLimits limits_ ABSL_GUARDED_BY(mutex_);
  admission::AdmissionQueue queue_ ABSL_GUARDED_BY(mutex_);
  admission::TicketId next_ticket_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<admission::TicketId, Waiter*> waiters_ ABSL_GUARDED_BY(mutex_);
  GateCounts counts_ ABSL_GUARDED_BY(mutex_);
};

using BackendGatePtr = std::shared_ptr<BackendGate>;

}  // namespace ladderstream::upstream
