// Two of the brief's three measures, churn and unavailable time, from the routing states that a
// node sees one after another. (Imbalance is worked out from the load reports.)
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/authority/authority.h"
#include "wire/time.h"

namespace ladderstream::metrics {

/// A shard that had no owner and has one again.
struct Outage {
  ServiceName service;
  Duration length;
  /// Whether the owner was told to stop, rather than lost.
  bool planned = false;
};

/// What changed from one routing state to the next.
struct OwnershipChanges {
  /// Shards whose owner is another than the one before, by service.
  std::map<ServiceName, uint64_t> owner_changes;
  std::vector<Outage> outages;
  /// Shards without an owner now, by service; services with none are in it too.
  std::map<ServiceName, uint64_t> without_owner;
};

/// Not thread-safe.
class OwnershipMeasures {
 public:
  /// A back end asked for its lease. The shards of one that is lost count as unavailable since it
  /// last asked: the longest that its owner can have been gone.
  void NoteLeaseRequest(const BackendId& backend, BackendIncarnation incarnation, Time now);

  OwnershipChanges Observe(const authority::RoutingState& routing, Time now);

 private:
  /// When a back end asked for its lease, as the incarnation that asked last and as earlier ones.
  struct LeaseRequests {
    BackendIncarnation incarnation;
    Time first = absl::InfinitePast();
    Time last = absl::InfinitePast();
    Time last_of_earlier = absl::InfinitePast();
  };

  struct Shard {
    /// The last one known; empty before the first.
    BackendId owner;
    Time owned_since;
    std::optional<Time> lost_at;
    bool planned = false;
    uint64_t seen = 0;
  };

  void ObserveOne(const Assignment& assignment, Time now, OwnershipChanges* changes);
  /// When the owner of `shard`, found lost at `now`, last asked for its lease.
  Time LastSignOfOwner(const Shard& shard, Time now) const;

  absl::flat_hash_map<ShardId, Shard> shards_;
  absl::flat_hash_map<BackendId, LeaseRequests> lease_requests_;
  uint64_t observations_ = 0;
};

/// Load imbalance of each service: the busiest back end's rate over the mean of its back ends. Left
/// out where there is no load.
std::map<ServiceName, double> LoadImbalance(const Configuration& configuration,
                                            const std::vector<NodeReport>& reports);

}  // namespace ladderstream::metrics
