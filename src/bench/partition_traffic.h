// The requests of a simulated service: when they come, for which keys, and how much work they are.
#pragma once

#include <random>
#include <vector>

#include "bench/partition_model.h"

namespace ladderstream::bench {

class PartitionTraffic {
 public:
  PartitionTraffic(const PartitionScenario& scenario, uint64_t seed);

  /// The time from a request at `now` to the next.
  Duration DrawGap(Time now);
  ownership::Key DrawKey(Time now);
  /// Of a request on a back end of speed 1.
  Duration DrawWork();
  /// Multiplies the rate of requests.
  void set_factor(double factor) { factor_ = factor; }

 private:
  /// Neighbouring keys that take a share of all requests for a while.
  struct Slice {
    Time from;
    Time until;
    ownership::Key first = 0;
    uint32_t keys = 0;
    double share = 0;
  };

  void DrawSlices();
  double RateAt(Time now) const;

  const PartitionScenario& scenario_;
  std::mt19937_64 random_;
  /// Of its own, so that what a policy does changes nothing about when and where requests come.
  std::mt19937_64 work_random_;
  /// The popularity of all keys as a cumulative sum.
  std::vector<double> popularity_;
  std::vector<Slice> slices_;
  double factor_ = 1;
};

}  // namespace ladderstream::bench
