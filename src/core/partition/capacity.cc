#include "core/partition/capacity.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace ladderstream::partition {
namespace {

constexpr double kComfortableLateShare = 0.1;
/// Where the power below reaches 1, and how steeply overload is charged beyond it.
constexpr double kOverloadPressure = 1.585;
constexpr double kOverloadSlope = 2;
/// The squared coefficient of variation of service times.
constexpr double kServiceVariation = 0.25;
/// Even the slowest back end bears this utilisation.
constexpr double kLowestUtilisation = 0.05;
constexpr uint32_t kMostSlots = 64;
constexpr int kBisections = 24;

/// The probability that a request waits at all (Erlang C).
double WaitProbability(uint32_t slots, double utilisation) {
  const double offered = utilisation * slots;
  double blocked = 1;
  for (uint32_t i = 1; i <= slots; ++i) {
    blocked = offered * blocked / (i + offered * blocked);
  }
  return blocked / (1 - utilisation * (1 - blocked));
}

/// The probability that a request waits longer than `wait` service times.
double WaitsLonger(uint32_t slots, double utilisation, double wait) {
  const double decay = 2 * slots * (1 - utilisation) / (1 + kServiceVariation);
  return WaitProbability(slots, utilisation) * std::exp(-decay * wait);
}

/// The mean time in the queue, in seconds (Allen and Cunneen's approximation).
double MeanWait(uint32_t slots, double rate, double service_time) {
  const double utilisation = rate * service_time / slots;
  if (utilisation >= 1) {
    return std::numeric_limits<double>::infinity();
  }
  return WaitProbability(slots, utilisation) * service_time * (1 + kServiceVariation) / 2 /
         (slots * (1 - utilisation));
}

}  // namespace

double ComfortableLoad(uint32_t slots, double service_time, double late_after) {
  constexpr double kOwnWork = 1.2;
  constexpr double kLeastWait = 0.1;
  const uint32_t servers = std::clamp<uint32_t>(slots, 1, kMostSlots);
  const double wait = std::max(late_after / service_time - kOwnWork, kLeastWait);
  double low = kLowestUtilisation;
  double high = 1;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (WaitsLonger(servers, middle, wait) < kComfortableLateShare ? low : high) = middle;
  }
  return low * std::max<uint32_t>(slots, 1) / service_time;
}

double ServiceTimeBehind(uint32_t slots, double rate, double mean_time) {
  const uint32_t servers = std::clamp<uint32_t>(slots, 1, kMostSlots);
  double low = 0;
  double high = rate > 0 ? std::min(mean_time, servers / rate) : mean_time;
  // The time in the system grows with the service time, so halving the interval finds it.
  for (int i = 0; i < kBisections; ++i) {
    const double middle = (low + high) / 2;
    (middle + MeanWait(servers, rate, middle) < mean_time ? low : high) = middle;
  }
  return high;
}

double LateShare(double pressure) {
  if (pressure >= kOverloadPressure) {
    return 1 + kOverloadSlope * (pressure - kOverloadPressure);
  }
  // The fifth power fits queues with two or three servers between 40% and 100% utilisation.
  const double square = pressure * pressure;
  return pressure <= 0 ? 0 : kComfortableLateShare * square * square * pressure;
}

}  // namespace ladderstream::partition
