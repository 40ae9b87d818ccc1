// Useful answers under more load than the back ends can serve: the product's queue and a plain one.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

#include "bench/experiment.h"
#include "emulator/overload_model.h"

namespace ladderstream::bench {
namespace {

using emulator::OverloadModel;
using emulator::OverloadOptions;
using emulator::OverloadResult;

constexpr std::array<double, 4> kLoads = {0.5, 0.9, 1.2, 3.0};
constexpr double kBookingLoad = 0.08;
constexpr double kScriptLoad = 0.32;
constexpr double kPercent = 100;
constexpr char kProductName[] = "admission";

/// Bookings and scripts at a steady rate; albums make up the rest.
OverloadOptions OptionsAt(double load) {
  OverloadOptions options;
  options.classes = {
      {"booking", Priority::kCritical, absl::Seconds(3), kBookingLoad},
      {"script", Priority::kNormal, absl::Milliseconds(500), kScriptLoad},
      {"album", Priority::kBulk, absl::Seconds(1), load - kBookingLoad - kScriptLoad}};
  return options;
}

void AddRows(const std::string& name, double load, const OverloadOptions& options,
             const OverloadResult& result, Table& table) {
  for (size_t i = 0; i < options.classes.size(); ++i) {
    const emulator::ClassResult& row = result.classes[i];
    const double offered = static_cast<double>(std::max<uint64_t>(row.offered, 1));
    table.rows.push_back(
        {name, FormatNumber(load, 1), options.classes[i].name, absl::StrCat(row.offered),
         FormatNumber(kPercent * static_cast<double>(row.useful) / offered, 2),
         FormatNumber(kPercent * static_cast<double>(row.refused) / offered, 2),
         FormatNumber(row.latency_ms.Median(), 1), FormatNumber(row.latency_ms.Percentile99(), 1)});
  }
}

/// Results of one discipline at all loads.
struct Curve {
  std::string name;
  std::vector<OverloadResult> results;
};

Curve RunCurve(const std::string& name, const OverloadModel::MakeQueue& make_queue, uint64_t seed,
               Table& classes, Table& totals) {
  Curve curve{name, {}};
  for (const double load : kLoads) {
    const OverloadOptions options = OptionsAt(load);
    const OverloadResult result = OverloadModel(options, make_queue, seed).Run();
    AddRows(name, load, options, result, classes);
    totals.rows.push_back(
        {name, FormatNumber(load, 1), FormatNumber(options.Capacity(), 0),
         FormatNumber(result.useful_per_second, 0),
         FormatNumber(kPercent * result.useful_per_second / options.Capacity(), 1),
         FormatNumber(kPercent * result.wasted_share, 3), absl::StrCat(result.retries)});
    curve.results.push_back(result);
  }
  return curve;
}

std::string Verdict(bool reached) { return reached ? "reached" : "NOT reached"; }

std::vector<std::string> Judge(const Curve& curve) {
  constexpr double kPeakShare = 0.95;
  constexpr double kWasteLimit = 0.01;
  double peak = 0;
  double waste = 0;
  for (const OverloadResult& result : curve.results) {
    peak = std::max(peak, result.useful_per_second);
    waste = std::max(waste, result.wasted_share);
  }
  const double share = curve.results.back().useful_per_second / peak;
  const emulator::ClassResult& calm = curve.results.front().classes.front();
  const emulator::ClassResult& flood = curve.results.back().classes.front();
  return {
      absl::StrCat("useful answers at 3 times capacity: ", FormatNumber(kPercent * share, 1),
                   "% of the peak (at least 95%): ", Verdict(share >= kPeakShare)),
      absl::StrCat("work for callers that had left, worst: ", FormatNumber(kPercent * waste, 3),
                   "% (below 1%): ", Verdict(waste < kWasteLimit)),
      absl::StrCat("bookings refused at 3 times capacity: ", flood.refused, " of ", flood.offered,
                   "; p99 ", FormatNumber(flood.latency_ms.Percentile99(), 1), " ms against ",
                   FormatNumber(calm.latency_ms.Percentile99(), 1), " ms at 0.5")};
}

Report RunOverload(uint64_t seed) {
  Table classes{"by kind of request",
                {"queue", "load", "kind", "offered", "useful %", "refused %", "p50 ms", "p99 ms"},
                {}};
  Table totals{"all requests",
               {"queue", "load", "capacity/s", "useful/s", "useful % of capacity", "wasted work %",
                "retries"},
               {}};
  const Curve product = RunCurve(kProductName, emulator::MakeAdmissionQueue, seed, classes, totals);
  const Curve plain = RunCurve("plain queue", emulator::MakePlainQueue, seed, classes, totals);
  Report report;
  report.tables = {totals, classes};
  report.findings = Judge(product);
  Plot plot{"Useful answers under overload", "load over capacity", "useful answers/s", {}, false};
  for (const Curve& curve : {product, plain}) {
    Series series{curve.name, {kLoads.begin(), kLoads.end()}, {}};
    for (const OverloadResult& result : curve.results) {
      series.y.push_back(result.useful_per_second);
    }
    plot.series.push_back(std::move(series));
  }
  report.plots.push_back(std::move(plot));
  return report;
}

}  // namespace

std::vector<Experiment> OverloadExperiments() {
  return {{"overload", "useful answers at 0.5, 0.9, 1.2 and 3 times capacity", RunOverload}};
}

}  // namespace ladderstream::bench
