// Placement policies side by side on one trace of a whole day.
#include <absl/strings/str_cat.h>

#include <memory>
#include <stdexcept>
#include <thread>

#include "bench/experiment.h"
#include "core/placement/baselines.h"
#include "emulator/cluster.h"
#include "emulator/measured_load.h"

namespace ladderstream::bench {
namespace {

constexpr absl::Duration kDay = absl::Hours(24);
constexpr absl::Duration kPeriod = absl::Seconds(1);
/// The baselines decide this often; oftener only raises their churn.
constexpr absl::Duration kBaselineInterval = absl::Seconds(10);
constexpr double kBound = 1.25;
/// Points of a plot a day.
constexpr absl::Duration kPlotInterval = absl::Minutes(5);

/// Days in one run, each with its own seed.
constexpr size_t kDays = 3;

constexpr char kDefaultName[] = "default";
constexpr char kPerfectName[] = "default, perfect signals";
constexpr const char* kBaselineNames[] = {"static-hash", "bounded-loads", "greedy", "greedy-split"};

struct Contestant {
  std::string name;
  /// Shown the true load without noise or delay: a bound on what any forecast could bring.
  bool perfect_signals = false;
  std::unique_ptr<emulator::Cluster> cluster;
  Series plot;
};

std::vector<Contestant> MakeContestants(const emulator::ServiceModel& service,
                                        const emulator::LoadModel& load, uint64_t seed) {
  std::vector<Contestant> contestants;
  const auto add = [&](const std::string& name, placement::PlacementPolicyPtr policy,
                       absl::Duration interval) {
    contestants.push_back(
        {name, name == kPerfectName,
         std::make_unique<emulator::Cluster>(service, load, std::move(policy), interval, seed),
         Series{name, {}, {}}});
  };
  add(kDefaultName, placement::MakeDefaultPolicy(), kPeriod);
  add(kPerfectName, placement::MakeDefaultPolicy(), kPeriod);
  add("static-hash", placement::MakeStaticHashPolicy(), kBaselineInterval);
  add("bounded-loads", placement::MakeBoundedLoadPolicy(kBound, kBaselineInterval),
      kBaselineInterval);
  add("greedy", placement::MakeGreedyPolicy(kBaselineInterval, false), kBaselineInterval);
  add("greedy-split", placement::MakeGreedyPolicy(kBaselineInterval, true), kBaselineInterval);
  return contestants;
}

void RunDay(const emulator::ServiceModel& service, emulator::LoadModel& load, uint64_t seed,
            std::vector<Contestant>& contestants) {
  const auto faults = emulator::DrawFaults(emulator::FaultModel{}, service.backend_count, 1, seed);
  emulator::MeasuredLoad signals(emulator::SignalModel{}, seed + 1);
  size_t next_fault = 0;
  absl::Duration next_plot;
  for (absl::Duration now; now < kDay; now += kPeriod) {
    const emulator::LoadSample truth = load.At(now);
    const emulator::LoadSample& measured = signals.Observe(truth, kPeriod);
    for (; next_fault < faults.size() && faults[next_fault].at <= now; ++next_fault) {
      for (Contestant& contestant : contestants) {
        contestant.cluster->Handle(faults[next_fault], now);
      }
    }
    const bool plot = now >= next_plot;
    for (Contestant& contestant : contestants) {
      contestant.cluster->Step(truth, contestant.perfect_signals ? truth : measured, now, kPeriod);
      if (plot) {
        contestant.plot.x.push_back(absl::ToDoubleHours(now));
        contestant.plot.y.push_back(contestant.cluster->last_imbalance());
      }
    }
    next_plot = plot ? now + kPlotInterval : next_plot;
  }
}

/// One policy's figures of one day, or their mean over several.
struct DayFigures {
  std::string policy;
  double imbalance = 0;
  double imbalance_p95 = 0;
  double imbalance_max = 0;
  double planned_churn = 0;
  double forced_churn = 0;
  double planned_moves = 0;
  double unavailable_ms = 0;
  double planned_unavailable_ms = 0;
  double unserved_per_million = 0;
  double splits = 0;
  double decision_us = 0;
};

DayFigures FiguresOf(const Contestant& contestant) {
  const emulator::Measures& measures = contestant.cluster->measures();
  DayFigures figures;
  figures.policy = contestant.name;
  figures.imbalance = measures.imbalance.Mean();
  figures.imbalance_p95 = measures.imbalance.Percentile95();
  figures.imbalance_max = measures.imbalance.Max();
  figures.planned_churn = measures.planned_churn;
  figures.forced_churn = measures.forced_churn;
  figures.planned_moves = measures.planned_moves;
  figures.unavailable_ms = measures.unavailable_ms_per_key;
  figures.planned_unavailable_ms = measures.planned_unavailable_ms_per_key;
  figures.unserved_per_million = measures.UnservedPerMillion();
  figures.splits = measures.splits;
  figures.decision_us = absl::ToDoubleMicroseconds(measures.decision_time) / measures.decisions;
  return figures;
}

constexpr double DayFigures::*kAveraged[] = {&DayFigures::imbalance,
                                             &DayFigures::imbalance_p95,
                                             &DayFigures::imbalance_max,
                                             &DayFigures::planned_churn,
                                             &DayFigures::forced_churn,
                                             &DayFigures::planned_moves,
                                             &DayFigures::unavailable_ms,
                                             &DayFigures::planned_unavailable_ms,
                                             &DayFigures::unserved_per_million,
                                             &DayFigures::splits,
                                             &DayFigures::decision_us};

/// Averages over the days; each holds the same policies in the same order.
std::vector<DayFigures> MeanOf(const std::vector<std::vector<DayFigures>>& days) {
  std::vector<DayFigures> means = days.front();
  for (size_t policy = 0; policy < means.size(); ++policy) {
    for (const auto field : kAveraged) {
      double sum = 0;
      for (const auto& day : days) {
        sum += day[policy].*field;
      }
      means[policy].*field = sum / static_cast<double>(days.size());
    }
  }
  return means;
}

Table MakeTable(const std::string& title, const std::vector<DayFigures>& figures) {
  Table table;
  table.title = title;
  table.columns = {"policy",         "imbalance",    "p95",    "max",
                   "planned churn",  "forced churn", "moves",  "unavailable ms/key",
                   "planned ms/key", "unserved/1e6", "splits", "us/decision"};
  for (const DayFigures& row : figures) {
    table.rows.push_back({row.policy, FormatNumber(row.imbalance, 3),
                          FormatNumber(row.imbalance_p95, 3), FormatNumber(row.imbalance_max, 2),
                          FormatNumber(row.planned_churn, 3), FormatNumber(row.forced_churn, 3),
                          FormatNumber(row.planned_moves, 0), FormatNumber(row.unavailable_ms, 1),
                          FormatNumber(row.planned_unavailable_ms, 1),
                          FormatNumber(row.unserved_per_million, 2), FormatNumber(row.splits, 0),
                          FormatNumber(row.decision_us, 1)});
  }
  return table;
}

const DayFigures& FindPolicy(const std::vector<DayFigures>& figures, const std::string& policy) {
  for (const DayFigures& row : figures) {
    if (row.policy == policy) {
      return row;
    }
  }
  throw std::logic_error(absl::StrCat("no policy ", policy));
}

/// Says whether `value` is at most `limit`.
std::string Judge(const std::string& what, double value, double limit) {
  return absl::StrCat(what, ": ", FormatNumber(value, 3), " against ", FormatNumber(limit, 3), ", ",
                      value <= limit ? "reached" : "NOT reached");
}

/// Unavailable time weighs most: balance at most 1.15 with unavailable time no worse than any
/// baseline's.
std::vector<std::string> JudgeUnavailableTimeFirst(const std::vector<DayFigures>& figures) {
  constexpr double kImbalanceTarget = 1.15;
  const DayFigures& ours = FindPolicy(figures, kDefaultName);
  std::vector<std::string> findings = {
      Judge("imbalance, mean over the day", ours.imbalance, kImbalanceTarget)};
  for (const char* baseline : kBaselineNames) {
    const DayFigures& other = FindPolicy(figures, baseline);
    findings.push_back(Judge(absl::StrCat("unavailable ms per key, against ", baseline,
                                          " (imbalance ", FormatNumber(other.imbalance, 3), ")"),
                             ours.unavailable_ms, other.unavailable_ms));
  }
  return findings;
}

/// Churn weighs most: a tenth of greedy's churn at an imbalance of at most 1.25.
std::vector<std::string> JudgeChurnFirst(const std::vector<DayFigures>& figures) {
  constexpr double kImbalanceTarget = 1.25;
  constexpr double kChurnShare = 0.1;
  const DayFigures& ours = FindPolicy(figures, kDefaultName);
  std::vector<std::string> findings = {
      Judge("imbalance, mean over the day", ours.imbalance, kImbalanceTarget)};
  for (const char* baseline : {"greedy", "greedy-split"}) {
    findings.push_back(Judge(absl::StrCat("planned churn, against a tenth of ", baseline, "'s"),
                             ours.planned_churn,
                             kChurnShare * FindPolicy(figures, baseline).planned_churn));
  }
  return findings;
}

struct Day {
  std::vector<DayFigures> figures;
  std::vector<Series> plot;
};

Day RunOneDay(const emulator::ServiceModel& service, uint64_t seed) {
  emulator::LoadModel load(service, seed);
  std::vector<Contestant> contestants = MakeContestants(service, load, seed);
  RunDay(service, load, seed, contestants);
  Day day;
  for (Contestant& contestant : contestants) {
    day.figures.push_back(FiguresOf(contestant));
    day.plot.push_back(std::move(contestant.plot));
  }
  return day;
}

/// Runs as many days as there are seeds side by side, each with load and faults of its own.
std::vector<Day> RunDays(const emulator::ServiceModel& service, uint64_t first_seed) {
  std::vector<Day> days(kDays);
  std::vector<std::thread> threads;
  for (size_t i = 0; i < days.size(); ++i) {
    threads.emplace_back([&, i] { days[i] = RunOneDay(service, first_seed + i); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return days;
}

Report RunPlacement(const emulator::ServiceModel& service, uint64_t seed) {
  std::vector<Day> days = RunDays(service, seed);
  Report report;
  const std::string& name = service.configuration.name.value();
  std::vector<std::vector<DayFigures>> figures;
  for (const Day& day : days) {
    figures.push_back(day.figures);
    report.tables.push_back(MakeTable(
        absl::StrCat("a day of ", name, ", seed ", seed + figures.size() - 1), day.figures));
  }
  const std::vector<DayFigures> means = MeanOf(figures);
  report.tables.push_back(MakeTable(absl::StrCat("mean of ", days.size(), " days"), means));
  const CostWeights& weights = service.configuration.weights;
  report.findings = weights.churn > weights.unavailable_time ? JudgeChurnFirst(means)
                                                             : JudgeUnavailableTimeFirst(means);
  report.plots.push_back({absl::StrCat("Imbalance through a day of ", name), "hour",
                          "peak over mean", std::move(days.front().plot), false});
  return report;
}

}  // namespace

std::vector<Experiment> PlacementExperiments() {
  const auto make = [](const emulator::ServiceModel& service, const std::string& description) {
    return Experiment{absl::StrCat("placement-", service.configuration.name.value()), description,
                      [service](uint64_t seed) { return RunPlacement(service, seed); }};
  };
  return {
      make(emulator::ScriptavelScripts(), "a day of script steps: default policy and baselines"),
      make(emulator::RaetselwaldBoards(), "a day of puzzle boards: default policy and baselines"),
      make(emulator::SixRegions(), "a day over six regions, equal weights")};
}

}  // namespace ladderstream::bench
