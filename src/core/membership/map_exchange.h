// The ownership map as heartbeats carry it: whole, or as what changed since a version that the
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

  /// The newest map seen; null before any is known.
  const std::shared_ptr<const ownership::OwnershipMap>& map() const { return map_; }
  ownership::MapVersion version() const;

  /// True when `map` is newer than the one held, and held from now on.
  bool Take(std::shared_ptr<const ownership::OwnershipMap> map);
  /// Takes what `heartbeat` says of the map. True when a newer one is held.
  bool TakeFrom(Heartbeat& heartbeat);

  /// Puts into `heartbeat` what a node that holds `version` lacks of the map.
  void AddTo(const ownership::MapVersion& version, Heartbeat* heartbeat) const;
  /// Whether a node that holds `version` can only be sent the whole map.
  bool NeedsFull(const ownership::MapVersion& version) const;
  /// Puts into `heartbeat`, which goes to all nodes, what changed since this was last called.
  void AddToPush(Heartbeat* heartbeat);

 private:
  std::shared_ptr<const ownership::OwnershipMap> map_;
  ownership::MapHistory history_;
  /// What the last push brought all nodes to.
  ownership::MapVersion pushed_;
};

}  // namespace ladderstream::membership
