// Admission control of one service: decides how many requests of each rank are admitted while the
// queues of its back ends are too long.
//
// An overloaded service that admits every request answers all of them late. Every answer of a back
// end reports how many requests wait there, so each node knows the queueing delay of the service
// within tenths of a second, even where it does not know that of a single back end. While the delay
// exceeds the shortest slack of the callers, requests are admitted at about the rate at which they
// complete. The ratio of completed to offered requests is similar at all nodes, so the same rule
// gives them about the same share without coordination. The least urgent rank is rejected first,
// down to a floor, then the next one.
//
// A service is not limited while its queues are short, nor if its back ends report no load.
//
// Performs no I/O, reads no clock and is not thread-safe, like the rest of the library.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "core/catalog/told_load.h"
#include "wire/time.h"

namespace ladderstream::admission {

/// Exponentially weighted rate of events.
class RecentRate {
 public:
  explicit RecentRate(Duration time_constant) : time_constant_(time_constant) {}

  void Add(Time now);
  /// Returns the rate in events per second.
  double Value(Time now) const;

 private:
  Duration time_constant_;
  double count_ = 0;
  Time at_ = absl::InfinitePast();
};

class ServiceAdmission {
 public:
  /// `floor`: the smallest share admitted of any rank, as a fraction of the share admitted of all
  /// requests; above 0 and at most 1. At 1 no rank has precedence.
  explicit ServiceAdmission(double floor);

  /// Records the load that a back end reported with an answer. `service_time`: its time for one
  /// request.
  void OnReportedLoad(const catalog::ToldLoad& reported, Duration service_time, Time now);
  /// Returns what a back end reported last, with the time; for logs.
  const std::optional<std::pair<catalog::ToldLoad, Time>>& last_report() const {
    return last_report_;
  }
  /// Records that a back end finished a request: it served the request, or failed or rejected it
  /// for a reason other than lack of capacity.
  void OnDone(Time now);
  /// Records an offered request and returns whether it is admitted. `rank`: 0 is the most urgent.
  /// `slack`: how long the request may wait in a queue and still be answered within its target
  /// latency; infinite if it has no target.
  bool Admit(uint32_t rank, Duration slack, Time now);

  /// Returns the recent queueing delay, averaged over the reports of all back ends that answered;
  /// it decays while no report arrives.
  Duration Delay(Time now) const;
  /// Returns the admitted share of the offered requests; 1 when no limit applies.
  double share() const { return share_; }
  /// Returns the admitted share of the offered requests of one rank.
  double ShareOf(uint32_t rank) const;
  /// Returns the most urgent rank of which requests are rejected; kNoLevel if there is none.
  uint32_t level() const { return level_; }
  /// Returns how long the queues need to drain to their target length; zero if they are no longer
  /// than that or no limit applies.
  Duration TimeUntilRoom(Time now) const;

  static constexpr uint32_t kNoLevel = UINT32_MAX;

 private:
  struct Rank {
    Rank();

    RecentRate offered;
    /// The shortest recent slack.
    Duration slack = absl::InfiniteDuration();
    Time slack_at = absl::InfinitePast();
    double share = 1;
    /// The requests, including fractions, by which admissions are behind the share; one request is
    /// admitted for each full unit.
    double credit = 0;
  };

  /// Returns the offered requests per second of all ranks.
  double Offered(Time now) const;
  /// Returns the shortest slack of the ranks that have a significant share of the requests.
  Duration Slack(Time now) const;
  /// Recomputes the limit and the shares, at most once per update interval.
  void Update(Time now);
  /// Divides `admitted` among the ranks (both rates in requests per second): each rank gets its
  /// floor, and the remainder goes to the most urgent ranks first.
  void Divide(double offered, double admitted, Time now);

  const double floor_;
  std::optional<std::pair<catalog::ToldLoad, Time>> last_report_;
  Duration delay_ = absl::ZeroDuration();
  Time delay_at_ = absl::InfinitePast();
  RecentRate done_;
  std::map<uint32_t, Rank> ranks_;
  Time updated_at_ = absl::InfinitePast();
  bool limited_ = false;
  double share_ = 1;
  uint32_t level_ = kNoLevel;
};

}  // namespace ladderstream::admission
