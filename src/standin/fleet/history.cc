#include "standin/fleet/history.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace ladderstream::fleet {

size_t CountUnfinished(const History& history) {
  const auto attempts =
      std::count_if(history.attempts.begin(), history.attempts.end(),
                    [](const Attempt& attempt) { return attempt.ended == absl::InfiniteFuture(); });
  const auto runs =
      std::count_if(history.arrivals.begin(), history.arrivals.end(), [](const Arrival& arrival) {
        return arrival.ran() && arrival.ended == absl::InfiniteFuture();
      });
  return static_cast<size_t>(attempts + runs);
}

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
