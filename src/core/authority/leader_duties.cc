#include "core/authority/leader_duties.h"

#include <algorithm>
#include <utility>

#include "core/authority/home_plan.h"

namespace ladderstream::authority {
namespace {

/// How often placement looks at a service in which nothing is free.
constexpr Duration kPlacementInterval = absl::Seconds(1);
/// How often placement is asked again about free shards that it could not place.
constexpr Duration kFreeShardInterval = absl::Milliseconds(50);
/// A service of which nothing was ever owned gets its first owners when its back ends have been the
/// same for this long, so that those declared one after another all get their share at once ...
constexpr Duration kSettlingTime = absl::Milliseconds(400);
/// ... but no later than this after the first of them is live.
constexpr Duration kLongestSettling = absl::Seconds(3);
/// At most one home moves for balance in this time.
constexpr Duration kHomeMoveInterval = absl::Seconds(2);
/// Reports older than this say nothing about load.
constexpr Duration kLoadReportAge = absl::Seconds(3);

}  // namespace

LeaderDuties::LeaderDuties(const AuthoritySettings& settings) : settings_(settings) {}

void LeaderDuties::BeginTerm(Time now, Time earliest_assignment) {
  term_began_ = now;
  earliest_assignment_ = earliest_assignment;
  last_placement_ = absl::InfinitePast();
  last_home_move_ = now;
  placed_version_ = GrantToken();
  load_ = LoadView();
  policies_.clear();
  settling_.clear();
}

std::vector<Command> LeaderDuties::Plan(const OwnershipState& state, LeaseTable& leases,
                                        const NodeTable& nodes, bool self_leaving, Time now) {
  Commands commands;
  PlanNodes(state, nodes, now, commands);
  const bool may_rebalance = now - last_home_move_ >= kHomeMoveInterval;
  const auto homes = PlanHomes(state, UsableNodes(state, nodes, self_leaving, now), may_rebalance);
  if (!homes.empty()) {
    last_home_move_ = now;
  }
  commands.insert(commands.end(), homes.begin(), homes.end());
  PlanBackends(state, leases, now, commands);
  PlanConfirmations(state, leases, commands);
  if (now >= earliest_assignment_ && PlacementIsDue(state, now)) {
    PlanPlacement(state, leases, nodes, now, commands);
  }
  return commands;
}

bool LeaderDuties::AwaitsReports(Time now) const {
  return now < term_began_ + settings_.node_timeout + settings_.report_interval;
}

std::vector<NodeDescriptor> LeaderDuties::UsableNodes(const OwnershipState& state,
                                                      const NodeTable& nodes, bool self_leaving,
                                                      Time now) const {
  std::map<NodeId, NodeDescriptor> usable;
  if (AwaitsReports(now)) {
    usable = state.nodes();
  }
  for (const NodeRecord* node : nodes.ReportedSince(now - settings_.node_timeout)) {
    usable[node->descriptor.id] = node->descriptor;
    if (node->report->leaving) {
      usable.erase(node->descriptor.id);
    }
  }
  usable[settings_.self.id] = settings_.self;
  if (self_leaving) {
    usable.erase(settings_.self.id);
  }
  std::vector<NodeDescriptor> all;
  all.reserve(usable.size());
  for (auto& [id, node] : usable) {
    all.push_back(std::move(node));
  }
  return all;
}

void LeaderDuties::PlanNodes(const OwnershipState& state, const NodeTable& nodes, Time now,
                             Commands& commands) {
  if (!state.nodes().contains(settings_.self.id)) {
    commands.emplace_back(AdmitNode{settings_.self});
  }
  for (const NodeRecord* node : nodes.ReportedSince(now - settings_.node_timeout)) {
    if (!state.nodes().contains(node->descriptor.id)) {
      commands.emplace_back(AdmitNode{node->descriptor});
    }
  }
  if (AwaitsReports(now)) {
    return;
  }
  for (const auto& [id, node] : state.nodes()) {
    const NodeRecord* const record = nodes.Find(id);
    const Time last = record == nullptr ? absl::InfinitePast() : record->last_report;
    if (id != settings_.self.id && last < now - settings_.node_timeout) {
      commands.emplace_back(RemoveNode{id});
    }
  }
}

void LeaderDuties::PlanBackends(const OwnershipState& state, LeaseTable& leases, Time now,
                                Commands& commands) {
  for (const auto& [id, backend] : state.backends()) {
    const LeaseRecord* const lease = leases.Find(id);
    const bool wanted = lease != nullptr && lease->candidate != BackendIncarnation();
    if (wanted && (!backend.admitted || now > leases.LeasesEnd(id))) {
      commands.emplace_back(AdmitBackend{id, lease->candidate});
    } else if (!wanted && backend.admitted && now > leases.ExpiresAt(id)) {
      leases.MarkExpiring(id);
      commands.emplace_back(ExpireBackend{id, backend.incarnation});
    } else if (lease != nullptr && lease->leaving && backend.leaving != backend.incarnation) {
      commands.emplace_back(SetDraining{id, true, backend.incarnation});
    }
  }
}

void LeaderDuties::PlanConfirmations(const OwnershipState& state, const LeaseTable& leases,
                                     Commands& commands) {
  std::set<BackendId> confirmed;
  for (const ShardId& shard : state.revoking_shards()) {
    const Assignment& assignment = *state.FindAssignment(shard);
    const LeaseRecord* const lease = leases.Find(assignment.owner);
    const BackendRecord* const backend = state.FindBackendRecord(assignment.owner);
    if (lease == nullptr || lease->applied_version < assignment.changed_at) {
      continue;
    }
    if (confirmed.insert(assignment.owner).second) {
      commands.emplace_back(
          ConfirmRevocation{assignment.owner, backend->incarnation, lease->applied_version});
    }
  }
}

bool LeaderDuties::PlacementIsDue(const OwnershipState& state, Time now) const {
  const Duration since = now - last_placement_;
  if (since >= kPlacementInterval) {
    return true;
  }
  const bool changed = placed_version_ != state.version();
  return !state.free_shards().empty() && (changed || since >= kFreeShardInterval);
}

void LeaderDuties::PlanPlacement(const OwnershipState& state, const LeaseTable& leases,
                                 const NodeTable& nodes, Time now, Commands& commands) {
  if (now - last_placement_ >= kPlacementInterval) {
    load_.Update(nodes.ReportsSince(now - kLoadReportAge), now);
  }
  last_placement_ = now;
  placed_version_ = state.version();
  for (const ServiceConfiguration& service : state.configuration().services) {
    if (service.routing == RoutingKind::kByKey) {
      PlanService(service, state, leases, now, commands);
    }
  }
}

void LeaderDuties::PlanService(const ServiceConfiguration& service, const OwnershipState& state,
                               const LeaseTable& leases, Time now, Commands& commands) {
  placement::PlacementInput input = InputFor(service, state, leases, now);
  if (!WasEverOwned(service.name, state) && IsSettling(input, now)) {
    return;
  }
  placement::PlacementPolicyPtr& policy = policies_[service.name];
  if (policy == nullptr) {
    policy = placement::MakeDefaultPolicy();
  }
  placement::PlacementPlan plan = policy->Decide(input);
  for (AssignShards::Item& item : plan.assignments) {
    // A planned move names the next owner; it is placement's choice only when that one is gone.
    const BackendId& wanted = state.FindAssignment(item.shard)->next_owner;
    if (leases.IsLive(wanted, now) && state.MayReceive(wanted, service.name)) {
      item.owner = wanted;
    }
  }
  if (!plan.assignments.empty()) {
    commands.emplace_back(AssignShards{std::move(plan.assignments)});
  }
  for (ShardId& key : plan.splits) {
    commands.emplace_back(SplitKey{std::move(key)});
  }
  for (ShardId& key : plan.merges) {
    commands.emplace_back(MergeKey{std::move(key)});
  }
  if (!plan.moves.empty()) {
    commands.emplace_back(RevokeShards{std::move(plan.moves)});
  }
}

placement::PlacementInput LeaderDuties::InputFor(const ServiceConfiguration& service,
                                                 const OwnershipState& state,
                                                 const LeaseTable& leases, Time now) const {
  placement::PlacementInput input;
  input.service = service;
  input.now = now;
  for (const BackendConfiguration& backend : state.configuration().backends) {
    const BackendRecord* const record = state.FindBackendRecord(backend.id);
    if (backend.service != service.name || record == nullptr) {
      continue;
    }
    placement::BackendView view;
    view.id = backend.id;
    view.zone = backend.zone;
    view.slots = backend.slots;
    view.live = record->admitted && leases.IsLive(backend.id, now);
    view.draining = record->IsDraining();
    view.age = view.live ? now - leases.Find(backend.id)->known_since : absl::ZeroDuration();
    view.failure_rate = load_.FailureRateOf(backend.id);
    input.backends.push_back(std::move(view));
  }
  const ShardId first{service.name, RangeIndex(0), ""};
  const auto& assignments = state.assignments();
  for (auto item = assignments.lower_bound(first); item != assignments.end(); ++item) {
    const auto& [shard, assignment] = *item;
    if (shard.service != service.name) {
      break;
    }
    const bool movable = assignment.state != AssignmentState::kRevoking;
    input.shards.push_back({shard, assignment.owner, load_.RateOf(shard), movable});
  }
  for (ShardLoad& key : load_.KeysOf(service.name)) {
    if (state.FindAssignment(key.shard) == nullptr) {
      input.hot_keys.push_back(std::move(key));
    }
  }
  return input;
}

bool LeaderDuties::WasEverOwned(const ServiceName& service, const OwnershipState& state) const {
  const auto& assignments = state.assignments();
  auto item = assignments.lower_bound(ShardId{service, RangeIndex(0), ""});
  for (; item != assignments.end() && item->first.service == service; ++item) {
    if (item->second.token != GrantToken()) {
      return true;
    }
  }
  return false;
}

bool LeaderDuties::IsSettling(const placement::PlacementInput& input, Time now) {
  const size_t live =
      std::count_if(input.backends.begin(), input.backends.end(),
                    [](const placement::BackendView& backend) { return backend.live; });
  if (live == 0) {
    return true;
  }
  Settling& settling =
      settling_.try_emplace(input.service.name, Settling{now, now, 0, 0}).first->second;
  if (settling.live != live || settling.declared != input.backends.size()) {
    settling.changed = now;
    settling.live = live;
    settling.declared = input.backends.size();
  }
  return now < settling.changed + kSettlingTime && now < settling.began + kLongestSettling;
}

}  // namespace ladderstream::authority
