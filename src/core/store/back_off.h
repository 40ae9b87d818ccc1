// Exponential back-off with jitter for consecutive failures.
#pragma once

#include <cstdint>
#include <random>

#include "wire/time.h"

namespace ladderstream::store {

class BackOff {
 public:
  /// Equal seeds produce equal sequences of waits.
  BackOff(Duration shortest, Duration longest, uint64_t seed);

  /// Records a failure and returns the wait that follows it: a random time between `shortest` and a
  /// bound that doubles with each failure up to `longest`.
  Duration Next();
  /// Records a success: the next wait starts from the shortest bound again.
  void Reset() { failures_ = 0; }

 private:
  Duration shortest_;
  Duration longest_;
  std::mt19937_64 random_;
  uint32_t failures_ = 0;
};

}  // namespace ladderstream::store
