// One back end as this node sees it: its registration, its load and its faults.
#pragma once

#include <memory>

#include "core/admission/owner_limit.h"
#include "core/catalog/catalog.h"
#include "core/load/load_estimate.h"
#include "core/load/outlier_detector.h"
#include "wire/time.h"

namespace ladderstream::forwarding {

struct BackendState {
  BackendState(const catalog::Backend& backend, load::ServiceAverages& averages)
      : registration(backend), load(backend.slots, averages) {}

  bool UsableForAny(Time now) const { return now < usable_until; }
  bool UsableAsOwner(Time now) const { return now < owner_usable_until; }
  bool InBackoff(Time now) const { return now < backoff_until; }

  /// The newest one; the last one after it disappeared.
  catalog::Backend registration;
  /// The registration exists.
  bool registered = true;
  /// When the registration disappeared.
  Time deregistered_at = absl::InfiniteFuture();
  /// Requests that any back end of the service may run go here only before this.
  Time usable_until = absl::InfiniteFuture();
  /// Requests for keys that it owns go here only before this.
  Time owner_usable_until = absl::InfiniteFuture();
  /// It said itself that it is about to end. Never taken back: the next one is another incarnation.
  bool reported_leaving = false;
  /// It said itself that it is cold until then.
  Time reported_cold_until = absl::InfinitePast();
  /// While it is cold, this node may send the next request then.
  Time next_cold_send = absl::InfinitePast();
  /// It asked this node to send it nothing before then.
  Time backoff_until = absl::InfinitePast();
  load::LoadEstimate load;
  load::OutlierDetector outlier;
  /// Of requests for keys that it owns.
  admission::OwnerLimit owner_limit;
};

using BackendStatePtr = std::shared_ptr<BackendState>;

}  // namespace ladderstream::forwarding
