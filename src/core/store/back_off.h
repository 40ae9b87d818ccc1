// How long to wait after failures in a row: doubling, with jitter.
#pragma once

#include <cstdint>
#include <random>

#include "wire/time.h"

namespace ladderstream::store {

class BackOff {
 public:
  /// Equal seeds give equal waits.
  BackOff(Duration shortest, Duration longest, uint64_t seed);

  /// The wait after one more failure: between `shortest` and a bound that doubles up to `longest`.
  Duration Next();
  /// Something went well: the next wait is a short one.
  void Reset() { failures_ = 0; }

 private:
  Duration shortest_;
  Duration longest_;
  std::mt19937_64 random_;
  uint32_t failures_ = 0;
};

}  // namespace ladderstream::store
