// Kind and zone scope of messages between nodes, the labels under which their bytes are counted.
#pragma once

#include <cstdint>
#include <string_view>

#include "core/membership/messages.h"

namespace ladderstream::membership {

/// A heartbeat counts as the largest kind of content that it carries.
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
  kRelayedOrder,
  kRelayedRequest,
  kCount,
};

MessageKind KindOf(const Message& message);
/// Returns a name such as "map_changes".
std::string_view NameOf(MessageKind kind);

/// Zone of a destination relative to this node.
enum class ZoneScope : uint8_t { kUnknown, kOwn, kOther, kCount };

/// Returns "unknown", "own" or "other".
std::string_view NameOf(ZoneScope scope);

}  // namespace ladderstream::membership
