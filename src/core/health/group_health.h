// Whether the signals about a whole group of back ends may be believed.
#pragma once

#include <vector>

#include "core/health/backend_health.h"

namespace ladderstream::health {

struct GroupSettings {
  /// When more than this share of the group is suspect, the cause is more likely the network, the
  /// callers or this node: then nobody is ejected.
  double panic_threshold = 0.5;
  /// A back end this many times slower than the group's median is suspect too.
  double latency_factor = 8;
  /// Below this, latency never makes a back end suspect.
  Duration min_suspect_latency = absl::Milliseconds(50);
};

/// Gives for each member whether it may get new requests. Null members are never suspect.
std::vector<bool> EligibleMembers(const std::vector<const BackendHealth*>& members,
                                  const GroupSettings& settings, Time now);

}  // namespace ladderstream::health
