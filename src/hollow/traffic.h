// What one hollow node sent and received, by kind of message, and the processor time it took.
#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstdint>
#include <string>

#include "wire/peer_message.h"

namespace ladderstream::hollow {

enum class TrafficKind { kReplication, kReports, kLeases, kPulls, kGrants, kOther, kStore };
inline constexpr size_t kTrafficKinds = 7;

/// TCP and IP headers of the one segment that a frame is counted as, in bytes. Acknowledgements are
/// taken to ride on data.
inline constexpr uint64_t kHeaderBytes = 40;
/// The length that precedes each frame, in bytes.
inline constexpr uint64_t kFrameBytes = 4;

std::string NameOf(TrafficKind kind);

TrafficKind KindOf(const PeerBody& body);

struct Traffic {
  std::array<uint64_t, kTrafficKinds> sent{};
  std::array<uint64_t, kTrafficKinds> received{};
  uint64_t frames_sent = 0;
  /// Lease requests that back ends sent to this node over HTTP (not counted in bytes).
  uint64_t lease_requests = 0;
  /// Processor time of decisions and codec.
  absl::Duration processor_time;

  /// Between nodes only, the table service left out.
  uint64_t PeerBytesSent() const;
  uint64_t PeerBytesReceived() const;
  uint64_t StoreBytes() const;
};

/// Processor time of the calling thread.
absl::Duration ThreadTime();

}  // namespace ladderstream::hollow
