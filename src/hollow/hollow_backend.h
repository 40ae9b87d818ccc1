// A back end as the control plane sees it: it asks for its lease and applies grant sets. It serves
// nothing. Not thread-safe.
#pragma once

#include <cstdint>

#include "wire/configuration.h"
#include "wire/ownership.h"
#include "wire/time.h"

namespace ladderstream::hollow {

struct HollowBackend {
  BackendConfiguration configuration;
  uint32_t group = 0;
  BackendIncarnation incarnation;
  bool alive = true;
  GrantSet held;
  Time lease_until = absl::InfinitePast();
  /// The node it asks next.
  size_t node = 0;
  /// Counts requests; an answer to an earlier one than the last is late.
  uint64_t request = 0;
  Time sent = absl::InfinitePast();

  LeaseRequest MakeRequest() const {
    return LeaseRequest{configuration.id, incarnation, held.version, false};
  }

  /// Takes an answer to the request sent at `sent`. Gives whether a new set was applied.
  bool Apply(const LeaseResponse& response) {
    const bool newer = response.grants_included && response.grants.version > held.version;
    if (newer) {
      held = response.grants;
    }
    if (response.grants.version == held.version) {
      lease_until = std::max(lease_until, sent + response.lease);
    }
    return newer;
  }

  bool Serves(Time now) const { return alive && lease_until > now; }
};

}  // namespace ladderstream::hollow
