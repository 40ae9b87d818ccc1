// State of one back end as seen by this node: registration, load and failures.
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
  void SetHeard(Time now) {
    heard_at = now;
    awaited_since = absl::InfiniteFuture();
  }

  /// The latest registration; the last one received if the back end has been deregistered.
  catalog::Backend registration;
  /// Whether the registration currently exists.
  bool registered = true;
  /// When the registration disappeared.
  Time deregistered_at = absl::InfiniteFuture();
  /// Requests that any back end of the service may run are sent here only before this time.
  Time usable_until = absl::InfiniteFuture();
  /// Requests for keys that this back end owns are sent here only before this time.
  Time owner_usable_until = absl::InfiniteFuture();
  /// The back end itself announced its shutdown. Never reset: its next start is a new incarnation.
  bool reported_leaving = false;
  /// End of the cold phase as reported by the back end itself.
  Time reported_cold_until = absl::InfinitePast();
  /// While the back end is cold, the earliest time of this node's next request to it.
  Time next_cold_send = absl::InfinitePast();
  /// When it last answered or accepted a connection, also at a peer for this node.
  Time heard_at = absl::InfinitePast();
  /// When the first request since then was sent to it; infinite when it owes no answer.
  Time awaited_since = absl::InfiniteFuture();
  /// When it last answered a request itself. An accepted connection does not tell which process
  /// accepted it.
  Time answered_at = absl::InfinitePast();
  /// The back end asked this node to send it nothing before this time.
  Time backoff_until = absl::InfinitePast();
  load::LoadEstimate load;
  load::OutlierDetector outlier;
  /// Limit on requests for keys that this back end owns.
  admission::OwnerLimit owner_limit;
};

using BackendStatePtr = std::shared_ptr<BackendState>;

}  // namespace ladderstream::forwarding
