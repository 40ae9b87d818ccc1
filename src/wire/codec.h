// Turns typed messages into bytes and back.
#pragma once

#include <absl/strings/str_cat.h>

#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "wire/result_code.h"

namespace ladderstream {

/// Gives the msgpack bytes of `message`.
template <typename Message>
std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

/// What unpacking may reserve for a message of `bytes`: no more elements than bytes, since each
/// takes one at least, whatever a length announces.
inline msgpack::unpack_limit UnpackLimitOf(size_t bytes) {
  constexpr size_t kMostDepth = 32;
  return {bytes, bytes, bytes, bytes, bytes, kMostDepth};
}

/// Reads a `Message` from exactly `bytes`. Throws Error(kMalformedMessage) if they are anything
/// else.
template <typename Message>
Message Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, UnpackLimitOf(bytes.size()));
    return handle.get().as<Message>();
  } catch (const std::exception& error) {
    throw Error(ResultCode::kMalformedMessage,
                absl::StrCat("message of ", bytes.size(), " bytes: ", error.what()));
  }
}

}  // namespace ladderstream
