// Settings and counts of the connections between nodes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/membership/message_kind.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

struct PeerSettings {
  Endpoint listen;
  /// The longest message that is sent or accepted. Bytes.
  size_t max_frame_bytes = size_t{8} << 20U;
  /// What may wait on one connection; a single longer frame may wait alone. Beyond it the oldest
  /// reports are dropped, then the oldest frames.
  size_t max_queued_bytes = size_t{1} << 20U;
  size_t max_queued_frames = 64;
  /// A connection is given up when bytes stay unacknowledged this long.
  Duration user_timeout = absl::Milliseconds(1500);
  Duration connect_timeout = absl::Milliseconds(300);
  /// A connection is replaced when a report has been unanswered for this long: acknowledged bytes
  /// do not show that they arrived. Longer than an overloaded node takes to answer.
  Duration answer_timeout = absl::Seconds(2);
  /// After a failed connection nothing is sent to that address for this long.
  Duration shortest_back_off = absl::Milliseconds(50);
  Duration longest_back_off = absl::Milliseconds(500);
  /// Connections in either direction; an older outgoing one gives way to a new one.
  size_t max_connections = 1400;
  /// Of the jitter in back-offs.
  uint64_t seed = 0;
};

/// Messages of one kind for nodes of one scope, and their bytes, lengths included.
struct MessageTraffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// By MessageKind, then by ZoneScope.
using TrafficTable =
    std::array<std::array<MessageTraffic, static_cast<size_t>(membership::ZoneScope::kCount)>,
               static_cast<size_t>(membership::MessageKind::kCount)>;

/// Counts since the start.
struct PeerTraffic {
  /// What was queued, whether it left or not.
  TrafficTable queued = {};
  uint64_t frames_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t frames_received = 0;
  uint64_t bytes_received = 0;
  /// Not sent: a full queue, a failed or closed connection, or an address in back-off.
  uint64_t frames_dropped = 0;
  /// Each closed its connection.
  uint64_t malformed_frames = 0;
  uint64_t connections_opened = 0;
  uint64_t connect_failures = 0;
  /// Closed for want of an answer to a report.
  uint64_t connections_unanswered = 0;
};

}  // namespace ladderstream::gateway
