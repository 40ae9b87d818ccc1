#include "core/quarantine/suspect_record.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace ladderstream::quarantine {
namespace {

/// A loss that is not settled by then counts no more: nobody reaches the back end, and its
/// registration stays.
constexpr Duration kOpenFor = absl::Minutes(1);
/// A request that is not held is forgotten this long after its last loss. Much longer, and innocent
/// ones that come back to one crash after the other would be held. A loss that was no crash is kept
/// as long: a later process may take the back end's name.
constexpr Duration kForgetLoss = absl::Minutes(1);
/// Long enough for all nodes to hear that it was served.
constexpr Duration kForgetServed = absl::Minutes(1);
/// One that was held is remembered for this long after its hold lapsed, so that the next crash
/// holds it at once, and for longer.
constexpr Duration kForgetReleased = absl::Minutes(10);
/// A crash that follows the one that holds a request by less may have been under way by then.
constexpr Duration kUnderWay = absl::Seconds(3);
/// How long a request is held, by the crashes since it was held. An innocent one that was at
/// work at each crash cannot be told from the guilty one: it is out again with the first trial,
/// soon. Few callers of a guilty one repeat it for five minutes.
constexpr Duration kHolds[] = {absl::Seconds(5), absl::Minutes(5), absl::Hours(1)};
constexpr Duration kLongestHold = absl::Hours(24);

constexpr uint64_t kTrialTurns = 8;
/// Longer than it takes to tell all nodes of a crash.
constexpr Duration kTrialTurn = absl::Milliseconds(600);

/// By then it is known what became of a trial, also of one that fell silent.
constexpr Duration kTrialSettled = absl::Seconds(20);

Duration HoldAfter(size_t later_crashes) {
  return later_crashes < std::size(kHolds) ? kHolds[later_crashes] : kLongestHold;
}

/// In the order in which they happened.
std::vector<Time> CrashTimes(const SuspectRecord& record) {
  std::vector<Time> times;
  for (const Loss& loss : record.losses) {
    if (IsCrash(loss)) {
      times.push_back(loss.at);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

}  // namespace

bool IsCrash(const Loss& loss) {
  return loss.state == LossState::kEnded || loss.state == LossState::kReplaced;
}

size_t SuspectRecord::CountCrashes() const {
  return static_cast<size_t>(std::count_if(losses.begin(), losses.end(), IsCrash));
}

size_t SuspectRecord::CountOpen(Time now) const {
  return static_cast<size_t>(std::count_if(losses.begin(), losses.end(), [now](const Loss& loss) {
    return loss.state == LossState::kOpen && now - loss.at < kOpenFor;
  }));
}

Time SuspectRecord::HeldUntil() const {
  const std::vector<Time> crashes = CrashTimes(*this);
  if (crashes.size() < kCrashesToHold) {
    return absl::InfinitePast();
  }
  const Time held_at = crashes[kCrashesToHold - 1];
  const auto later = std::count_if(crashes.begin(), crashes.end(),
                                   [held_at](Time at) { return at > held_at + kUnderWay; });
  // Requests that are held together are tried one after the other, so that the guilty one does not
  // take the innocent ones down once more.
  const auto turn = static_cast<int64_t>(request.low % kTrialTurns);
  const Time lapses = crashes.back() + HoldAfter(static_cast<size_t>(later)) + kTrialTurn * turn;
  return std::max(lapses, tried_at + kTrialSettled);
}

Time SuspectRecord::ForgottenAt() const {
  const Time held_until = HeldUntil();
  if (held_until > absl::InfinitePast()) {
    return held_until + kForgetReleased;
  }
  Time forgotten = served_at + kForgetServed;
  for (const Loss& loss : losses) {
    forgotten = std::max(forgotten, loss.at + kForgetLoss);
  }
  return forgotten;
}

std::string SuspectRecord::CrashedBackends() const {
  std::string names;
  for (const Loss& loss : losses) {
    if (IsCrash(loss)) {
      absl::StrAppend(&names, names.empty() ? "" : " ", loss.backend);
    }
  }
  return names;
}

SuspectRecord EmptyRecord(const Fingerprint& request) {
  SuspectRecord record;
  record.request = request;
  return record;
}

bool IsMoreSuspect(const SuspectRecord& one, const SuspectRecord& other, Time now) {
  if (one.CountCrashes() != other.CountCrashes()) {
    return one.CountCrashes() > other.CountCrashes();
  }
  if (one.CountOpen(now) != other.CountOpen(now)) {
    return one.CountOpen(now) > other.CountOpen(now);
  }
  return one.ForgottenAt() > other.ForgottenAt();
}

std::string_view NameOf(LossState state) {
  switch (state) {
    case LossState::kWatched:
      return "watched";
    case LossState::kOpen:
      return "open";
    case LossState::kAlive:
      return "alive";
    case LossState::kEnded:
      return "ended";
    case LossState::kReturned:
      return "returned";
    case LossState::kReplaced:
      return "replaced";
    case LossState::kCount:
      break;
  }
  return "unknown";
}

}  // namespace ladderstream::quarantine
