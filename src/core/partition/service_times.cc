#include "core/partition/service_times.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/partition/capacity.h"

namespace ladderstream::partition {
namespace {

constexpr Duration kLearningHalfLife = absl::Seconds(5);
/// What is typical counts as this many answers of each back end.
constexpr double kPriorAnswers = 8;
/// The first report of a back end covers about this much: the interval of the nodes' reports.
constexpr double kFirstReportSeconds = 0.4;

}  // namespace

void ServiceTimes::SetColdUntil(const std::string& backend, Time until) {
  backends_[backend].cold_until = until;
}

void ServiceTimes::Decay(Learned& learned, Time now) {
  if (learned.at == absl::InfinitePast()) {
    learned.observed = kFirstReportSeconds;
    learned.at = now;
    return;
  }
  const Duration elapsed = std::max(now - learned.at, absl::ZeroDuration());
  const double kept = std::exp2(-absl::FDivDuration(elapsed, kLearningHalfLife));
  learned.answers *= kept;
  learned.seconds *= kept;
  learned.all_answers *= kept;
  learned.observed = learned.observed * kept + absl::ToDoubleSeconds(elapsed);
  learned.at = std::max(learned.at, now);
}

void ServiceTimes::Add(const std::vector<ServiceTimeSample>& samples, Time now) {
  for (const ServiceTimeSample& sample : samples) {
    Learned& learned = backends_[sample.backend];
    if (sample.answers == 0 || now < learned.cold_until) {
      continue;
    }
    Decay(learned, now);
    learned.includes_wait = sample.includes_wait;
    learned.answers += sample.answers;
    learned.all_answers += sample.answers / sample.reported_share;
    learned.seconds += absl::ToDoubleSeconds(sample.total);
  }
  UpdateTypical();
}

void ServiceTimes::Keep(const std::vector<PartitionBackend>& backends) {
  std::set<std::string> known;
  for (const PartitionBackend& backend : backends) {
    known.insert(backend.id);
    backends_[backend.id].slots = backend.slots;
  }
  std::erase_if(backends_, [&](const auto& entry) { return !known.contains(entry.first); });
  UpdateTypical();
}

double ServiceTimes::Mean(const Learned& learned) {
  const double mean_time = learned.seconds / learned.answers;
  return learned.includes_wait
             ? ServiceTimeBehind(learned.slots, learned.all_answers / learned.observed, mean_time)
             : mean_time;
}

void ServiceTimes::UpdateTypical() {
  std::vector<double> means;
  for (const auto& [id, learned] : backends_) {
    if (learned.answers > 0 && learned.seconds > 0) {
      means.push_back(Mean(learned));
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
  if (found == backends_.end() || found->second.answers <= 0) {
    return typical_;
  }
  const Learned& learned = found->second;
  return (learned.answers * Mean(learned) + kPriorAnswers * typical_) /
         (learned.answers + kPriorAnswers);
}

}  // namespace ladderstream::partition
