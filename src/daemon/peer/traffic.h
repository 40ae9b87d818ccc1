// Counts what crosses the connections between nodes: messages and bytes by kind, errors by cause.
//
// Control and forwarding are told apart, since control has a budget of its own (2 KB/s a node).
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

#include "wire/peer_message.h"

namespace ladderstream::peer {

/// The index of a message's alternative in PeerBody.
using MessageKind = size_t;
inline constexpr size_t kMessageKinds = std::variant_size_v<PeerBody>;

/// Gives a stable lower-case name, such as "forward_request".
std::string_view NameOfKind(MessageKind kind);

/// Whether messages of this kind carry callers' requests; all others are control.
bool IsForwarding(MessageKind kind);

enum class Direction { kSent = 0, kReceived = 1 };

enum class ErrorCause {
  kConnectFailed = 0,
  kConnectionLost,
  kMalformedFrame,
  kOversizedFrame,
  kQueueFull,
  kCallTimedOut,
  kTooManyConnections,
};
inline constexpr size_t kErrorCauses = 7;

/// Gives a stable lower-case name, such as "connect_failed".
std::string_view NameOfCause(ErrorCause cause);

/// Thread-safe.
class Traffic {
 public:
  struct Count {
    uint64_t messages = 0;
    /// Lengths included.
    uint64_t bytes = 0;
  };

  void CountMessage(Direction direction, MessageKind kind, size_t bytes);
  void CountError(ErrorCause cause);

  Count Messages(Direction direction, MessageKind kind) const;
  uint64_t Errors(ErrorCause cause) const;
  /// Bytes of every kind of control message in that direction.
  uint64_t ControlBytes(Direction direction) const;

 private:
  struct AtomicCount {
    std::atomic<uint64_t> messages{0};
    std::atomic<uint64_t> bytes{0};
  };

  const AtomicCount& At(Direction direction, MessageKind kind) const;

  std::array<std::array<AtomicCount, kMessageKinds>, 2> messages_;
  std::array<std::atomic<uint64_t>, kErrorCauses> errors_{};
};

}  // namespace ladderstream::peer
