// When the back ends of an emulated service crash, drain and come back.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace ladderstream::emulator {

enum class FaultKind { kCrash, kDrain, kReturn };

struct Fault {
  absl::Duration at;
  FaultKind kind = FaultKind::kCrash;
  int backend = 0;
};

struct FaultModel {
  /// Per day, for the whole service.
  int crashes = 2;
  /// Back ends restarted one after the other in the morning, as a new version goes out.
  int drains = 4;
  absl::Duration crash_downtime = absl::Seconds(90);
  absl::Duration drain_downtime = absl::Seconds(40);
};

/// Draws the faults of `days` days, in order of time. No two concern one back end at once.
std::vector<Fault> DrawFaults(const FaultModel& model, int backends, int days, uint64_t seed);

}  // namespace ladderstream::emulator
