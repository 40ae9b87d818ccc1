// How much of what a service is asked for is let through while its back ends' queues are too long,
// and of which rank.
//
// An overloaded service that takes everything answers everybody late. Each node hears, with every
// answer of any back end, how many requests wait there, so the queueing delay of the service is
// known within tenths of a second also where that of a single back end is not. While it is longer
// than the most impatient callers bear, as much is let through as is answered: what is answered
// over what is offered is much the same at every node, so all nodes reach about the same share by
// the same rule, without telling each other. The less urgent rank is turned away first, down to a
// floor, then the next.
//
// A service whose queues are short is never limited, nor is one whose back ends tell no load.
//
// Pure and of one thread, like the rest of the library.
#pragma once

#include <cstdint>
#include <map>

#include "core/catalog/told_load.h"
#include "wire/time.h"

namespace ladderstream::admission {

/// Events a second, the latest ones counting most.
class RecentRate {
 public:
  explicit RecentRate(Duration time_constant) : time_constant_(time_constant) {}

  void Add(Time now);
  /// A second.
  double Value(Time now) const;

 private:
  Duration time_constant_;
  double count_ = 0;
  Time at_ = absl::InfinitePast();
};

class ServiceAdmission {
 public:
  /// `floor`: each rank's requests are let through at least so often as all together are, times
  /// this; above 0 and at most 1, where no rank goes before another.
  explicit ServiceAdmission(double floor);

  /// A back end told its load with an answer; `service_time` is what it takes for one request.
  void OnReportedLoad(const catalog::ToldLoad& reported, Duration service_time, Time now);
  /// A back end has done with a request: served it, or failed or refused it for another reason than
  /// a lack of room.
  void OnDone(Time now);
  /// A request of this rank, 0 being the highest, would be sent. `slack`: how long it may wait in a
  /// queue and still be answered within its target latency; infinite when it has none. Whether it
  /// is let through.
  bool Admit(uint32_t rank, Duration slack, Time now);

  /// The queueing delay as told of late, over the back ends that answered.
  Duration Delay(Time now) const;
  /// The share of what is offered that is let through; 1 when nothing is turned away.
  double share() const { return share_; }
  /// Of one rank.
  double ShareOf(uint32_t rank) const;
  /// The most urgent rank of which some are turned away; kNoLevel when nothing is.
  uint32_t level() const { return level_; }
  /// How long the queues take to get as short as they should be; zero when they are.
  Duration TimeUntilRoom(Time now) const;

  static constexpr uint32_t kNoLevel = UINT32_MAX;

 private:
  struct Rank {
    Rank();

    RecentRate offered;
    /// The shortest slack seen of late.
    Duration slack = absl::InfiniteDuration();
    Time slack_at = absl::InfinitePast();
    double share = 1;
    /// What it was let through less than its share.
    double credit = 0;
  };

  /// Requests a second of all ranks.
  double Offered(Time now) const;
  /// How long the most impatient rank can wait, of those that matter.
  Duration Slack(Time now) const;
  void Update(Time now);
  /// Gives each rank its floor, and the rest to the urgent first.
  void Divide(double offered, double admitted, Time now);

  const double floor_;
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
