#include "core/ownership/map_changes.h"

#include <utility>

#include "core/ownership/assignment_table.h"
#include "core/ownership/assignments.h"

namespace ladderstream::ownership {
namespace {

/// Returns the assignments of `newer` that are not in `older`. Both must be sorted by key.
Assignments Additions(const Assignments& older, const Assignments& newer) {
  Assignments additions;
  auto candidate = older.begin();
  for (const Assignment& assignment : newer) {
    while (candidate != older.end() && candidate->range.first < assignment.range.first) {
      ++candidate;
    }
    if (candidate == older.end() || *candidate != assignment) {
      additions.push_back(assignment);
    }
  }
  return additions;
}

/// Returns whether `changes` contains everything that differs between version `held` and the newer
/// map.
bool AppliesTo(const MapVersion& held, const MapChanges& changes) {
  if (held == changes.base) {
    return true;
  }
  return changes.base.epoch == changes.version.epoch && changes.base < held &&
         held < changes.version;
}

}  // namespace

MapChanges ChangesBetween(const OwnershipMap& older, const OwnershipMap& newer) {
  MapChanges changes;
  changes.base = older.version;
  changes.version = newer.version;
  for (const auto& [name, service] : newer.services) {
    const auto before = older.services.find(name);
    if (before == older.services.end()) {
      changes.services[name] = {service.assignments, service.moving};
    } else if (before->second != service) {
      changes.services[name] = {Additions(before->second.assignments, service.assignments),
                                service.moving};
    } else {
      changes.unchanged_services.push_back(name);
    }
  }
  return changes;
}

std::optional<OwnershipMap> ApplyChanges(const OwnershipMap& held, const MapChanges& changes) {
  if (!AppliesTo(held.version, changes)) {
    return std::nullopt;
  }
  OwnershipMap map;
  map.version = changes.version;
  for (const std::string& name : changes.unchanged_services) {
    const auto before = held.services.find(name);
    if (before == held.services.end()) {
      return std::nullopt;
    }
    map.services[name] = before->second;
  }
  for (const auto& [name, service] : changes.services) {
    const auto before = held.services.find(name);
    if (before == held.services.end() && !CoversAllKeys(service.assignments)) {
      return std::nullopt;
    }
    ServiceOwnership& target = map.services[name];
    AssignmentTable table;
    if (before != held.services.end()) {
      table = AssignmentTable(before->second.assignments);
    }
    for (const Assignment& assignment : service.assignments) {
      table.Assign(assignment.range, assignment.owner, assignment.fence);
    }
    target.assignments = table.Slice({0, kLastKey});
    target.moving = service.moving;
  }
  return map;
}

void MapHistory::Add(std::shared_ptr<const OwnershipMap> map) {
  maps_.push_back(std::move(map));
  if (maps_.size() > capacity_) {
    maps_.pop_front();
  }
}

std::shared_ptr<const OwnershipMap> MapHistory::Find(const MapVersion& version) const {
  for (const auto& map : maps_) {
    if (map->version == version) {
      return map;
    }
  }
  return nullptr;
}

}  // namespace ladderstream::ownership
