#include "core/quarantine/recently_served.h"

namespace ladderstream::quarantine {
namespace {

/// Longer than it takes to settle a loss and to tell every node.
constexpr Duration kKept = absl::Seconds(10);
constexpr size_t kMostKept = 16384;

}  // namespace

void RecentlyServed::Add(const Fingerprint& request, Time now) {
  Forget(now);
  served_[request] = now;
  order_.emplace_back(now, request);
}

Time RecentlyServed::ServedAt(const Fingerprint& request) const {
  const auto found = served_.find(request);
  return found == served_.end() ? absl::InfinitePast() : found->second;
}

void RecentlyServed::Forget(Time now) {
  while (!order_.empty() && (now - order_.front().first > kKept || order_.size() >= kMostKept)) {
    const auto& [at, request] = order_.front();
    const auto found = served_.find(request);
    if (found != served_.end() && found->second == at) {
      served_.erase(found);
    }
    order_.pop_front();
  }
}

}  // namespace ladderstream::quarantine
