#include "core/authority/request_relay.h"

#include <algorithm>
#include <utility>

namespace ladderstream::authority {

void RequestRelay::Add(uint64_t correlation, RelayedRequest request) {
  requests_.insert_or_assign(correlation, std::move(request));
}

std::optional<RelayedRequest> RequestRelay::Take(uint64_t correlation) {
  const auto found = requests_.find(correlation);
  if (found == requests_.end()) {
    return std::nullopt;
  }
  RelayedRequest request = std::move(found->second);
  requests_.erase(found);
  return request;
}

std::vector<RelayedRequest> RequestRelay::TakeExpired(Time now) {
  std::vector<RelayedRequest> expired;
  for (auto request = requests_.begin(); request != requests_.end();) {
    if (request->second.deadline <= now) {
      expired.push_back(std::move(request->second));
      request = requests_.erase(request);
    } else {
      ++request;
    }
  }
  return expired;
}

Time RequestRelay::NextDeadline() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [correlation, request] : requests_) {
    next = std::min(next, request.deadline);
  }
  return next;
}

}  // namespace ladderstream::authority
