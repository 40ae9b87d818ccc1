// The inequalities that make leases safe and losses short; docs/design/002 derives them.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/authority/authority.h"

namespace ladderstream::authority {
namespace {

/// A key is served again within this after any single loss.
constexpr Duration kRecoveryTarget = absl::Seconds(2);
/// Allowed within that target for commits, pushes and the back ends' own asking.
constexpr Duration kRecoverySlack = absl::Milliseconds(300);
constexpr double kMaxSensibleDrift = 0.1;

class Faults {
 public:
  void Require(bool holds, const std::string& rule) {
    if (!holds) {
      faults_.push_back(rule);
    }
  }
  void ThrowIfAny() const {
    if (!faults_.empty()) {
      throw Error(ResultCode::kInconsistentSettings, absl::StrJoin(faults_, "; "));
    }
  }

 private:
  std::vector<std::string> faults_;
};

std::string Text(Duration duration) { return absl::FormatDuration(duration); }

void CheckLeases(const AuthoritySettings& settings, Faults& faults) {
  const replication::Timing& timing = settings.replication;
  faults.Require(timing.max_clock_drift >= 0 && timing.max_clock_drift <= kMaxSensibleDrift,
                 absl::StrCat("max_clock_drift (", timing.max_clock_drift, ") must be in [0, ",
                              kMaxSensibleDrift, "]"));
  faults.Require(settings.backend_lease > absl::ZeroDuration() &&
                     settings.backend_lease + timing.heartbeat_interval <= timing.leader_lease,
                 absl::StrCat("backend_lease (", Text(settings.backend_lease),
                              ") plus heartbeat_interval (", Text(timing.heartbeat_interval),
                              ") must not exceed leader_lease (", Text(timing.leader_lease), ")"));
  faults.Require(settings.expiry_margin >= settings.backend_lease * timing.max_clock_drift,
                 absl::StrCat("expiry_margin (", Text(settings.expiry_margin),
                              ") must cover the drift over a backend_lease"));
}

void CheckRecoveryTime(const AuthoritySettings& settings, Faults& faults) {
  const replication::Timing& timing = settings.replication;
  const Duration earlier_lease = timing.leader_lease * (1 + 2 * timing.max_clock_drift);
  const Duration new_leader_waits = timing.election_timeout_max + settings.backend_lease;
  const Duration owner_lost = std::max(earlier_lease, new_leader_waits) + settings.expiry_margin;
  faults.Require(owner_lost + kRecoverySlack <= kRecoveryTarget,
                 absl::StrCat("election_timeout_max, backend_lease, leader_lease and expiry_margin "
                              "leave a lost owner's keys unserved for ",
                              Text(owner_lost), "; at most ",
                              Text(kRecoveryTarget - kRecoverySlack), " is allowed"));
  // A back end asks each third of its lease, so two thirds are left at least when a leader dies.
  faults.Require(
      settings.backend_lease * 2 / 3 >= timing.election_timeout_max + timing.heartbeat_interval,
      absl::StrCat("two thirds of backend_lease (", Text(settings.backend_lease),
                   ") must outlast an election (election_timeout_max ",
                   Text(timing.election_timeout_max),
                   " plus heartbeat_interval), or a lost leader costs keys "
                   "their owners"));
  const Duration home_lost = settings.node_timeout + settings.pull_interval;
  faults.Require(home_lost + kRecoverySlack <= kRecoveryTarget,
                 absl::StrCat("node_timeout plus pull_interval (", Text(home_lost),
                              ") must not exceed ", Text(kRecoveryTarget - kRecoverySlack)));
  faults.Require(settings.report_interval * 3 <= settings.node_timeout,
                 absl::StrCat("node_timeout (", Text(settings.node_timeout),
                              ") must be at least three report_intervals (",
                              Text(settings.report_interval), ")"));
}

void CheckStoreUse(const AuthoritySettings& settings, Faults& faults) {
  const replication::Timing& timing = settings.replication;
  faults.Require(
      settings.confirmation_limit >= 2 * settings.pull_interval + 2 * timing.election_timeout_max,
      absl::StrCat("confirmation_limit (", Text(settings.confirmation_limit),
                   ") must outlast two pull_intervals and two elections"));
  faults.Require(
      settings.recovery_delay >= 2 * (settings.checkpoint_interval + settings.store_poll_interval),
      absl::StrCat("recovery_delay (", Text(settings.recovery_delay),
                   ") must be at least twice checkpoint_interval plus "
                   "store_poll_interval, which show that a leader is alive"));
}

}  // namespace

void CheckAuthoritySettings(const AuthoritySettings& settings) {
  replication::CheckTiming(settings.replication);
  Faults faults;
  faults.Require(settings.voter_count % 2 == 1,
                 absl::StrCat("voter_count (", settings.voter_count, ") must be odd"));
  CheckLeases(settings, faults);
  CheckRecoveryTime(settings, faults);
  CheckStoreUse(settings, faults);
  faults.ThrowIfAny();
}

}  // namespace ladderstream::authority
