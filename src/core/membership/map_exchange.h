// Transfer of the ownership map in heartbeats: in full, or as the changes since a version that the
// receiver holds.
#pragma once

#include <memory>

#include "core/membership/messages.h"
#include "core/ownership/map_changes.h"
#include "core/ownership/ownership_map.h"

namespace ladderstream::membership {

class MapExchange {
 public:
  MapExchange();

  /// The newest map seen; null until one is known.
  const std::shared_ptr<const ownership::OwnershipMap>& map() const { return map_; }
  ownership::MapVersion version() const;

  /// Replaces the held map when `map` is newer. Returns whether it did.
  bool Take(std::shared_ptr<const ownership::OwnershipMap> map);
  /// Adopts the map or the map changes in `heartbeat`. Returns whether the held map became newer.
  bool TakeFrom(Heartbeat& heartbeat);

  /// Adds to `heartbeat` what a node that holds `version` lacks of the map.
  void AddTo(const ownership::MapVersion& version, Heartbeat* heartbeat) const;
  /// Whether a node that holds `version` can only be brought up to date with the full map.
  bool NeedsFull(const ownership::MapVersion& version) const;
  /// Adds to `heartbeat`, which goes to all nodes, the changes since the previous call.
  void AddToPush(Heartbeat* heartbeat);

 private:
  std::shared_ptr<const ownership::OwnershipMap> map_;
  ownership::MapHistory history_;
  /// The version that the last push brought all nodes to.
  ownership::MapVersion pushed_;
};

}  // namespace ladderstream::membership
