// A seeded schedule of faults for the chaos scenario. Pure: the same seed gives the same schedule.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ladderstream::rehearsal {

enum class FaultKind {
  /// SIGKILL, then a fresh start at the end of the fault.
  kKillBackend,
  /// SIGSTOP, then SIGCONT.
  kFreezeBackend,
  /// SIGTERM, then a fresh start.
  kStopBackend,
  /// Drained by the operator command, then undrained.
  kDrainBackend,
  kKillNode,
  kFreezeNode,
  kStopNode,
  /// The table service refuses connections.
  kTableDown,
  /// The table service is slow.
  kTableSlow,
  /// The answers of the next writes to the table service are lost after they took effect.
  kLoseTableAnswers,
  /// A hot key is moved by the operator command; has no end.
  kMoveKey,
  /// Other keys become the hot ones; has no end.
  kRotateHotKeys,
};

struct Fault {
  FaultKind kind = FaultKind::kRotateHotKeys;
  /// The process; for kMoveKey the back end that shall have the key; otherwise empty.
  std::string target;
  /// For kMoveKey: the key; empty for the hottest probed key of the target's service.
  std::string key = {};
  /// Since the start of the load.
  absl::Duration from;
  absl::Duration until;
};

struct ScheduleSettings {
  uint64_t seed = 1;
  absl::Duration length;
  /// Nothing begins in the first and in the last part of this length.
  absl::Duration calm = absl::Seconds(3);
  /// Mean time from the beginning of one fault to that of the next.
  absl::Duration mean_interval = absl::Milliseconds(1500);
  absl::Duration shortest = absl::Milliseconds(200);
  absl::Duration longest = absl::Seconds(4);
  /// Faults that may be under way at once.
  uint32_t at_once = 2;
  std::vector<std::string> nodes;
  /// Back ends of services routed by key.
  std::vector<std::string> keyed_backends;
  /// The others.
  std::vector<std::string> other_backends;
};

/// Gives faults in order of `from`. No target has two faults at once, and at most one node fails at
/// a time unless `at_once` is more than two.
std::vector<Fault> MakeFaultSchedule(const ScheduleSettings& settings);

/// A short name, such as "kill back end".
std::string NameOf(FaultKind kind);

}  // namespace ladderstream::rehearsal
