// Which back end owns which keys: the committed assignment of every sharded service.
//
// Keys are numbers from 0 to kLastKey; ranges have both ends inside. Plain values.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace ladderstream::ownership {

using Key = uint32_t;
constexpr Key kLastKey = 65535;

/// Fencing token of a grant. Grows over all time and all coordinators: see FenceOf.
using Fence = uint64_t;

/// How many fences one coordinator epoch may hand out.
constexpr Fence kFencesPerEpoch = 1'000'000;

/// The `counter`-th fence of an epoch; above every fence of earlier epochs.
constexpr Fence FenceOf(uint64_t epoch, uint64_t counter) {
  return epoch * kFencesPerEpoch + counter;
}

struct KeyRange {
  Key first = 0;
  Key last = 0;
  auto operator<=>(const KeyRange&) const = default;
  MSGPACK_DEFINE_ARRAY(first, last);

  bool Contains(Key key) const { return first <= key && key <= last; }
  uint32_t Size() const { return last - first + 1; }
};

struct Assignment {
  KeyRange range;
  /// The id of the owning back end's incarnation; empty: nobody owns these keys.
  std::string owner;
  Fence fence = 0;
  bool operator==(const Assignment&) const = default;
  MSGPACK_DEFINE_ARRAY(range, owner, fence);
};

/// Sorted by key, without gaps or overlaps, from 0 to kLastKey.
using Assignments = std::vector<Assignment>;

/// Orders the maps of all coordinators.
struct MapVersion {
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  auto operator<=>(const MapVersion&) const = default;
  MSGPACK_DEFINE_ARRAY(epoch, sequence);
};

/// What routing needs of one sharded service.
struct ServiceOwnership {
  Assignments assignments;
  /// Ranges whose owner has been told to release them and whose next owner is not granted yet:
  /// requests for them wait a moment for the next map.
  std::vector<KeyRange> moving;
  bool operator==(const ServiceOwnership&) const = default;
  MSGPACK_DEFINE_ARRAY(assignments, moving);
};

/// The ownership of all sharded services, as published by a coordinator to all nodes.
struct OwnershipMap {
  MapVersion version;
  std::map<std::string, ServiceOwnership> services;
  MSGPACK_DEFINE_ARRAY(version, services);
};

/// The assignment that holds `key`; null when `assignments` is empty.
const Assignment* FindAssignment(const Assignments& assignments, Key key);

}  // namespace ladderstream::ownership
