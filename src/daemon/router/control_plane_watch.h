// Keeps the route table in step with the control plane's routing state.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <memory>

#include "core/routing/routing_watch.h"
#include "interfaces/control_plane.h"

namespace ladderstream {

/// Thread-safe. Requests read a shared snapshot; whoever first sees a newer state builds the next
/// table, while the others go on with the one they have.
class ControlPlaneWatch : public routing::RoutingWatch {
 public:
  /// `time` must outlive the object.
  ControlPlaneWatch(ControlPlanePtr control_plane, const TimeSource& time,
                    uint32_t min_retry_tokens);

  routing::RouteTablePtr Current() override;
  routing::RouteTablePtr WaitForChange(const routing::RouteTablePtr& seen, Time until,
                                       const routing::Cancellation& cancellation) override;

 private:
  routing::RouteTablePtr Build(const routing::RoutingStatePtr& state)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  routing::RouteTablePtr Newest();

  const ControlPlanePtr control_plane_;
  const TimeSource& time_;
  std::atomic<routing::RouteTablePtr> table_;
  absl::Mutex mutex_;
  routing::StateRegistry states_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream
