// Joins the registrations of back ends with what else is known of them: whether the operator has
// emptied their zone, and until when they are cold.
//
// Pure: no I/O, no thread, no clock. What it gives is the one list that forwarding and the
// coordinator work with, so that both see the same back ends as leaving or cold.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <set>
#include <string>

#include "core/catalog/catalog.h"
#include "wire/time.h"

namespace ladderstream::catalog {

/// Zones whose back ends are to get nothing until the operator takes that back.
using EvacuatedZones = std::set<std::string>;

class BackendRegistry {
 public:
  /// Completes a registration, as decoded. `configuration` may be null.
  ///
  /// A back end is cold for the time that its registration says, counted from when that was first
  /// seen. Where an evacuation ends, it is taken to be cold for its service's cold time: its
  /// registration tells of a new cold time up to a heartbeat and the store's delay later, and in
  /// that time a warm one's share of requests would be several times what it bears.
  Backend Complete(Backend backend, const EvacuatedZones& evacuated,
                   const Configuration* configuration, Time now);
  /// Its registration went.
  void Forget(const std::string& id);

 private:
  struct Seen {
    Duration told_cold_left = absl::ZeroDuration();
    bool evacuated = false;
    Time cold_until = absl::InfinitePast();
  };

  absl::flat_hash_map<std::string, Seen> seen_;
};

}  // namespace ladderstream::catalog
