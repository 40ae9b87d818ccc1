// What a message between nodes is for, and whether it leaves the zone: by these its bytes are
// counted.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/membership/messages.h"

namespace ladderstream::membership {

/// A heartbeat counts as the largest thing that it carries.
enum class MessageKind : uint8_t {
  kReport,
  kHeartbeat,
  kMap,
  kMapChanges,
  kMembers,
  kRows,
  kResignation,
  kSnapshotRequest,
  kSnapshot,
  kPermit,
  kCount,
};

MessageKind KindOf(const Message& message);
/// Gives a name such as "map_changes".
std::string_view NameOf(MessageKind kind);

/// Where a destination is, seen from this node.
enum class ZoneScope : uint8_t { kUnknown, kOwn, kOther, kCount };

/// Gives "unknown", "own" or "other".
std::string_view NameOf(ZoneScope scope);

}  // namespace ladderstream::membership
