// What the group's leader proposes on its own: admitting and expiring back ends, confirming
// revocations, assigning free shards, moves and splits that placement asks for, homes, and the list
// of nodes. Reads the applied state and the lease table, gives commands. Not thread-safe.
#pragma once

#include <map>
#include <vector>

#include "core/authority/authority.h"
#include "core/authority/lease_table.h"
#include "core/authority/load_view.h"
#include "core/authority/node_table.h"
#include "core/authority/ownership_state.h"
#include "core/placement/policy.h"

namespace ladderstream::authority {

class LeaderDuties {
 public:
  explicit LeaderDuties(const AuthoritySettings& settings);

  /// This node became leader, its state complete. Nothing is assigned before `earliest_assignment`.
  void BeginTerm(Time now, Time earliest_assignment);

  /// The commands due now. All of an earlier call's must have been applied.
  std::vector<Command> Plan(const OwnershipState& state, LeaseTable& leases, const NodeTable& nodes,
                            bool self_leaving, Time now);

 private:
  using Commands = std::vector<Command>;

  /// A service of which nothing was ever owned, while its back ends gather.
  struct Settling {
    Time began;
    Time changed;
    size_t live = 0;
    size_t declared = 0;
  };

  /// Nodes that may be homes: those that report and are not leaving, this one unless
  /// `self_leaving`, and for a moment after the term began those that had reported to the earlier
  /// leader.
  std::vector<NodeDescriptor> UsableNodes(const OwnershipState& state, const NodeTable& nodes,
                                          bool self_leaving, Time now) const;
  /// Whether nodes that have not yet reported to this leader still count as alive.
  bool AwaitsReports(Time now) const;
  void PlanNodes(const OwnershipState& state, const NodeTable& nodes, Time now, Commands& commands);
  void PlanBackends(const OwnershipState& state, LeaseTable& leases, Time now, Commands& commands);
  void PlanConfirmations(const OwnershipState& state, const LeaseTable& leases, Commands& commands);
  void PlanPlacement(const OwnershipState& state, const LeaseTable& leases, const NodeTable& nodes,
                     Time now, Commands& commands);
  void PlanService(const ServiceConfiguration& service, const OwnershipState& state,
                   const LeaseTable& leases, Time now, Commands& commands);
  bool PlacementIsDue(const OwnershipState& state, Time now) const;
  placement::PlacementInput InputFor(const ServiceConfiguration& service,
                                     const OwnershipState& state, const LeaseTable& leases,
                                     Time now) const;
  bool WasEverOwned(const ServiceName& service, const OwnershipState& state) const;
  /// A service of which nothing was ever owned waits a moment for its back ends, so that the first
  /// to come is not given everything.
  bool IsSettling(const placement::PlacementInput& input, Time now);

  const AuthoritySettings settings_;
  Time term_began_ = absl::InfinitePast();
  Time earliest_assignment_ = absl::InfinitePast();
  Time last_placement_ = absl::InfinitePast();
  Time last_home_move_ = absl::InfinitePast();
  GrantToken placed_version_;
  LoadView load_;
  std::map<ServiceName, placement::PlacementPolicyPtr> policies_;
  std::map<ServiceName, Settling> settling_;
};

}  // namespace ladderstream::authority
