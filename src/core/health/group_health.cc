#include "core/health/group_health.h"

#include <algorithm>

namespace ladderstream::health {
namespace {

Duration MedianLatency(const std::vector<const BackendHealth*>& members) {
  std::vector<Duration> latencies;
  latencies.reserve(members.size());
  for (const BackendHealth* member : members) {
    if (member != nullptr && member->Latency() > absl::ZeroDuration()) {
      latencies.push_back(member->Latency());
    }
  }
  if (latencies.empty()) {
    return absl::ZeroDuration();
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

}  // namespace

std::vector<bool> EligibleMembers(const std::vector<const BackendHealth*>& members,
                                  const GroupSettings& settings, Time now) {
  const Duration slow =
      std::max(settings.min_suspect_latency, settings.latency_factor * MedianLatency(members));
  std::vector<bool> eligible(members.size(), true);
  size_t suspects = 0;
  for (size_t i = 0; i < members.size(); ++i) {
    const BackendHealth* member = members[i];
    const bool suspect = member != nullptr && (member->IsSuspect(now) || member->Latency() > slow);
    eligible[i] = !suspect;
    suspects += suspect ? 1 : 0;
  }
  const double share = static_cast<double>(suspects) / static_cast<double>(members.size());
  if (!members.empty() && share > settings.panic_threshold) {
    eligible.assign(members.size(), true);
  }
  return eligible;
}

}  // namespace ladderstream::health
