// How much load a back end bears before its answers come late.
//
// A back end is a queue with several servers; an answer is late when it takes longer than a
// multiple of what a typical back end works on a request.
#pragma once

#include <cstdint>

namespace ladderstream::partition {

/// An answer is late after this many typical service times.
constexpr double kLateAfterServiceTimes = 3;

/// The load, in requests per second, at which about a tenth of the answers of a back end are late.
/// Times in seconds, above zero.
double ComfortableLoad(uint32_t slots, double service_time, double late_after);

/// The service time, in seconds, of a back end with `slots` slots that answers `rate` requests per
/// second in `mean_time` seconds each, waiting included: the one at which a queue of this load
/// makes its answers take as long. Never more than `mean_time`, or than what its slots can work
/// off.
double ServiceTimeBehind(uint32_t slots, double rate, double mean_time);

/// The share of late answers at `pressure`, which is load over comfortable load. Goes on growing
/// beyond 1 under overload, for a queue that grows spoils what comes after it too.
double LateShare(double pressure);

/// Late answers per second of a back end.
inline double LateLoad(double load, double comfortable) {
  return load * LateShare(load / comfortable);
}

}  // namespace ladderstream::partition
