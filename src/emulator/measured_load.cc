#include "emulator/measured_load.h"

#include <cmath>

namespace ladderstream::emulator {

const LoadSample& MeasuredLoad::Observe(const LoadSample& truth, absl::Duration period) {
  Smooth(truth.ranges, period, smoothed_.ranges);
  Smooth(truth.keys, period, smoothed_.keys);
  on_the_way_.push_back(smoothed_);
  while (on_the_way_.size() > model_.lag_samples + 1) {
    on_the_way_.pop_front();
  }
  // Keys that became tracked meanwhile are not yet known to the older sample.
  on_the_way_.front().keys.resize(truth.keys.size(), 0);
  return on_the_way_.front();
}

double MeasuredLoad::Count(double mean) {
  if (mean <= 0) {
    return 0;
  }
  return static_cast<double>(std::poisson_distribution<int64_t>(mean)(random_));
}

void MeasuredLoad::Smooth(const std::vector<double>& truth, absl::Duration period,
                          std::vector<double>& smoothed) {
  const double seconds = absl::ToDoubleSeconds(period);
  const double keep = std::exp(-absl::FDivDuration(period, model_.smoothing));
  const bool first = smoothed.empty();
  smoothed.resize(truth.size(), 0);
  for (size_t i = 0; i < truth.size(); ++i) {
    const double count = Count(truth[i] * seconds);
    const double rate = count / seconds;
    smoothed[i] = first ? rate : keep * smoothed[i] + (1 - keep) * rate;
  }
}

}  // namespace ladderstream::emulator
