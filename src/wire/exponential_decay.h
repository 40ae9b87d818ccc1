// How much counts, and averages of what was seen some time ago, still say.
#pragma once

#include <cmath>

#include "wire/time.h"

namespace ladderstream {

/// What is left, of 1, after `age` with this time constant.
inline double ExponentialDecay(Duration age, Duration time_constant) {
  return std::exp(-absl::FDivDuration(age, time_constant));
}

}  // namespace ladderstream
