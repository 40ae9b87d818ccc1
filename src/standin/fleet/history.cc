#include "standin/fleet/history.h"

#include <absl/strings/str_cat.h>

#include <functional>

namespace ladderstream::fleet {

size_t DigestOf(const std::string& method, const std::string& target, const std::string& body) {
  return std::hash<std::string>()(absl::StrCat(method, "\n", target, "\n", body));
}

std::string BodyOf(const std::string& stamp, size_t bytes) {
  std::string body;
  body.reserve(bytes);
  while (body.size() < bytes) {
    absl::StrAppend(&body, stamp, ";");
  }
  body.resize(bytes);
  return body;
}

}  // namespace ladderstream::fleet
