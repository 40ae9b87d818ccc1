#include "core/configuration/ownership_command.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "core/configuration/configuration_fault.h"

namespace ladderstream::configuration {
namespace {

using authority::RoutingState;

[[noreturn]] void Refuse(ResultCode code, const std::string& field, const std::string& value,
                         const std::string& allowed) {
  throw ConfigurationError({{code, field, value, allowed}});
}

const BackendConfiguration& RequireBackend(const RoutingState& state, const BackendId& id,
                                           const std::string& field) {
  const BackendConfiguration* const backend = FindBackend(state.configuration, id);
  if (backend == nullptr) {
    Refuse(ResultCode::kUnknownName, field, id.value(), "the id of a back end");
  }
  return *backend;
}

const Assignment* FindAssignment(const RoutingState& state, const ShardId& shard) {
  const auto found =
      std::find_if(state.assignments.begin(), state.assignments.end(),
                   [&](const Assignment& assignment) { return assignment.shard == shard; });
  return found == state.assignments.end() ? nullptr : &*found;
}

bool IsDraining(const RoutingState& state, const BackendId& backend) {
  return std::any_of(state.homes.begin(), state.homes.end(), [&](const BackendHome& home) {
    return home.backend == backend && home.draining;
  });
}

void CheckKey(const ServiceConfiguration& service, const std::string& key) {
  if (service.routing != RoutingKind::kByKey) {
    Refuse(ResultCode::kMoveRefused, "service", service.name.value(),
           "a service that is routed by key");
  }
  const bool is_declared =
      std::any_of(service.key_prefixes.begin(), service.key_prefixes.end(),
                  [&](const std::string& prefix) { return absl::StartsWith(key, prefix); });
  if (key.empty() || key.size() > service.limits.max_key_bytes || !is_declared) {
    Refuse(ResultCode::kInvalidConfiguration, "key", key,
           absl::StrCat("a key of service ", service.name.value(), ", at most ",
                        service.limits.max_key_bytes, " bytes"));
  }
}

void CheckTarget(const RoutingState& state, const KeyMove& move) {
  const BackendConfiguration& target = RequireBackend(state, move.target, "backend_id");
  if (target.service != move.service) {
    Refuse(ResultCode::kMoveRefused, "backend_id", move.target.value(),
           absl::StrCat("a back end of service ", move.service.value()));
  }
  if (IsDraining(state, move.target)) {
    Refuse(ResultCode::kMoveRefused, "backend_id", move.target.value(),
           "a back end that is not draining");
  }
}

/// The assignment that covers the key now: the key's own, or its range's.
const Assignment& CoveringAssignment(const RoutingState& state, const ShardId& key_shard) {
  const Assignment* covering = FindAssignment(state, key_shard);
  if (covering == nullptr) {
    covering = FindAssignment(state, {key_shard.service, key_shard.range, ""});
  }
  if (covering == nullptr || covering->state == AssignmentState::kFree) {
    Refuse(ResultCode::kMoveRefused, "key", key_shard.key,
           "a key that has an owner; it is being assigned, try again");
  }
  return *covering;
}

}  // namespace

SetDraining PlanDraining(const RoutingState& state, const BackendId& backend, bool draining) {
  RequireBackend(state, backend, "id");
  return {.backend = backend, .draining = draining};
}

std::vector<Command> PlanMove(const RoutingState& state, const KeyMove& move) {
  const ServiceConfiguration* const service = FindService(state.configuration, move.service);
  if (service == nullptr) {
    Refuse(ResultCode::kUnknownName, "service", move.service.value(), "the name of a service");
  }
  CheckKey(*service, move.key);
  CheckTarget(state, move);
  const ShardId shard{move.service, RangeOf(move.key, service->range_count), move.key};
  const Assignment& covering = CoveringAssignment(state, shard);
  if (covering.state == AssignmentState::kRevoking) {
    if (covering.next_owner == move.target) {
      return {};
    }
    Refuse(ResultCode::kMoveRefused, "key", move.key,
           "a key that is not moving already; try again when it has moved");
  }
  if (covering.owner == move.target) {
    return {};
  }
  std::vector<Command> commands;
  if (covering.shard.key.empty()) {
    commands.emplace_back(SplitKey{shard});
  }
  commands.emplace_back(RevokeShards{{{shard, move.target}}});
  return commands;
}

void RequireOwnsNothing(const RoutingState& state, const BackendId& backend) {
  const auto owned = std::count_if(
      state.assignments.begin(), state.assignments.end(), [&](const Assignment& assignment) {
        return assignment.owner == backend && assignment.state != AssignmentState::kFree;
      });
  if (owned > 0) {
    Refuse(ResultCode::kStillInUse, absl::StrCat("backends[", backend.value(), "]"),
           absl::StrCat(owned, " shards"), "a back end that owns no key; drain it first");
  }
}

}  // namespace ladderstream::configuration
