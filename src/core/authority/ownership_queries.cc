// The reading half of OwnershipState, and its snapshots.
#include <algorithm>
#include <optional>

#include "core/authority/ownership_state.h"
#include "wire/codec.h"

namespace ladderstream::authority {

struct OwnershipState::Snapshot {
  struct Backend {
    BackendId id;
    BackendRecord record;
    MSGPACK_DEFINE_ARRAY(id, record);
  };
  GrantToken version;
  GrantToken routing_changed_at;
  Configuration configuration;
  std::vector<NodeDescriptor> nodes;
  std::vector<Backend> backends;
  std::vector<Assignment> assignments;
  std::vector<Removal> removals;
  GrantToken full_before;
  MSGPACK_DEFINE_ARRAY(version, routing_changed_at, configuration, nodes, backends, assignments,
                       removals, full_before);
};

std::string OwnershipState::TakeSnapshot() const {
  Snapshot snapshot;
  snapshot.version = version_;
  snapshot.routing_changed_at = routing_changed_at_;
  snapshot.configuration = configuration_;
  for (const auto& [id, node] : nodes_) {
    snapshot.nodes.push_back(node);
  }
  for (const auto& [id, record] : backends_) {
    snapshot.backends.push_back({id, record});
  }
  for (const auto& [shard, assignment] : assignments_) {
    snapshot.assignments.push_back(assignment);
  }
  snapshot.removals = removals_;
  snapshot.full_before = full_before_;
  return Encode(snapshot);
}

void OwnershipState::Restore(const std::string& bytes) {
  const auto snapshot = Decode<Snapshot>(bytes);
  *this = OwnershipState();
  version_ = snapshot.version;
  routing_changed_at_ = snapshot.routing_changed_at;
  configuration_ = snapshot.configuration;
  for (const NodeDescriptor& node : snapshot.nodes) {
    nodes_.emplace(node.id, node);
  }
  for (const Snapshot::Backend& backend : snapshot.backends) {
    backends_.emplace(backend.id, backend.record);
  }
  for (const Assignment& assignment : snapshot.assignments) {
    assignments_.emplace(assignment.shard, assignment);
    Index(assignment);
  }
  removals_ = snapshot.removals;
  full_before_ = snapshot.full_before;
}

void OwnershipState::RestoreInGeneration(const std::string& bytes, uint64_t generation) {
  Restore(bytes);
  version_ = GrantToken{generation, 0, 0};
  full_before_ = version_;
  removals_.clear();
  nodes_.clear();
  std::vector<Assignment> all;
  for (const auto& [shard, assignment] : assignments_) {
    all.push_back(assignment);
  }
  for (Assignment& assignment : all) {
    if (assignment.state != AssignmentState::kFree) {
      assignment.token = version_;
    }
    Put(std::move(assignment));
  }
  for (auto& [id, record] : backends_) {
    record.changed_at = version_;
    MarkGrantsChanged(id);
  }
  MarkRoutingChanged();
}

const BackendRecord* OwnershipState::FindBackendRecord(const BackendId& backend) const {
  const auto found = backends_.find(backend);
  return found == backends_.end() ? nullptr : &found->second;
}

const Assignment* OwnershipState::FindAssignment(const ShardId& shard) const {
  const auto found = assignments_.find(shard);
  return found == assignments_.end() ? nullptr : &found->second;
}

const std::set<ShardId>& OwnershipState::ShardsOf(const BackendId& backend) const {
  static const std::set<ShardId> kNone;
  const auto found = shards_of_.find(backend);
  return found == shards_of_.end() ? kNone : found->second;
}

bool OwnershipState::IsConfigured(const ShardId& shard) const {
  const ServiceConfiguration* const service = FindService(configuration_, shard.service);
  return service != nullptr && service->routing == RoutingKind::kByKey &&
         shard.range.value() < service->range_count;
}

bool OwnershipState::IsConfigured(const BackendId& backend, const ServiceName& service) const {
  const BackendConfiguration* const found = FindBackend(configuration_, backend);
  return found != nullptr && found->service == service;
}

bool OwnershipState::MayReceive(const BackendId& backend, const ServiceName& service) const {
  const BackendRecord* const record = FindBackendRecord(backend);
  return record != nullptr && record->admitted && !record->IsDraining() &&
         IsConfigured(backend, service);
}

GrantSet OwnershipState::GrantsOf(const BackendId& backend) const {
  GrantSet grants;
  const BackendRecord* const record = FindBackendRecord(backend);
  if (record == nullptr) {
    return grants;
  }
  grants.version = record->grants_version;
  for (const ShardId& shard : ShardsOf(backend)) {
    const auto assignment = assignments_.find(shard);
    if (assignment->second.state != AssignmentState::kOwned) {
      continue;
    }
    Grant grant{shard, assignment->second.token, {}};
    if (shard.key.empty()) {
      // The range's split keys follow it in the order of shards.
      for (auto key = std::next(assignment);
           key != assignments_.end() && key->first.service == shard.service &&
           key->first.range == shard.range;
           ++key) {
        grant.excluded_keys.push_back(key->first.key);
      }
    }
    grants.grants.push_back(std::move(grant));
  }
  return grants;
}

std::vector<BackendHome> OwnershipState::Homes() const {
  std::vector<BackendHome> homes;
  for (const auto& [id, record] : backends_) {
    if (record.home.id != NodeId()) {
      homes.push_back({id, record.home, record.IsDraining()});
    }
  }
  return homes;
}

void OwnershipState::FillChangesSince(const GrantToken& known, StatePullResponse& response) const {
  response.ownership_version = version_;
  response.ownership_is_full = known < full_before_ || known.generation != version_.generation;
  const GrantToken since = response.ownership_is_full ? GrantToken() : known;
  // A pair with an empty shard comes before every change made at the same token, so those made at
  // `since` itself are skipped one by one.
  for (auto change = by_change_.lower_bound({since, ShardId()}); change != by_change_.end();
       ++change) {
    if (change->first > since || response.ownership_is_full) {
      response.assignments.push_back(assignments_.at(change->second));
    }
  }
  for (const Removal& removal : removals_) {
    if (removal.removed_at > since) {
      response.removed.push_back(removal.shard);
    }
  }
  for (const auto& [id, record] : backends_) {
    if (record.home.id != NodeId() && (response.ownership_is_full || record.changed_at > since)) {
      response.homes.push_back({id, record.home, record.IsDraining()});
    }
  }
}

}  // namespace ladderstream::authority
