// Frames between nodes: a 4-byte big-endian length and one message. The highest bit of the length
// says that the message is compressed.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/membership/messages.h"

namespace ladderstream::gateway {

/// The length in front of each message. Bytes.
constexpr size_t kFrameHeaderBytes = 4;

/// Shorter messages stay as they are: they would hardly shrink. Bytes.
constexpr size_t kLeastCompressedBytes = 400;

enum class Compression { kNever, kLongMessages };

/// The bytes of one frame, length included. Throws Error(kMessageTooLarge) when the message has
/// more than `max_bytes`.
std::string EncodeFrame(const membership::Message& message, size_t max_bytes,
                        Compression compression = Compression::kLongMessages);

/// Cuts a stream of bytes into messages. Memory grows with what has arrived, never with what a
/// length announces.
class FrameReader {
 public:
  explicit FrameReader(size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds bytes as they came from the socket.
  void Append(std::string_view bytes);

  /// The next whole message, valid until the next Append; nothing when more bytes are needed.
  /// Throws Error(kMessageTooLarge) when a length is over the limit, Error(kMalformedMessage) when
  /// it is 0; the stream is then of no more use.
  std::optional<std::string_view> Next();

 private:
  size_t max_bytes_;
  std::string buffer_;
  /// The last message that came compressed.
  std::string decompressed_;
  /// How much of `buffer_` has been handed out.
  size_t consumed_ = 0;
};

}  // namespace ladderstream::gateway
