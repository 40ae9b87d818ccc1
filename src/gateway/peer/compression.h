// Compresses the bytes of long messages between nodes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ladderstream::gateway {

/// Gives the zlib stream of `bytes`.
std::string Compress(std::string_view bytes);

/// The bytes that Compress took. Throws Error(kMessageTooLarge) when there are more than
/// `max_bytes`, Error(kMalformedMessage) when `compressed` is not exactly one whole stream. Memory
/// grows with what comes out, never with what a length announces.
std::string Decompress(std::string_view compressed, size_t max_bytes);

}  // namespace ladderstream::gateway
