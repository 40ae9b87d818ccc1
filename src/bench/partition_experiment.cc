// Requests answered in time while hot slices wander over the keys: fixed ranges, greedy moves of
// whole ranges, and the product's partitioner.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

#include "bench/experiment.h"
#include "bench/partition_model.h"

namespace ladderstream::bench {
namespace {

using ownership::Key;
using ownership::KeyRange;
using partition::KeyCount;
using partition::PartitionBackend;
using partition::ProposedMove;
using partition::ServiceTimeSample;

constexpr double kKeys = ownership::kLastKey + 1;
constexpr double kPercent = 100;
/// Runs of each scenario, at seeds in a row.
constexpr uint64_t kRuns = 5;

/// Cuts the key space into `count` equal ranges, given in turn to the back ends.
std::vector<ProposedMove> EqualRanges(const std::vector<PartitionBackend>& backends, size_t count) {
  std::vector<ProposedMove> moves;
  for (size_t i = 0; i < count; ++i) {
    const auto first =
        static_cast<Key>(kKeys * static_cast<double>(i) / static_cast<double>(count));
    const auto end =
        static_cast<Key>(kKeys * static_cast<double>(i + 1) / static_cast<double>(count));
    moves.push_back({{first, end - 1}, backends[i % backends.size()].id});
  }
  return moves;
}

/// Ranges of back ends that are gone go to the others in turn.
std::vector<ProposedMove> Rehome(const ownership::Assignments& assignments,
                                 const std::vector<KeyRange>& busy,
                                 const std::vector<PartitionBackend>& backends) {
  std::vector<ProposedMove> moves;
  for (const ownership::Assignment& assignment : assignments) {
    const bool known =
        std::any_of(backends.begin(), backends.end(),
                    [&](const PartitionBackend& b) { return b.id == assignment.owner; });
    const bool moving = std::any_of(busy.begin(), busy.end(), [&](const KeyRange& range) {
      return range.Contains(assignment.range.first);
    });
    if (!known && !moving) {
      moves.push_back({assignment.range, backends[moves.size() % backends.size()].id});
    }
  }
  return moves;
}

class FixedPolicy : public PartitionPolicy {
 public:
  void AddLoad(const std::vector<KeyCount>&, const std::vector<ServiceTimeSample>&, Time) override {
  }
  std::vector<ProposedMove> Propose(const ownership::Assignments& assignments,
                                    const std::vector<KeyRange>& busy,
                                    const std::vector<PartitionBackend>& backends,
                                    Time /*now*/) override {
    return assignments.front().owner.empty() ? EqualRanges(backends, backends.size())
                                             : Rehome(assignments, busy, backends);
  }
};

/// Every proposal moves up to four of many equal ranges from the most to the least loaded back end
/// per slot, as long as that lowers the higher of the two loads.
class GreedyPolicy : public PartitionPolicy {
 public:
  void AddLoad(const std::vector<KeyCount>& counts, const std::vector<ServiceTimeSample>&,
               Time) override {
    constexpr double kKept = 0.7;
    for (double& load : loads_) {
      load *= kKept;
    }
    for (const KeyCount& count : counts) {
      loads_[count.key * kRanges / static_cast<size_t>(kKeys)] += count.count;
    }
  }
  std::vector<ProposedMove> Propose(const ownership::Assignments& assignments,
                                    const std::vector<KeyRange>& busy,
                                    const std::vector<PartitionBackend>& backends,
                                    Time /*now*/) override {
    if (assignments.front().owner.empty()) {
      return EqualRanges(backends, kRanges);
    }
    std::vector<ProposedMove> moves = Rehome(assignments, busy, backends);
    return moves.empty() && busy.empty() ? Balance(assignments, backends) : moves;
  }

 private:
  static constexpr size_t kRanges = 256;

  static KeyRange RangeAt(size_t index) {
    constexpr Key kSize = (ownership::kLastKey + 1) / kRanges;
    return {static_cast<Key>(index) * kSize, static_cast<Key>(index + 1) * kSize - 1};
  }

  std::vector<ProposedMove> Balance(const ownership::Assignments& assignments,
                                    const std::vector<PartitionBackend>& backends) const {
    constexpr int kMaxMoves = 4;
    std::map<std::string, double> totals;
    for (const PartitionBackend& backend : backends) {
      totals[backend.id] = 0;
    }
    std::vector<std::string> owners;
    for (size_t i = 0; i < kRanges; ++i) {
      const auto owner = std::find_if(assignments.begin(), assignments.end(), [&](const auto& a) {
        return a.range.Contains(RangeAt(i).first);
      });
      owners.push_back(owner->owner);
      totals[owner->owner] += loads_[i];
    }
    std::vector<ProposedMove> moves;
    for (int i = 0; i < kMaxMoves; ++i) {
      const auto [low, high] =
          std::minmax_element(totals.begin(), totals.end(),
                              [](const auto& a, const auto& b) { return a.second < b.second; });
      std::optional<size_t> best;
      for (size_t j = 0; j < kRanges; ++j) {
        const bool lowers = owners[j] == high->first && low->second + loads_[j] < high->second;
        best = lowers && (!best || loads_[j] > loads_[*best]) ? j : best;
      }
      if (!best || loads_[*best] <= 0) {
        break;
      }
      high->second -= loads_[*best];
      low->second += loads_[*best];
      owners[*best] = low->first;
      moves.push_back({RangeAt(*best), low->first});
    }
    return moves;
  }

  std::vector<double> loads_ = std::vector<double>(kRanges, 0);
};

class ProductPolicy : public PartitionPolicy {
 public:
  void AddLoad(const std::vector<KeyCount>& counts, const std::vector<ServiceTimeSample>& samples,
               Time now) override {
    partitioner_.AddLoad(counts, now);
    partitioner_.AddServiceTimes(samples, now);
  }
  std::vector<ProposedMove> Propose(const ownership::Assignments& assignments,
                                    const std::vector<KeyRange>& busy,
                                    const std::vector<PartitionBackend>& backends,
                                    Time now) override {
    return assignments.front().owner.empty()
               ? partitioner_.Initial(backends)
               : partitioner_.Propose(assignments, busy, backends, now);
  }

 private:
  partition::Partitioner partitioner_{partition::PartitionWeights{}};
};

std::vector<PartitionScenario> Scenarios() {
  PartitionScenario usual;
  std::vector<PartitionScenario> all;
  const auto add = [&](const std::string& name,
                       const std::function<void(PartitionScenario&)>& set) {
    PartitionScenario scenario = usual;
    scenario.name = name;
    set(scenario);
    all.push_back(scenario);
  };
  add("ranked, calm", [](auto& s) { s.slices = {}; });
  add("ranked, 110/s", [](auto& s) { s.rate = 110; });
  add("ranked, 190/s", [](auto&) {});
  add("ranked, 260/s", [](auto& s) { s.rate = 260; });
  add("peaks, 190/s", [](auto& s) { s.shape = KeyShape::kPeaks; });
  add("neighbourhoods, 190/s", [](auto& s) { s.shape = KeyShape::kNeighbourhoods; });
  add("3 slots, 90 ms, 220/s", [](auto& s) {
    s.slots = 3;
    s.queue = 12;
    s.mean_work = absl::Milliseconds(90);
    s.late_after = absl::Milliseconds(300);
    s.rate = 220;
  });
  add("slices of 2 and 10 keys", [](auto& s) { s.slices = {2, 10}; });
  add("2 of 14 crash", [](auto& s) { s.incident = Incident::kCrash; });
  add("3 back ends more", [](auto& s) { s.incident = Incident::kScaleOut; });
  add("2 slow down to a quarter", [](auto& s) { s.incident = Incident::kSlow; });
  add("burst to 1.5 times", [](auto& s) { s.incident = Incident::kBurst; });
  add("139 back ends, 1,900/s", [](auto& s) {
    s.backends = 139;
    s.rate = 1900;
    s.length = absl::Seconds(20);
  });
  return all;
}

struct NamedPolicy {
  std::string name;
  std::function<PartitionPolicyPtr()> make;
};

std::vector<NamedPolicy> Policies() {
  return {{"fixed", [] { return std::make_unique<FixedPolicy>(); }},
          {"greedy", [] { return std::make_unique<GreedyPolicy>(); }},
          {"partitioner", [] { return std::make_unique<ProductPolicy>(); }}};
}

Report RunPartition(uint64_t seed) {
  Table outcome{absl::StrCat("means of ", kRuns, " runs"),
                {"scenario", "policy", "in time %", "worst run %", "answered %", "keys moved %",
                 "moves", "most ranges", "proposal us", "slowest us"},
                {}};
  for (const PartitionScenario& scenario : Scenarios()) {
    for (const NamedPolicy& policy : Policies()) {
      PartitionResult sum;
      double worst = 1;
      for (uint64_t run = 0; run < kRuns; ++run) {
        const PartitionPolicyPtr instance = policy.make();
        const PartitionResult result = RunPartitionModel(scenario, *instance, seed + run);
        worst = std::min(
            worst, static_cast<double>(result.in_time) / static_cast<double>(result.requests));
        sum.requests += result.requests;
        sum.in_time += result.in_time;
        sum.answered += result.answered;
        sum.moves += result.moves;
        sum.keys_moved += result.keys_moved;
        sum.most_ranges = std::max(sum.most_ranges, result.most_ranges);
        sum.mean_propose_us += result.mean_propose_us;
        sum.max_propose_us = std::max(sum.max_propose_us, result.max_propose_us);
      }
      const auto runs = static_cast<double>(kRuns);
      const auto requests = static_cast<double>(sum.requests);
      outcome.rows.push_back(
          {scenario.name, policy.name,
           FormatNumber(kPercent * static_cast<double>(sum.in_time) / requests, 2),
           FormatNumber(kPercent * worst, 2),
           FormatNumber(kPercent * static_cast<double>(sum.answered) / requests, 2),
           FormatNumber(kPercent * sum.keys_moved / runs, 1),
           FormatNumber(static_cast<double>(sum.moves) / runs, 0), absl::StrCat(sum.most_ranges),
           FormatNumber(sum.mean_propose_us / runs, 0), FormatNumber(sum.max_propose_us, 0)});
    }
  }
  Report report;
  report.tables = {outcome};
  return report;
}

}  // namespace

std::vector<Experiment> PartitionExperiments() {
  return {{"partition", "keys moved between back ends under wandering hot slices", RunPartition}};
}

}  // namespace ladderstream::bench
