#include "core/authority/ownership_state.h"

#include <algorithm>

namespace ladderstream::authority {
namespace {

/// Incarnations remembered per back end, so that a late message of a dead one is not taken for a
/// restart.
constexpr size_t kMaxSuperseded = 8;
/// Split keys given back that are remembered one by one for routers that ask what changed.
constexpr size_t kMaxRemovals = 1024;

}  // namespace

bool BackendRecord::IsSuperseded(BackendIncarnation candidate) const {
  return std::find(superseded.begin(), superseded.end(), candidate) != superseded.end();
}

ResultCode OwnershipState::Apply(const GrantToken& token, const Command& command) {
  version_ = token;
  return std::visit([this](const auto& one) { return ApplyOne(one); }, command);
}

ResultCode OwnershipState::ApplyOne(const AdoptConfiguration& command) {
  if (command.configuration.revision == configuration_.revision) {
    return ResultCode::kOk;
  }
  if (command.configuration.revision < configuration_.revision) {
    return ResultCode::kRevisionConflict;
  }
  configuration_ = command.configuration;
  MarkRoutingChanged();
  AddMissingBackends();
  RevokeWhatIsNotConfigured();
  AddMissingShards();
  return ResultCode::kOk;
}

void OwnershipState::AddMissingBackends() {
  for (const BackendConfiguration& backend : configuration_.backends) {
    backends_.try_emplace(backend.id);
  }
}

void OwnershipState::RevokeWhatIsNotConfigured() {
  std::vector<ShardId> gone;
  std::vector<Assignment> revoked;
  for (const auto& [shard, assignment] : assignments_) {
    const bool free = assignment.state == AssignmentState::kFree;
    const bool valid =
        IsConfigured(shard) && (free || IsConfigured(assignment.owner, shard.service));
    if (valid) {
      continue;
    }
    if (free) {
      gone.push_back(shard);
    } else if (assignment.state == AssignmentState::kOwned) {
      revoked.push_back(assignment);
    }
  }
  for (const ShardId& shard : gone) {
    Erase(shard);
  }
  for (Assignment& assignment : revoked) {
    assignment.state = AssignmentState::kRevoking;
    assignment.next_owner = BackendId();
    MarkGrantsChanged(assignment.owner);
    Put(std::move(assignment));
  }
  std::vector<BackendId> known;
  for (const auto& [backend, record] : backends_) {
    known.push_back(backend);
  }
  std::for_each(known.begin(), known.end(),
                [this](const BackendId& backend) { ForgetIfGone(backend); });
}

void OwnershipState::AddMissingShards() {
  for (const ServiceConfiguration& service : configuration_.services) {
    if (service.routing != RoutingKind::kByKey) {
      continue;
    }
    for (uint32_t range = 0; range < service.range_count; ++range) {
      const ShardId shard{service.name, RangeIndex(range), ""};
      if (!assignments_.contains(shard)) {
        Assignment assignment;
        assignment.shard = shard;
        Put(std::move(assignment));
      }
    }
  }
}

ResultCode OwnershipState::ApplyOne(const AdmitNode& command) {
  nodes_[command.node.id] = command.node;
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const RemoveNode& command) {
  return nodes_.erase(command.node) > 0 ? ResultCode::kOk : ResultCode::kUnknownName;
}

ResultCode OwnershipState::ApplyOne(const SetHome& command) {
  const auto backend = backends_.find(command.backend);
  const auto node = nodes_.find(command.home);
  if (backend == backends_.end() || node == nodes_.end()) {
    return ResultCode::kUnknownName;
  }
  backend->second.home = node->second;
  backend->second.changed_at = version_;
  MarkRoutingChanged();
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const AdmitBackend& command) {
  const auto found = backends_.find(command.backend);
  if (found == backends_.end()) {
    return ResultCode::kUnknownName;
  }
  BackendRecord& record = found->second;
  const bool same = record.incarnation == command.incarnation;
  if (record.IsSuperseded(command.incarnation) || (same && record.admitted)) {
    return ResultCode::kAlreadyExists;
  }
  ReleaseAllOf(command.backend);
  if (!same && record.incarnation != BackendIncarnation()) {
    record.superseded.push_back(record.incarnation);
    if (record.superseded.size() > kMaxSuperseded) {
      record.superseded.erase(record.superseded.begin());
    }
  }
  record.incarnation = command.incarnation;
  record.admitted = true;
  record.changed_at = version_;
  MarkGrantsChanged(command.backend);
  MarkRoutingChanged();
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const ExpireBackend& command) {
  const auto found = backends_.find(command.backend);
  if (found == backends_.end() || !found->second.admitted ||
      found->second.incarnation != command.incarnation) {
    return ResultCode::kUnknownName;
  }
  found->second.admitted = false;
  ReleaseAllOf(command.backend);
  MarkGrantsChanged(command.backend);
  ForgetIfGone(command.backend);
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const SetDraining& command) {
  const auto found = backends_.find(command.backend);
  if (found == backends_.end()) {
    return ResultCode::kUnknownName;
  }
  BackendRecord& record = found->second;
  if (command.incarnation != BackendIncarnation()) {
    record.leaving = command.draining ? command.incarnation : BackendIncarnation();
  } else {
    record.draining = command.draining;
  }
  record.changed_at = version_;
  MarkRoutingChanged();
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const AssignShards& command) {
  ResultCode result = ResultCode::kOk;
  for (const AssignShards::Item& item : command.items) {
    const ResultCode one = AssignOne(item);
    result = result == ResultCode::kOk ? one : result;
  }
  return result;
}

ResultCode OwnershipState::AssignOne(const AssignShards::Item& item) {
  const Assignment* const current = FindAssignment(item.shard);
  if (current == nullptr) {
    return ResultCode::kUnknownName;
  }
  if (current->state != AssignmentState::kFree || !MayReceive(item.owner, item.shard.service)) {
    return ResultCode::kMoveRefused;
  }
  Assignment assignment = *current;
  assignment.state = AssignmentState::kOwned;
  assignment.owner = item.owner;
  assignment.next_owner = BackendId();
  assignment.token = version_;
  Put(std::move(assignment));
  MarkGrantsChanged(item.owner);
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const RevokeShards& command) {
  ResultCode result = ResultCode::kOk;
  for (const RevokeShards::Item& item : command.items) {
    const ResultCode one = RevokeOne(item);
    result = result == ResultCode::kOk ? one : result;
  }
  return result;
}

ResultCode OwnershipState::RevokeOne(const RevokeShards::Item& item) {
  const Assignment* const current = FindAssignment(item.shard);
  const bool anyone = item.next_owner == BackendId();
  if (current == nullptr || (!anyone && !IsConfigured(item.next_owner, item.shard.service))) {
    return ResultCode::kUnknownName;
  }
  if (current->state != AssignmentState::kOwned || current->owner == item.next_owner) {
    return ResultCode::kMoveRefused;
  }
  Assignment assignment = *current;
  assignment.state = AssignmentState::kRevoking;
  assignment.next_owner = item.next_owner;
  MarkGrantsChanged(assignment.owner);
  Put(std::move(assignment));
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const ConfirmRevocation& command) {
  const BackendRecord* const record = FindBackendRecord(command.backend);
  if (record == nullptr || !record->admitted || record->incarnation != command.incarnation) {
    return ResultCode::kUnknownName;
  }
  std::vector<ShardId> confirmed;
  for (const ShardId& shard : ShardsOf(command.backend)) {
    const Assignment& assignment = assignments_.at(shard);
    if (assignment.state == AssignmentState::kRevoking &&
        assignment.changed_at <= command.version) {
      confirmed.push_back(shard);
    }
  }
  std::for_each(confirmed.begin(), confirmed.end(),
                [this](const ShardId& shard) { Release(shard); });
  ForgetIfGone(command.backend);
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const SplitKey& command) {
  const Assignment* const range =
      FindAssignment(ShardId{command.shard.service, command.shard.range, ""});
  if (range == nullptr) {
    return ResultCode::kUnknownName;
  }
  if (command.shard.key.empty() || FindAssignment(command.shard) != nullptr) {
    return ResultCode::kAlreadyExists;
  }
  if (range->state != AssignmentState::kOwned) {
    return ResultCode::kMoveRefused;
  }
  Assignment assignment = *range;
  assignment.shard = command.shard;
  assignment.token = version_;
  MarkGrantsChanged(assignment.owner);
  Put(std::move(assignment));
  return ResultCode::kOk;
}

ResultCode OwnershipState::ApplyOne(const MergeKey& command) {
  const Assignment* const key = FindAssignment(command.shard);
  const Assignment* const range =
      FindAssignment(ShardId{command.shard.service, command.shard.range, ""});
  if (key == nullptr || range == nullptr || command.shard.key.empty()) {
    return ResultCode::kUnknownName;
  }
  const bool together = key->state == AssignmentState::kOwned &&
                        range->state == AssignmentState::kOwned && key->owner == range->owner;
  if (!together) {
    return ResultCode::kMoveRefused;
  }
  // The range's grant now covers the key again. Under its old token it would be older than the
  // key's last grant, and the order of tokens would no longer be the order of owners.
  Assignment merged = *range;
  merged.token = version_;
  MarkGrantsChanged(merged.owner);
  Put(std::move(merged));
  RememberRemoval(command.shard);
  Erase(command.shard);
  return ResultCode::kOk;
}

void OwnershipState::Release(const ShardId& shard) {
  if (!IsConfigured(shard)) {
    Erase(shard);
    return;
  }
  Assignment assignment = assignments_.at(shard);
  assignment.state = AssignmentState::kFree;
  assignment.owner = BackendId();
  Put(std::move(assignment));
}

void OwnershipState::ReleaseAllOf(const BackendId& backend) {
  const std::set<ShardId> shards = ShardsOf(backend);
  for (const ShardId& shard : shards) {
    Release(shard);
  }
}

void OwnershipState::ForgetIfGone(const BackendId& backend) {
  const bool configured = ladderstream::FindBackend(configuration_, backend) != nullptr;
  if (!configured && ShardsOf(backend).empty()) {
    backends_.erase(backend);
    changed_grants_.erase(backend);
  }
}

void OwnershipState::MarkGrantsChanged(const BackendId& backend) {
  backends_[backend].grants_version = version_;
  changed_grants_.insert(backend);
}

void OwnershipState::RememberRemoval(const ShardId& shard) {
  removals_.push_back({shard, version_});
  if (removals_.size() > kMaxRemovals) {
    full_before_ = removals_.front().removed_at;
    removals_.erase(removals_.begin());
  }
}

void OwnershipState::Put(Assignment assignment) {
  const auto current = assignments_.find(assignment.shard);
  if (current != assignments_.end()) {
    Unindex(current->second);
  }
  assignment.changed_at = version_;
  Index(assignment);
  MarkRoutingChanged();
  const ShardId shard = assignment.shard;
  assignments_.insert_or_assign(shard, std::move(assignment));
}

void OwnershipState::Erase(const ShardId& shard) {
  const auto current = assignments_.find(shard);
  Unindex(current->second);
  assignments_.erase(current);
  MarkRoutingChanged();
  const bool service_gone = !IsConfigured(shard);
  if (service_gone) {
    full_before_ = version_;
  }
}

void OwnershipState::Unindex(const Assignment& assignment) {
  by_change_.erase({assignment.changed_at, assignment.shard});
  free_.erase(assignment.shard);
  revoking_.erase(assignment.shard);
  const auto owned = shards_of_.find(assignment.owner);
  if (owned != shards_of_.end()) {
    owned->second.erase(assignment.shard);
    if (owned->second.empty()) {
      shards_of_.erase(owned);
    }
  }
}

void OwnershipState::Index(const Assignment& assignment) {
  by_change_.insert({assignment.changed_at, assignment.shard});
  if (assignment.state == AssignmentState::kFree) {
    free_.insert(assignment.shard);
    return;
  }
  shards_of_[assignment.owner].insert(assignment.shard);
  if (assignment.state == AssignmentState::kRevoking) {
    revoking_.insert(assignment.shard);
  }
}

std::set<BackendId> OwnershipState::TakeChangedGrants() {
  return std::exchange(changed_grants_, {});
}

}  // namespace ladderstream::authority
