// Policies of forwarding against each other and against the all-knowing reference, by load, with
// one mechanism off at a time.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <thread>
#include <vector>

#include "bench/experiment.h"
#include "bench/forwarding_model.h"

namespace ladderstream::bench {
namespace {

/// The half-width of a 95% interval in standard errors.
constexpr double kConfidence = 1.96;

/// Of the reports of up to 60 nodes.
constexpr Duration kNewsInterval = absl::Milliseconds(300);

struct Variant {
  std::string name;
  ForwardingPlay play;
};

struct Summary {
  double credit = 0;
  double interval = 0;
  double in_time = 0;
  double late = 0;
  double refused = 0;
  double refused_again = 0;
  double bound = 0;
};

Variant Make(const ForwardingDeployment& deployment, std::string name, ForwardingPolicy policy) {
  Variant variant{std::move(name), {}};
  variant.play.deployment = deployment;
  variant.play.policy = policy;
  variant.play.news_interval = kNewsInterval;
  return variant;
}

/// All of them, or the one named `only`.
std::vector<Variant> VariantsOf(const ForwardingDeployment& deployment, const std::string& only) {
  std::vector<Variant> variants = {
      Make(deployment, "in force", ForwardingPolicy::kInForce),
      Make(deployment, "without limit at owners", ForwardingPolicy::kInForce),
      Make(deployment, "without hedging", ForwardingPolicy::kInForce),
      Make(deployment, "without news of load", ForwardingPolicy::kInForce),
      Make(deployment, "bounded by the target", ForwardingPolicy::kInForce),
      Make(deployment, "random", ForwardingPolicy::kRandom),
      Make(deployment, "round robin", ForwardingPolicy::kRoundRobin),
      Make(deployment, "least of two", ForwardingPolicy::kLeastOfTwo),
      Make(deployment, "knows queues", ForwardingPolicy::kKnowsQueues),
      Make(deployment, "all-knowing", ForwardingPolicy::kAllKnowing)};
  variants[1].play.dispatcher.limit_owners = false;
  variants[2].play.dispatcher.hedge = false;
  variants[3].play.news_interval = absl::ZeroDuration();
  variants[4].play.dispatcher.overload_share = 1;
  std::erase_if(variants,
                [&only](const Variant& variant) { return !only.empty() && variant.name != only; });
  return variants;
}

Summary Summarize(const std::vector<ForwardingOutcome>& outcomes) {
  Summary summary;
  const auto count = static_cast<double>(outcomes.size());
  for (const ForwardingOutcome& outcome : outcomes) {
    const auto callers = static_cast<double>(std::max<uint64_t>(outcome.callers, 1));
    summary.credit += outcome.credit / count;
    summary.in_time += static_cast<double>(outcome.in_time) / callers / count;
    summary.late += static_cast<double>(outcome.late) / callers / count;
    summary.refused += static_cast<double>(outcome.refused) / callers / count;
    summary.refused_again += static_cast<double>(outcome.refused_again) / callers / count;
    summary.bound += outcome.bound / count;
  }
  double variance = 0;
  for (const ForwardingOutcome& outcome : outcomes) {
    variance += (outcome.credit - summary.credit) * (outcome.credit - summary.credit);
  }
  summary.interval = kConfidence * std::sqrt(variance / std::max(count - 1, 1.0) / count);
  return summary;
}

/// Plays all seeds on all processors. The outcome does not depend on their number.
std::vector<ForwardingOutcome> PlaySeeds(const ForwardingPlay& play, uint64_t first,
                                         uint32_t seeds) {
  std::vector<ForwardingOutcome> outcomes(seeds);
  std::atomic<uint32_t> next = 0;
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
    workers.emplace_back([&] {
      for (uint32_t seed = next++; seed < seeds; seed = next++) {
        ForwardingPlay one = play;
        one.seed = first + seed;
        outcomes[seed] = PlayForwarding(one);
      }
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return outcomes;
}

}  // namespace

std::vector<double> UsualLoads() { return {0.4, 0.6, 0.8, 1.0, 1.2}; }

Report RunForwarding(const ForwardingDeployment& deployment, const std::vector<double>& loads,
                     const std::string& policy, uint32_t seeds, uint64_t first_seed) {
  Report report;
  Table table{
      absl::StrCat(deployment.name, ", ", seeds, " seeds"),
      {"load", "policy", "credit", "+-", "in time", "late", "refused", "refused again", "bound"},
      {}};
  Plot plot{absl::StrCat("credit by load: ", deployment.name), "load", "credit", {}, false};
  for (const Variant& variant : VariantsOf(deployment, policy)) {
    plot.series.push_back({variant.name, {}, {}});
  }
  for (const double load : loads) {
    ForwardingDeployment loaded = deployment;
    loaded.load = load;
    const std::vector<Variant> variants = VariantsOf(loaded, policy);
    for (size_t i = 0; i < variants.size(); ++i) {
      const Summary summary = Summarize(PlaySeeds(variants[i].play, first_seed, seeds));
      table.rows.push_back(
          {FormatNumber(load, 1), variants[i].name, FormatNumber(summary.credit, 3),
           FormatNumber(summary.interval, 3), FormatNumber(summary.in_time, 3),
           FormatNumber(summary.late, 3), FormatNumber(summary.refused, 3),
           FormatNumber(summary.refused_again, 3), FormatNumber(summary.bound, 3)});
      plot.series[i].x.push_back(load);
      plot.series[i].y.push_back(summary.credit);
      std::cerr << "load " << load << ": " << variants[i].name << " done\n";
    }
  }
  report.tables.push_back(std::move(table));
  report.plots.push_back(std::move(plot));
  return report;
}

}  // namespace ladderstream::bench
