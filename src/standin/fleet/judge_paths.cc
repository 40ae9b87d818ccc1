#include "standin/fleet/judge_paths.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <unordered_set>

namespace ladderstream::fleet {
namespace {

/// First tries at nodes that are cut off are served at least so often as at the others.
constexpr double kLeastShare = 2.0 / 3;
/// So many of them may fail in any case: a number, and a share of all first tries.
constexpr uint64_t kFailedAllowed = 10;
constexpr double kFailedShare = 1.0 / 50;

struct Tally {
  uint64_t sent = 0;
  uint64_t served = 0;

  /// 0 when none was sent: then nobody is there to compare with.
  double share() const {
    return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent);
  }
};

/// A node that was disturbed in another way is not judged.
bool IsInTouch(const History& history, const JudgeBounds& bounds, const Attempt& attempt) {
  return std::none_of(history.disturbances.begin(), history.disturbances.end(),
                      [&](const Disturbance& disturbance) {
                        return disturbance.kind != DisturbanceKind::kBackendPath &&
                               disturbance.node.value_or(attempt.node) == attempt.node &&
                               disturbance.from < attempt.ended &&
                               disturbance.until + bounds.contact > attempt.sent;
                      });
}

bool IsServed(const Attempt& attempt) {
  return attempt.end == CallEnd::kAnswered && attempt.status / 100 == 2;
}

}  // namespace

void JudgePaths(const History& history, const JudgeBounds& bounds, Verdict* verdict) {
  for (const PathCut& cut : history.path_cuts) {
    Tally cut_off;
    Tally others;
    std::unordered_set<uint64_t> calls;
    for (const Attempt& attempt : history.attempts) {
      const bool first = calls.insert(attempt.call).second;
      if (!first || attempt.sent < cut.from + bounds.contact || attempt.ended > cut.until ||
          !IsInTouch(history, bounds, attempt)) {
        continue;
      }
      Tally& tally = cut.nodes.contains(attempt.node) ? cut_off : others;
      ++tally.sent;
      tally.served += IsServed(attempt) ? 1 : 0;
    }
    const double allowed =
        kFailedAllowed + kFailedShare * static_cast<double>(cut_off.sent + others.sent);
    const auto failed = static_cast<double>(cut_off.sent - cut_off.served);
    if (cut_off.share() < kLeastShare * others.share() && failed > allowed) {
      verdict->unserved_when_cut.Add(absl::StrCat("nodes that were cut off served ", cut_off.served,
                                                  " of ", cut_off.sent, " first tries, the others ",
                                                  others.served, " of ", others.sent));
    }
  }
}

}  // namespace ladderstream::fleet
