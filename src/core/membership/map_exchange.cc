#include "core/membership/map_exchange.h"

#include <cstddef>
#include <optional>
#include <utility>

namespace ladderstream::membership {
namespace {

/// Number of newest maps kept; a node that holds one of them is sent changes only.
constexpr size_t kMaxKeptMaps = 32;

}  // namespace

MapExchange::MapExchange() : history_(kMaxKeptMaps) {}

ownership::MapVersion MapExchange::version() const {
  return map_ == nullptr ? ownership::MapVersion{} : map_->version;
}

bool MapExchange::Take(std::shared_ptr<const ownership::OwnershipMap> map) {
  if (map_ != nullptr && map->version <= map_->version) {
    return false;
  }
  map_ = std::move(map);
  history_.Add(map_);
  return true;
}

bool MapExchange::TakeFrom(Heartbeat& heartbeat) {
  if (!heartbeat.map.empty()) {
    return Take(std::make_shared<ownership::OwnershipMap>(std::move(heartbeat.map.front())));
  }
  if (heartbeat.map_changes.empty() || map_ == nullptr) {
    return false;
  }
  std::optional<ownership::OwnershipMap> changed =
      ownership::ApplyChanges(*map_, heartbeat.map_changes.front());
  return changed.has_value() &&
         Take(std::make_shared<ownership::OwnershipMap>(std::move(*changed)));
}

bool MapExchange::NeedsFull(const ownership::MapVersion& version) const {
  return map_ != nullptr && version < map_->version && history_.Find(version) == nullptr;
}

void MapExchange::AddTo(const ownership::MapVersion& version, Heartbeat* heartbeat) const {
  if (map_ == nullptr || version >= map_->version) {
    return;
  }
  const auto held = history_.Find(version);
  if (held != nullptr) {
    heartbeat->map_changes.push_back(ownership::ChangesBetween(*held, *map_));
  } else {
    heartbeat->map.push_back(*map_);
  }
}

void MapExchange::AddToPush(Heartbeat* heartbeat) {
  AddTo(pushed_, heartbeat);
  pushed_ = version();
}

}  // namespace ladderstream::membership
