#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <string>
#include <vector>

#include "core/replication/replica.h"
#include "wire/result_code.h"

namespace ladderstream::replication {
namespace {

constexpr double kMaxDrift = 0.1;
constexpr uint64_t kMinLogEntries = 16;
/// Heartbeats that must fit into an election time-out, so that one lost message elects nobody.
constexpr int kHeartbeatsPerTimeout = 2;

}  // namespace

void CheckTiming(const Timing& timing) {
  std::vector<std::string> faults;
  const auto require = [&](bool holds, std::string_view rule) {
    if (!holds) {
      faults.emplace_back(rule);
    }
  };
  require(timing.heartbeat_interval > absl::ZeroDuration(), "heartbeat_interval > 0");
  require(timing.election_timeout_min >= kHeartbeatsPerTimeout * timing.heartbeat_interval,
          "election_timeout_min >= 2 * heartbeat_interval");
  require(timing.election_timeout_max > timing.election_timeout_min,
          "election_timeout_max > election_timeout_min");
  require(timing.max_clock_drift >= 0 && timing.max_clock_drift <= kMaxDrift,
          "0 <= max_clock_drift <= 0.1");
  require(timing.leader_lease * (1 - timing.max_clock_drift) >= timing.election_timeout_max,
          "leader_lease * (1 - max_clock_drift) >= election_timeout_max");
  require(timing.max_log_entries >= kMinLogEntries, "max_log_entries >= 16");
  if (!faults.empty()) {
    throw Error(ResultCode::kInconsistentSettings,
                absl::StrCat("replication timing must satisfy: ", absl::StrJoin(faults, "; ")));
  }
}

}  // namespace ladderstream::replication
