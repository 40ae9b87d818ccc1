#include "standin/fleet/judge_crashes.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr size_t kEndsAllowed = 3;
/// Nodes have to know of the third one within this.
constexpr Duration kKnownWithin = absl::Seconds(3);
/// Later, a request may reach back ends so often.
constexpr size_t kSentLateAllowed = 3;

/// When back ends ended, by the request under which they did.
using Ends = std::map<size_t, std::vector<Time>>;

Ends CollectEnds(const History& history) {
  Ends ends;
  for (const EndedByRequest& ended : history.ended_by_requests) {
    ends[ended.digest].push_back(ended.at);
  }
  for (auto& [digest, times] : ends) {
    std::sort(times.begin(), times.end());
  }
  return ends;
}

}  // namespace

void JudgeCrashes(const History& history, Verdict* verdict) {
  const Ends ends = CollectEnds(history);
  std::map<size_t, size_t> sent_late;
  std::map<size_t, std::string> classes;
  for (const Attempt& attempt : history.attempts) {
    if (ends.contains(attempt.digest)) {
      classes[attempt.digest] = attempt.request_class;
    }
  }
  for (const Arrival& arrival : history.arrivals) {
    const auto found = ends.find(arrival.digest);
    if (found != ends.end() && found->second.size() >= kEndsAllowed &&
        arrival.at > found->second[kEndsAllowed - 1] + kKnownWithin) {
      ++sent_late[arrival.digest];
    }
  }
  for (const auto& [digest, count] : sent_late) {
    if (count > kSentLateAllowed) {
      verdict->sent_after_crashes.Add(absl::StrCat(
          classes[digest], ": a request under which three back ends had ended was sent ", count,
          " times more; ", ends.at(digest).size(), " ended in all"));
    }
  }
  for (const Attempt& attempt : history.attempts) {
    const bool held = attempt.result_code == static_cast<uint32_t>(ResultCode::kQuarantined) ||
                      attempt.result_code == static_cast<uint32_t>(ResultCode::kCrashSuspected);
    if (held && !ends.contains(attempt.digest)) {
      verdict->innocent_held.Add(absl::StrCat(attempt.request_class, " ", attempt.request_id,
                                              " was refused as one that crashes back ends"));
    }
  }
}

}  // namespace ladderstream::fleet
