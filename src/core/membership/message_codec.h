// Turns messages between nodes into bytes and back.
#pragma once

#include <string>
#include <string_view>

#include "core/membership/messages.h"

namespace ladderstream::membership {

std::string EncodeMessage(const Message& message);

/// Reads a message from exactly `bytes`. Throws Error(kMalformedMessage) for anything that a node
/// would not have sent: other types, sizes beyond the bounds, lists that do not match, keys and
/// ranges outside of the key space. Memory stays within a small multiple of `bytes`.
Message DecodeMessage(std::string_view bytes);

}  // namespace ladderstream::membership
