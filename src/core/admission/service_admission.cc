#include "core/admission/service_admission.h"

#include <algorithm>

#include "wire/exponential_decay.h"

namespace ladderstream::admission {
namespace {

// docs/design/023 tells how they were weighed.

/// The share of the slack that a queue may take while requests are turned away, and the one beyond
/// which that begins: a request that joins such a queue is late. Less kept turns away more than it
/// has to at a service that hovers at its capacity; more lets a flood make most answers late.
constexpr double kTargetQueueShare = 0.7;
constexpr double kLimitStartShare = 1;
/// How much more, or less, than is answered is let through where the queue is empty, or twice as
/// long as it should be.
constexpr double kGain = 0.6;
/// At least this share of what is answered: queues work off the rest.
constexpr double kMinFactor = 0.6;
/// Ranks above the least urgent are let through up to this share of what is answered, however long
/// the queues are: a burst of the less urgent is worked off at its own cost.
constexpr double kUrgentFactor = 0.85;
/// A node among seventy sees some twenty answers of a service a second.
constexpr Duration kRateTimeConstant = absl::Seconds(1);
constexpr Duration kDelayTimeConstant = absl::Milliseconds(300);
/// Without any news a delay is forgotten with this time constant, and nobody is turned away after
/// kMaxReportAge: where nothing is let through, nothing is answered that could tell of room.
constexpr Duration kStaleDelayTimeConstant = absl::Milliseconds(1200);
constexpr Duration kMaxReportAge = absl::Seconds(1);
/// The division is worked out no more often than this.
constexpr Duration kUpdateInterval = absl::Milliseconds(20);
/// Answered over offered says nothing of a service that this node asks for less, a second.
constexpr double kMinOfferedRate = 4;
/// A rank's shortest slack counts for so long.
constexpr Duration kSlackWindow = absl::Seconds(2);
/// Ranks with less than this share of the requests do not decide how long queues may be.
constexpr double kMinRankShare = 0.02;

}  // namespace

void RecentRate::Add(Time now) {
  count_ =
      at_ == absl::InfinitePast() ? 1 : count_ * ExponentialDecay(now - at_, time_constant_) + 1;
  at_ = now;
}

double RecentRate::Value(Time now) const {
  if (at_ == absl::InfinitePast()) {
    return 0;
  }
  return count_ * ExponentialDecay(now - at_, time_constant_) /
         absl::ToDoubleSeconds(time_constant_);
}

ServiceAdmission::Rank::Rank() : offered(kRateTimeConstant) {}

ServiceAdmission::ServiceAdmission(double floor) : floor_(floor), done_(kRateTimeConstant) {}

void ServiceAdmission::OnReportedLoad(const catalog::ToldLoad& reported, Duration service_time,
                                      Time now) {
  if (reported.slots == 0) {
    return;
  }
  const Duration sample = service_time * reported.waiting / reported.slots;
  const double weight = 1 - ExponentialDecay(now - delay_at_, kDelayTimeConstant);
  delay_ += (sample - delay_) * weight;
  delay_at_ = now;
}

void ServiceAdmission::OnDone(Time now) { done_.Add(now); }

Duration ServiceAdmission::Delay(Time now) const {
  return delay_at_ == absl::InfinitePast()
             ? absl::ZeroDuration()
             : delay_ * ExponentialDecay(now - delay_at_, kStaleDelayTimeConstant);
}

double ServiceAdmission::Offered(Time now) const {
  double all = 0;
  for (const auto& [rank, state] : ranks_) {
    all += state.offered.Value(now);
  }
  return all;
}

Duration ServiceAdmission::Slack(Time now) const {
  const double min_rate = kMinRankShare * Offered(now);
  Duration slack = absl::InfiniteDuration();
  for (const auto& [rank, state] : ranks_) {
    if (state.offered.Value(now) >= min_rate) {
      slack = std::min(slack, state.slack);
    }
  }
  return slack;
}

Duration ServiceAdmission::TimeUntilRoom(Time now) const {
  return limited_ ? std::max(Delay(now) - kTargetQueueShare * Slack(now), absl::ZeroDuration())
                  : absl::ZeroDuration();
}

void ServiceAdmission::Update(Time now) {
  if (now - updated_at_ < kUpdateInterval) {
    return;
  }
  updated_at_ = now;
  const Duration slack = Slack(now);
  const Duration delay = Delay(now);
  if (!limited_ && delay <= kLimitStartShare * slack) {
    return;
  }
  const double excess = absl::FDivDuration(delay, kTargetQueueShare * slack) - 1;
  const double factor = std::clamp(1 - kGain * excess, kMinFactor, 1 + kGain);
  const double offered = Offered(now);
  const double admitted = done_.Value(now) * factor;
  const bool known = offered >= kMinOfferedRate && now - delay_at_ < kMaxReportAge;
  limited_ = known && admitted < offered;
  Divide(offered, std::min(admitted, offered), now);
}

void ServiceAdmission::Divide(double offered, double admitted, Time now) {
  share_ = limited_ ? admitted / offered : 1;
  level_ = kNoLevel;
  const double floor = floor_ * share_;
  double remaining = admitted - floor * offered;
  const double urgent_budget =
      std::max(admitted, kUrgentFactor * done_.Value(now)) - floor * offered;
  double allotted = 0;
  for (auto& [rank, state] : ranks_) {
    const double rate = state.offered.Value(now);
    const bool least_urgent = rank == ranks_.rbegin()->first;
    const double extra =
        std::clamp(least_urgent ? remaining : urgent_budget - allotted, 0.0, (1 - floor) * rate);
    allotted += extra;
    remaining -= extra;
    state.share = limited_ && rate > 0 ? floor + extra / rate : 1;
    if (level_ == kNoLevel && state.share < 1) {
      level_ = rank;
    }
  }
}

bool ServiceAdmission::Admit(uint32_t rank, Duration slack, Time now) {
  Rank& state = ranks_[rank];
  state.offered.Add(now);
  if (slack <= state.slack || now - state.slack_at > kSlackWindow) {
    state.slack = slack;
    state.slack_at = now;
  }
  Update(now);
  if (!limited_) {
    state.credit = 0;
    return true;
  }
  state.credit += state.share;
  if (state.credit < 1) {
    return false;
  }
  state.credit -= 1;
  return true;
}

double ServiceAdmission::ShareOf(uint32_t rank) const {
  const auto found = ranks_.find(rank);
  return limited_ && found != ranks_.end() ? found->second.share : 1;
}

}  // namespace ladderstream::admission
