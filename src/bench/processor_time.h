// The processor time of the calling thread, for experiments that charge what a decision costs.
#pragma once

#include <ctime>

#include "wire/time.h"

namespace ladderstream::bench {

inline Duration ProcessorTime() {
  timespec spent = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return absl::DurationFromTimespec(spent);
}

}  // namespace ladderstream::bench
