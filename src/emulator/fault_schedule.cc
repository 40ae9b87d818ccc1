#include "emulator/fault_schedule.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <random>

namespace ladderstream::emulator {
namespace {

constexpr absl::Duration kRolloutHour = absl::Hours(10);
constexpr absl::Duration kBetweenDrains = absl::Minutes(5);
constexpr absl::Duration kDay = absl::Hours(24);

}  // namespace

std::vector<Fault> DrawFaults(const FaultModel& model, int backends, int days, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Fault> faults;
  const auto add = [&faults](absl::Duration at, FaultKind kind, int backend,
                             absl::Duration downtime) {
    faults.push_back({at, kind, backend});
    faults.push_back({at + downtime, FaultKind::kReturn, backend});
  };
  for (int day = 0; day < days; ++day) {
    const int first = absl::Uniform(random, 0, backends);
    for (int i = 0; i < std::min(model.drains, backends); ++i) {
      add(day * kDay + kRolloutHour + i * kBetweenDrains, FaultKind::kDrain, (first + i) % backends,
          model.drain_downtime);
    }
    for (int i = 0; i < model.crashes; ++i) {
      // Before or after the rollout, each in its own stretch of the day.
      const absl::Duration stretch = absl::Hours(12) / std::max(model.crashes, 1);
      const absl::Duration offset = stretch * absl::Uniform(random, 0.1, 0.9);
      add(day * kDay + absl::Hours(12) + i * stretch + offset, FaultKind::kCrash,
          absl::Uniform(random, 0, backends), model.crash_downtime);
    }
  }
  std::sort(faults.begin(), faults.end(),
            [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return faults;
}

}  // namespace ladderstream::emulator
