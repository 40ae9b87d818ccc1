// Decides which requests run at one back end, which wait, and which are refused at once.
//
// The back end's home node keeps one for all nodes' requests. Priority goes first, then arrival. A
// request whose deadline the estimated wait can't meet is refused when that is known, never held
// back until the deadline. No I/O, no thread, no clock. Not thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "wire/configuration.h"
#include "wire/result_code.h"
#include "wire/time.h"

namespace ladderstream::admission {

/// Names one waiting or running request; given by the caller, never used twice.
using TicketId = uint64_t;

struct Ticket {
  TicketId id = 0;
  Priority priority = Priority::kNormal;
  Time deadline;
};

struct Refusal {
  TicketId id = 0;
  /// kOverloaded or kDeadlineUnreachable.
  ResultCode code = ResultCode::kOverloaded;
  /// When the queue will have drained.
  Duration retry_after = absl::ZeroDuration();
};

/// What an event brought about, for the requests concerned.
struct Changes {
  std::vector<TicketId> started;
  std::vector<Refusal> refused;
};

class AdmissionQueue {
 public:
  AdmissionQueue(uint32_t slots, uint32_t max_queue) : slots_(slots), max_queue_(max_queue) {}

  /// A new request. It is among the changes unless it has to wait.
  Changes Offer(const Ticket& ticket, Time now);

  /// A started request has ended after `service_time`.
  Changes Finish(Duration service_time, Time now);

  /// A waiting request need not run any more. False when it is not waiting.
  bool Cancel(TicketId id);

  /// Follows a change of the configuration.
  Changes SetLimits(uint32_t slots, uint32_t max_queue, Time now);

  uint32_t running() const { return running_; }
  size_t waiting() const { return waiting_.size(); }
  /// Smoothed time that a request keeps a slot; zero before the first has ended.
  Duration mean_service_time() const { return mean_service_time_; }
  /// How long a request that arrived now behind all others would wait.
  Duration EstimatedWait() const { return WaitBehind(waiting_.size()); }

 private:
  /// Priority first, then arrival.
  using Place = std::pair<Priority, uint64_t>;

  Duration WaitBehind(size_t ahead) const;
  Duration RetryAfter() const;
  size_t CountAhead(Priority priority) const;
  std::optional<Refusal> MakeRoom(const Ticket& ticket);
  void StartWaiting(Changes& changes);
  void RefuseHopeless(Time now, Changes& changes);

  uint32_t slots_;
  uint32_t max_queue_;
  uint32_t running_ = 0;
  uint64_t arrivals_ = 0;
  Duration mean_service_time_ = absl::ZeroDuration();
  std::map<Place, Ticket> waiting_;
  absl::flat_hash_map<TicketId, Place> places_;
};

}  // namespace ladderstream::admission
