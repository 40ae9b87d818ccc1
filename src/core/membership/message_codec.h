// Encodes and decodes messages between nodes.
#pragma once

#include <string>
#include <string_view>

#include "core/membership/messages.h"

namespace ladderstream::membership {

std::string EncodeMessage(const Message& message);

/// Decodes a message that spans exactly `bytes`. Throws Error(kMalformedMessage) for anything that
/// a node would not have sent: other types, sizes beyond the limits, mismatched lists, keys and
/// ranges outside of the key space. Memory use is bounded by a small multiple of the input size.
Message DecodeMessage(std::string_view bytes);

}  // namespace ladderstream::membership
