// What changed between two versions of the ownership map, so that nodes which hold the one need not
// be sent the whole other.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

/// Of one service: the assignments of the newer map that the older one does not have. What they
/// cover replaces what the older map says of the same keys.
struct ServiceChanges {
  Assignments assignments;
  /// Whole, as in the newer map.
  std::vector<KeyRange> moving;
  MSGPACK_DEFINE_ARRAY(assignments, moving);
};

struct MapChanges {
  MapVersion base;
  MapVersion version;
  /// Services that differ.
  std::map<std::string, ServiceChanges> services;
  /// Services that are as they were; whatever is neither here nor above has gone.
  std::vector<std::string> unchanged_services;
  MSGPACK_DEFINE_ARRAY(base, version, services, unchanged_services);
};

/// What leads from `older` to `newer`.
MapChanges ChangesBetween(const OwnershipMap& older, const OwnershipMap& newer);

/// The map that `changes` make of `held`; empty when they do not lead on from there.
///
/// Within one epoch they lead on from each version between the base and the newer one too: a key
/// that has the same owner and fence in both had them all the time, for fences only rise. So a node
/// that was answered between two pushes still takes the second. Empty also when a service went and
/// came back since the base, and `held` is without it.
std::optional<OwnershipMap> ApplyChanges(const OwnershipMap& held, const MapChanges& changes);

/// The newest maps, to find what changed since one of them. Not thread-safe.
class MapHistory {
 public:
  explicit MapHistory(size_t capacity) : capacity_(capacity) {}

  void Add(std::shared_ptr<const OwnershipMap> map);
  /// The map of this version; null when it is not held (any more).
  std::shared_ptr<const OwnershipMap> Find(const MapVersion& version) const;

 private:
  const size_t capacity_;
  std::deque<std::shared_ptr<const OwnershipMap>> maps_;
};

}  // namespace ladderstream::ownership
