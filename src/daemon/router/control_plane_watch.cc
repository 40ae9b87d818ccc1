#include "daemon/router/control_plane_watch.h"

#include <algorithm>
#include <utility>

namespace ladderstream {
namespace {

/// How soon a waiting request notices that its caller has gone.
constexpr Duration kCancellationCheck = absl::Milliseconds(20);

}  // namespace

ControlPlaneWatch::ControlPlaneWatch(ControlPlanePtr control_plane, const TimeSource& time,
                                     uint32_t min_retry_tokens)
    : control_plane_(std::move(control_plane)),
      time_(time),
      table_(std::make_shared<const routing::RouteTable>()),
      states_(min_retry_tokens) {}

routing::RouteTablePtr ControlPlaneWatch::Build(const routing::RoutingStatePtr& state) {
  routing::RouteTablePtr table = table_.load();
  if (table->source() == state) {
    return table;
  }
  table = std::make_shared<const routing::RouteTable>(state, *table, states_);
  table_.store(table);
  return table;
}

routing::RouteTablePtr ControlPlaneWatch::Current() {
  routing::RouteTablePtr table = table_.load();
  const routing::RoutingStatePtr state = control_plane_->Routing();
  if (table->source() == state) {
    return table;
  }
  if (table->source() == nullptr) {
    return Newest();
  }
  if (!mutex_.TryLock()) {
    return table;
  }
  table = Build(state);
  mutex_.Unlock();
  return table;
}

routing::RouteTablePtr ControlPlaneWatch::Newest() {
  const absl::MutexLock lock(&mutex_);
  return Build(control_plane_->Routing());
}

routing::RouteTablePtr ControlPlaneWatch::WaitForChange(const routing::RouteTablePtr& seen,
                                                        Time until,
                                                        const routing::Cancellation& cancellation) {
  while (true) {
    routing::RouteTablePtr table = Newest();
    const Time now = time_.Now();
    if (!table->SameRoutesAs(*seen) || now >= until || cancellation.cancelled()) {
      return table;
    }
    control_plane_->WaitForRoutingChange(table->source(),
                                         std::min(until - now, kCancellationCheck));
  }
}

}  // namespace ladderstream
