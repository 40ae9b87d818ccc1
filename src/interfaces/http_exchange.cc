#include "interfaces/http_exchange.h"

#include <absl/strings/match.h>

namespace ladderstream::interfaces {

namespace {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const absl::string_view wanted(name.data(), name.size());
  for (const auto& [header, value] : headers) {
    if (absl::EqualsIgnoreCase(header, wanted)) {
      return value;
    }
  }
  return {};
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view HttpResponse::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

}  // namespace ladderstream::interfaces
