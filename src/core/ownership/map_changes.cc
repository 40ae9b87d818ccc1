#include "core/ownership/map_changes.h"

#include <utility>

#include "core/ownership/assignments.h"

namespace ladderstream::ownership {
namespace {

/// The assignments of `newer` that `older` does not have; both are sorted by key.
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
    }
  }
  for (const auto& [name, service] : older.services) {
    if (!newer.services.contains(name)) {
      changes.removed_services.push_back(name);
    }
  }
  return changes;
}

std::optional<OwnershipMap> ApplyChanges(const OwnershipMap& held, const MapChanges& changes) {
  if (held.version != changes.base) {
    return std::nullopt;
  }
  OwnershipMap map = held;
  map.version = changes.version;
  for (const std::string& name : changes.removed_services) {
    map.services.erase(name);
  }
  for (const auto& [name, service] : changes.services) {
    ServiceOwnership& target = map.services[name];
    if (target.assignments.empty() && !service.assignments.empty()) {
      target.assignments = Unowned();
    }
    for (const Assignment& assignment : service.assignments) {
      AssignRange(assignment.range, assignment.owner, assignment.fence, &target.assignments);
    }
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
