#include "wire/identifiers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "wire/result_code.h"

namespace ladderstream {

std::string FormatEndpoint(const Endpoint& endpoint) {
  return absl::StrCat(endpoint.host, ":", endpoint.port);
}

Endpoint ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  const bool valid = colon != std::string::npos && colon > 0 &&
                     absl::SimpleAtoi(text.substr(colon + 1), &port) && port > 0 && port <= 65535;
  if (!valid) {
    throw Error(ResultCode::kInvalidSetting,
                absl::StrCat("\"", text, "\" is not an address; want IP:PORT, port 1 to 65535"));
  }
  return Endpoint{text.substr(0, colon), static_cast<uint16_t>(port)};
}

}  // namespace ladderstream
