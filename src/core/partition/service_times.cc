#include "core/partition/service_times.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace ladderstream::partition {
namespace {

constexpr Duration kLearningHalfLife = absl::Seconds(5);
/// What is typical counts as this many answers of each back end.
constexpr double kPriorAnswers = 8;

}  // namespace

void ServiceTimes::SetColdUntil(const std::string& backend, Time until) {
  backends_[backend].cold_until = until;
}

void ServiceTimes::Add(const std::vector<ServiceTimeSample>& samples, Time now) {
  for (const ServiceTimeSample& sample : samples) {
    Learned& learned = backends_[sample.backend];
    if (sample.answers == 0 || now < learned.cold_until) {
      continue;
    }
    if (learned.answers > 0) {
      const double kept = std::exp2(-absl::FDivDuration(now - learned.at, kLearningHalfLife));
      learned.answers *= kept;
      learned.seconds *= kept;
    }
    learned.answers += sample.answers;
    learned.seconds += absl::ToDoubleSeconds(sample.total);
    learned.at = now;
  }
  UpdateTypical();
}

void ServiceTimes::Keep(const std::vector<PartitionBackend>& backends) {
  std::set<std::string> known;
  for (const PartitionBackend& backend : backends) {
    known.insert(backend.id);
  }
  std::erase_if(backends_, [&](const auto& entry) { return !known.contains(entry.first); });
  UpdateTypical();
}

void ServiceTimes::UpdateTypical() {
  std::vector<double> means;
  for (const auto& [id, learned] : backends_) {
    if (learned.answers > 0 && learned.seconds > 0) {
      means.push_back(learned.seconds / learned.answers);
    }
  }
  if (means.empty()) {
    typical_ = 0;
    return;
  }
  const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  typical_ = *middle;
}

double ServiceTimes::Of(const std::string& backend) const {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return typical_;
  }
  const Learned& learned = found->second;
  return (learned.seconds + kPriorAnswers * typical_) / (learned.answers + kPriorAnswers);
}

}  // namespace ladderstream::partition
