#include <algorithm>

#include "core/partition/costs.h"
#include "core/partition/planning.h"

namespace ladderstream::partition {
namespace {

/// Merging begins above this many ranges for each back end: a spare range costs little, and so many
/// leave room for the next hot slice.
constexpr double kTidyFragmentsPerBackend = 3;
constexpr uint32_t kTinyKeys = 256;
/// A range is tiny if it brings at most this share of what its new owner bears well, and its new
/// owner must stay below this pressure.
constexpr double kTinyShare = 0.03;
constexpr double kMaxPressure = 0.7;
constexpr size_t kMaxMerges = 4;

/// Whether the range may go to `member`.
bool Fits(const Fleet& fleet, const KeyRange& range, const std::optional<size_t>& member) {
  if (!member || !fleet.members()[*member].accepts) {
    return false;
  }
  const Member& target = fleet.members()[*member];
  const double rate = fleet.load().Of(range).total;
  return rate <= kTinyShare * target.comfortable &&
         target.load + rate <= kMaxPressure * target.comfortable;
}

bool MovedLately(const KeyRange& range, const std::vector<RecentMove>& recent_moves) {
  return std::any_of(recent_moves.begin(), recent_moves.end(), [&](const RecentMove& move) {
    return move.range.first <= range.last && range.first <= move.range.last;
  });
}

/// The next move that makes one range of two or, better, of three.
std::optional<ProposedMove> NextMerge(const Fleet& fleet,
                                      const std::vector<RecentMove>& recent_moves) {
  std::optional<ProposedMove> best;
  const std::vector<Holding>& holdings = fleet.holdings();
  for (size_t i = 0; i < holdings.size(); ++i) {
    const Holding& holding = holdings[i];
    if (!holding.member || holding.frozen || holding.range.Size() > kTinyKeys ||
        MovedLately(holding.range, recent_moves)) {
      continue;
    }
    const std::optional<size_t> left = i > 0 ? holdings[i - 1].member : std::nullopt;
    const std::optional<size_t> right =
        i + 1 < holdings.size() ? holdings[i + 1].member : std::nullopt;
    if (left == holding.member || right == holding.member) {
      continue;
    }
    for (const std::optional<size_t>& member : {left, right}) {
      if (!Fits(fleet, holding.range, member)) {
        continue;
      }
      if (left == right) {
        return ProposedMove{holding.range, fleet.members()[*member].id};
      }
      if (!best) {
        best = ProposedMove{holding.range, fleet.members()[*member].id};
      }
    }
  }
  return best;
}

}  // namespace

std::vector<ProposedMove> PlanMerges(Fleet& fleet, const std::vector<RecentMove>& recent_moves) {
  std::vector<ProposedMove> moves;
  const double tidy = kTidyFragmentsPerBackend * static_cast<double>(fleet.Accepting());
  while (moves.size() < kMaxMerges && static_cast<double>(fleet.Fragments()) > tidy) {
    const std::optional<ProposedMove> move = NextMerge(fleet, recent_moves);
    if (!move) {
      break;
    }
    moves.push_back(*move);
    const auto& members = fleet.members();
    const auto target = std::find_if(members.begin(), members.end(),
                                     [&](const Member& member) { return member.id == move->to; });
    fleet.Move(move->range, static_cast<size_t>(target - members.begin()));
  }
  return moves;
}

}  // namespace ladderstream::partition
