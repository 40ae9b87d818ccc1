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
  return TakeIf([now](const RelayedRequest& request) { return request.deadline <= now; });
}

std::vector<RelayedRequest> RequestRelay::TakeLeases() {
  return TakeIf([](const RelayedRequest& request) { return request.kind == RequestKind::kLease; });
}

std::vector<RelayedRequest> RequestRelay::TakeIf(
    const std::function<bool(const RelayedRequest&)>& wanted) {
  std::vector<RelayedRequest> taken;
  for (auto request = requests_.begin(); request != requests_.end();) {
    if (wanted(request->second)) {
      taken.push_back(std::move(request->second));
      request = requests_.erase(request);
    } else {
      ++request;
    }
  }
  return taken;
}

Time RequestRelay::NextDeadline() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [correlation, request] : requests_) {
    next = std::min(next, request.deadline);
  }
  return next;
}

}  // namespace ladderstream::authority
