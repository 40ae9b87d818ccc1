// What the control plane learns of the load: counts over a period, smoothed, and late.
//
// Not thread-safe.
#pragma once

#include <deque>
#include <random>

#include "emulator/load_model.h"

namespace ladderstream::emulator {

struct SignalModel {
  /// Time constant of the smoothing.
  absl::Duration smoothing = absl::Seconds(10);
  /// How many samples late a figure arrives.
  size_t lag_samples = 2;
  /// Keys that are not shards of their own are reported only if among this many busiest.
  size_t reported_keys = 64;
};

class MeasuredLoad {
 public:
  MeasuredLoad(const SignalModel& model, uint64_t seed) : model_(model), random_(seed) {}

  /// Counts one period of the true load and gives what is reported at its end.
  const LoadSample& Observe(const LoadSample& truth, absl::Duration period);

 private:
  /// How many requests came in a period when `mean` are expected.
  double Count(double mean);
  void Smooth(const std::vector<double>& truth, absl::Duration period,
              std::vector<double>& smoothed);

  SignalModel model_;
  std::mt19937_64 random_;
  LoadSample smoothed_;
  std::deque<LoadSample> on_the_way_;
};

}  // namespace ladderstream::emulator
