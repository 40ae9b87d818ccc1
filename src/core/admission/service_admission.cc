#include "core/admission/service_admission.h"

#include <algorithm>

#include "wire/exponential_decay.h"

namespace ladderstream::admission {
namespace {

// docs/design/023 explains the trade-offs between these values.

/// The queueing delay that is the target while requests are rejected, and the one above which
/// rejection starts, as shares of the slack. A request that joins a queue longer than the slack is
/// late. A smaller target rejects more than necessary at a service close to its capacity; with a
/// larger one, most answers are late under a large overload.
constexpr double kTargetQueueShare = 0.7;
constexpr double kLimitStartShare = 1;
/// The admitted rate exceeds the completed rate by this share when queues are empty, and is below
/// it by the same share, within kMinFactor, when they are twice the target length.
constexpr double kGain = 0.6;
/// The admitted rate is at least this share of the completed rate; queues drain by the difference.
constexpr double kMinFactor = 0.6;
/// Ranks above the least urgent are admitted up to this share of the completed rate, however long
/// the queues are, so that a burst of the least urgent rank drains at that rank's expense.
constexpr double kUrgentFactor = 0.85;
/// A node among seventy receives about twenty answers of a service per second.
constexpr Duration kRateTimeConstant = absl::Seconds(1);
constexpr Duration kDelayTimeConstant = absl::Milliseconds(300);
/// Without load reports the delay decays with this time constant, and after kMaxReportAge nothing
/// is rejected: if no request is admitted, no answer can report that capacity is free again.
constexpr Duration kStaleDelayTimeConstant = absl::Milliseconds(1200);
constexpr Duration kMaxReportAge = absl::Seconds(1);
/// Minimum time between two computations of the shares.
constexpr Duration kUpdateInterval = absl::Milliseconds(20);
/// Requests per second. Below this offered rate, the ratio of completed to offered requests is not
/// meaningful, and no limit applies.
constexpr double kMinOfferedRate = 4;
/// How long the shortest slack of a rank is kept.
constexpr Duration kSlackWindow = absl::Seconds(2);
/// Ranks with a smaller share of the requests are ignored in the slack of the service.
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
  last_report_.emplace(reported, now);
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
