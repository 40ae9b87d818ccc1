#include "core/partition/fleet.h"

#include <algorithm>

#include "core/partition/capacity.h"

namespace ladderstream::partition {
namespace {

/// Keys that have just moved stay this long, so that nothing swings to and fro.
constexpr Duration kCooldown = absl::Milliseconds(1000);
/// A proposal that has not been taken up by now never will be.
constexpr Duration kTakenUpWithin = absl::Milliseconds(500);
/// A back end that is cold from its start works this much more slowly.
constexpr double kColdFactor = 2;
/// Without any service time known, back ends are taken to be used this much.
constexpr double kAssumedPressure = 0.5;
/// Of a back end's limit, what its keys may be asked for on average: requests come unevenly.
constexpr double kLimitShare = 0.7;
/// In requests per second; keeps a limit of zero from dividing by it.
constexpr double kLeastLimit = 0.1;

bool Overlap(const KeyRange& a, const KeyRange& b) {
  return a.first <= b.last && b.first <= a.last;
}

/// Whether the state of keys may change at `range`'s ends: collects these.
void AddCuts(const KeyRange& range, std::vector<Key>& cuts) {
  cuts.push_back(range.first);
  cuts.push_back(range.last + 1);
}

}  // namespace

Fleet::Fleet(const FleetInput& input, const ServiceTimes& service_times, const LoadView& load,
             Time now)
    : load_(load) {
  BuildMembers(input.backends, service_times);
  BuildHoldings(input, now);
  double total = 0;
  for (const Holding& holding : holdings_) {
    const Rate rate = load_.Of(holding.range);
    total += rate.total;
    if (holding.member) {
      members_[*holding.member].load += rate.total;
      members_[*holding.member].variance += rate.variance;
    }
  }
  if (!service_times.Known()) {
    ScaleToLoad(total);
  }
  CapByLimits(total);
}

void Fleet::ScaleToLoad(double total) {
  double comfortable = 0;
  for (const Member& member : members_) {
    comfortable += member.accepts ? member.comfortable : 0;
  }
  const double factor = comfortable > 0 ? total / comfortable / kAssumedPressure : 1;
  for (Member& member : members_) {
    member.comfortable *= factor;
  }
}

void Fleet::CapByLimits(double total) {
  std::vector<double> capped;
  double sum = 0;
  for (const Member& member : members_) {
    const double most = member.rate_limit.has_value()
                            ? kLimitShare * std::max(*member.rate_limit, kLeastLimit)
                            : member.comfortable;
    capped.push_back(std::min(member.comfortable, most));
    sum += member.accepts ? capped.back() : 0;
  }
  if (sum < total) {
    // Whoever has the keys, as much is beyond the limits: moving them would only cost.
    return;
  }
  for (size_t i = 0; i < members_.size(); ++i) {
    members_[i].comfortable = capped[i];
  }
}

void Fleet::BuildMembers(const std::vector<PartitionBackend>& backends,
                         const ServiceTimes& service_times) {
  const bool known = service_times.Known();
  const double late_after = kLateAfterServiceTimes * (known ? service_times.Typical() : 1);
  for (const PartitionBackend& backend : backends) {
    double service_time = known ? service_times.Of(backend.id) : 1;
    service_time *= backend.cold_left > absl::ZeroDuration() ? kColdFactor : 1;
    Member member;
    member.id = backend.id;
    member.accepts = backend.accepts && backend.keeps;
    member.keeps = backend.keeps;
    member.rate_limit = backend.rate_limit;
    member.comfortable = ComfortableLoad(backend.slots, service_time, late_after);
    members_.push_back(std::move(member));
  }
  std::sort(members_.begin(), members_.end(),
            [](const Member& a, const Member& b) { return a.id < b.id; });
}

void Fleet::BuildHoldings(const FleetInput& input, Time now) {
  std::vector<Key> cuts;
  for (const KeyRange& range : input.busy) {
    AddCuts(range, cuts);
  }
  for (const RecentMove& move : input.recent_moves) {
    AddCuts(move.range, cuts);
  }
  std::sort(cuts.begin(), cuts.end());
  for (const ownership::Assignment& assignment : input.assignments) {
    Key first = assignment.range.first;
    auto cut = std::upper_bound(cuts.begin(), cuts.end(), first);
    while (first <= assignment.range.last) {
      cut = std::find_if(cut, cuts.end(), [&](Key key) { return key > first; });
      const Key end = cut == cuts.end() ? assignment.range.last + 1 : *cut;
      Holding holding = HoldingAt(input, assignment, first, now);
      holding.range = {first, std::min(assignment.range.last, end - 1)};
      first = holding.range.last + 1;
      Append(holding);
    }
  }
}

Holding Fleet::HoldingAt(const FleetInput& input, const ownership::Assignment& assignment, Key key,
                         Time now) const {
  Holding holding;
  holding.owner = assignment.owner;
  holding.member = Find(assignment.owner);
  for (const KeyRange& range : input.busy) {
    holding.frozen = holding.frozen || range.Contains(key);
  }
  const bool moving = holding.frozen;
  const RecentMove* last = nullptr;
  for (const RecentMove& move : input.recent_moves) {
    if (move.range.Contains(key) && (last == nullptr || move.at >= last->at)) {
      last = &move;
    }
  }
  const bool stays = holding.member && members_[*holding.member].keeps;
  if (last != nullptr && last->to != assignment.owner) {
    const std::optional<size_t> target = Find(last->to);
    const bool awaited = moving || (stays && now - last->at < kTakenUpWithin);
    if (awaited && target && members_[*target].keeps) {
      holding.member = target;
      holding.frozen = true;
      return holding;
    }
  }
  if (!stays) {
    holding.member.reset();
    return holding;
  }
  if (last != nullptr && last->to == assignment.owner) {
    holding.frozen = moving || now - last->at < kCooldown;
  }
  return holding;
}

void Fleet::Append(const Holding& holding) {
  if (!holdings_.empty()) {
    Holding& last = holdings_.back();
    if (last.member == holding.member && last.owner == holding.owner &&
        last.frozen == holding.frozen) {
      last.range.last = holding.range.last;
      return;
    }
  }
  holdings_.push_back(holding);
}

std::optional<size_t> Fleet::Find(const std::string& id) const {
  const auto found = std::lower_bound(
      members_.begin(), members_.end(), id,
      [](const Member& member, const std::string& key) { return member.id < key; });
  if (found == members_.end() || found->id != id) {
    return std::nullopt;
  }
  return static_cast<size_t>(found - members_.begin());
}

size_t Fleet::Accepting() const {
  return static_cast<size_t>(std::count_if(members_.begin(), members_.end(),
                                           [](const Member& member) { return member.accepts; }));
}

size_t Fleet::Fragments() const {
  size_t count = 0;
  const Holding* last = nullptr;
  for (const Holding& holding : holdings_) {
    count += last == nullptr || last->member != holding.member ? 1 : 0;
    last = &holding;
  }
  return count;
}

std::optional<size_t> Fleet::OwnerOf(Key key) const {
  const auto after =
      std::upper_bound(holdings_.begin(), holdings_.end(), key,
                       [](Key k, const Holding& holding) { return k < holding.range.first; });
  return after == holdings_.begin() ? std::nullopt : std::prev(after)->member;
}

void Fleet::Move(const KeyRange& range, size_t to) {
  const std::vector<Holding> before = std::move(holdings_);
  holdings_.clear();
  for (const Holding& holding : before) {
    if (!Overlap(holding.range, range)) {
      Append(holding);
      continue;
    }
    Holding left = holding;
    Holding moved = holding;
    Holding right = holding;
    moved.range = {std::max(holding.range.first, range.first),
                   std::min(holding.range.last, range.last)};
    const Rate rate = load_.Of(moved.range);
    if (holding.member) {
      members_[*holding.member].load -= rate.total;
      members_[*holding.member].variance -= rate.variance;
    }
    members_[to].load += rate.total;
    members_[to].variance += rate.variance;
    moved.member = to;
    moved.frozen = true;
    if (left.range.first < moved.range.first) {
      left.range.last = moved.range.first - 1;
      Append(left);
    }
    Append(moved);
    if (right.range.last > moved.range.last) {
      right.range.first = moved.range.last + 1;
      Append(right);
    }
  }
}

}  // namespace ladderstream::partition
