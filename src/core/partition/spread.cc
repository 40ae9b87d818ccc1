#include "core/partition/spread.h"

#include <algorithm>

#include "core/partition/capacity.h"

namespace ladderstream::partition {
namespace {

std::vector<size_t> RankTargets(const std::vector<Member>& members,
                                const std::vector<double>& loads, const SpreadRequest& request) {
  std::vector<std::pair<double, size_t>> ranked;
  for (size_t i = 0; i < members.size(); ++i) {
    if (!members[i].accepts || request.source == i) {
      continue;
    }
    ranked.emplace_back(loads[i] / members[i].comfortable, i);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<size_t> targets;
  targets.reserve(ranked.size());
  for (const auto& [pressure, index] : ranked) {
    targets.push_back(index);
  }
  return targets;
}

/// Shares out over just these targets. Empty if one of them would get nothing.
Spread Level(const std::vector<Member>& members, const std::vector<double>& loads,
             const SpreadRequest& request, const std::vector<size_t>& targets) {
  double load = 0;
  double comfortable = 0;
  for (const size_t target : targets) {
    load += loads[target];
    comfortable += members[target].comfortable;
  }
  double amount = request.amount;
  if (request.source) {
    const Member& source = members[*request.source];
    const double source_load = loads[*request.source];
    const double level = (load + source_load) / (comfortable + source.comfortable);
    amount = std::min(amount, source_load - level * source.comfortable);
  }
  Spread spread;
  if (amount <= 0) {
    return spread;
  }
  const double level = (load + amount) / comfortable;
  for (const size_t target : targets) {
    const double part = level * members[target].comfortable - loads[target];
    if (part <= 0) {
      return {};
    }
    spread.parts.push_back({target, part});
    spread.gain += GainOf(members, loads, {target, part});
  }
  spread.amount = amount;
  if (request.source) {
    spread.gain += GainOf(members, loads, {*request.source, -amount});
  }
  return spread;
}

}  // namespace

double GainOf(const std::vector<Member>& members, const std::vector<double>& loads,
              const Part& part) {
  const double comfortable = members[part.member].comfortable;
  return LateLoad(loads[part.member], comfortable) -
         LateLoad(loads[part.member] + part.load, comfortable);
}

Spread PlanSpread(const std::vector<Member>& members, const std::vector<double>& loads,
                  const SpreadRequest& request) {
  const std::vector<size_t> ranked = RankTargets(members, loads, request);
  const size_t most = std::min(std::max<size_t>(request.max_parts, 1), ranked.size());
  Spread best;
  double best_value = 0;
  std::vector<size_t> targets;
  for (size_t i = 0; i < most; ++i) {
    targets.push_back(ranked[i]);
    Spread spread = Level(members, loads, request, targets);
    if (spread.parts.empty()) {
      break;
    }
    const double value =
        spread.gain - request.price_per_part * static_cast<double>(spread.parts.size());
    if (best.parts.empty() ? (!request.source || value > 0) : value > best_value) {
      best = std::move(spread);
      best_value = value;
    }
  }
  return best;
}

}  // namespace ladderstream::partition
