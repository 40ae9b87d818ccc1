// Frames of the protocol between nodes: a 4-byte big-endian length and one msgpack PeerFrame.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/peer_message.h"

namespace ladderstream::peer {

/// The longest message (without its length) that a node sends or accepts. Bytes.
inline constexpr size_t kMaxFrameBytes = size_t{16} << 20;

/// The length in front of each message. Bytes.
inline constexpr size_t kFrameHeaderBytes = 4;

/// Gives the bytes of `frame`, length included. Throws Error(kMessageTooLarge) over the limit.
std::string EncodeFrame(const PeerFrame& frame);

/// Cuts a stream of bytes into messages. Memory grows with what has arrived, never with what a
/// length announces. Not thread-safe.
class FrameReader {
 public:
  /// Adds bytes as they came from the socket.
  void Append(std::string_view bytes);

  /// Gives the next whole message, or nothing when more bytes are needed. Throws
  /// Error(kMessageTooLarge) when a length is over the limit; the stream is then of no more use.
  std::optional<std::string> Next();

 private:
  std::string buffer_;
  /// How much of `buffer_` has been handed out.
  size_t consumed_ = 0;
};

}  // namespace ladderstream::peer
