#include "interfaces/http_exchange.h"

#include <absl/strings/match.h>

namespace ladderstream::interfaces {

std::string_view HttpResponse::Header(std::string_view name) const {
  const absl::string_view wanted(name.data(), name.size());
  for (const auto& [header, value] : headers) {
    if (absl::EqualsIgnoreCase(header, wanted)) {
      return value;
    }
  }
  return {};
}

}  // namespace ladderstream::interfaces
