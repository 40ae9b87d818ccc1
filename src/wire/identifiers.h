// Addresses, shared by every part.
#pragma once

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace ladderstream {

/// An IP address and port.
struct Endpoint {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  MSGPACK_DEFINE_ARRAY(host, port);
};

/// Writes `endpoint` as "host:port".
std::string FormatEndpoint(const Endpoint& endpoint);

/// Reads what FormatEndpoint wrote. Throws Error(kInvalidSetting) for anything else.
Endpoint ParseEndpoint(const std::string& text);

}  // namespace ladderstream
