// Differences between two versions of the ownership map. Nodes that hold the older version receive
// only these instead of the full map.
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

/// The assignments of one service that are in the newer map but not in the older one. They replace
/// the older map's assignments of the same keys.
struct ServiceChanges {
  Assignments assignments;
  /// The complete list of moving ranges of the newer map.
  std::vector<KeyRange> moving;
  MSGPACK_DEFINE_ARRAY(assignments, moving);
};

struct MapChanges {
  MapVersion base;
  MapVersion version;
  /// Services that changed or were added.
  std::map<std::string, ServiceChanges> services;
  /// Services that did not change. A service listed neither here nor in `services` was removed.
  std::vector<std::string> unchanged_services;
  MSGPACK_DEFINE_ARRAY(base, version, services, unchanged_services);
};

/// Returns the changes that turn `older` into `newer`.
MapChanges ChangesBetween(const OwnershipMap& older, const OwnershipMap& newer);

/// Returns `held` with `changes` applied, or nullopt if they do not apply to its version.
///
/// Within one epoch they also apply to any version between the base and the newer one: fences only
/// rise, so a key with equal owner and fence in both had them in every version between. A node that
/// fetched a map between two pushes can therefore still apply the second push. Also returns nullopt
/// if a service was removed and created again since the base and `held` does not contain it.
std::optional<OwnershipMap> ApplyChanges(const OwnershipMap& held, const MapChanges& changes);

/// Keeps the newest maps so that changes since one of them can be computed. Not thread-safe.
class MapHistory {
 public:
  explicit MapHistory(size_t capacity) : capacity_(capacity) {}

  void Add(std::shared_ptr<const OwnershipMap> map);
  /// Returns the map of this version, or null if it is not or no longer kept.
  std::shared_ptr<const OwnershipMap> Find(const MapVersion& version) const;

 private:
  const size_t capacity_;
  std::deque<std::shared_ptr<const OwnershipMap>> maps_;
};

}  // namespace ladderstream::ownership
