#include "standin/fleet/report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace ladderstream::fleet {

std::string VerdictTable(const Verdict& verdict) {
  std::string out =
      absl::StrFormat("%-12s %8s %8s %9s %9s\n", "class", "calls", "served", "p50 ms", "p99 ms");
  for (const auto& [name, report] : verdict.classes) {
    absl::StrAppendFormat(&out, "%-12s %8d %8d %9.1f %9.1f\n", name, report.calls, report.served,
                          absl::ToDoubleMilliseconds(report.p50),
                          absl::ToDoubleMilliseconds(report.p99));
  }
  for (const auto& [name, violations] : verdict.All()) {
    for (const std::string& example : violations->examples) {
      absl::StrAppend(&out, name, ": ", example, "\n");
    }
  }
  return out;
}

std::string ResultLine(const Verdict& verdict) {
  const bool good = verdict.IsClean() && verdict.served > 0;
  std::string out = absl::StrCat(
      good ? "OK" : "FAILED", " calls=", verdict.calls, " served=", verdict.served,
      " attempts=", verdict.attempts, " refused=", verdict.refused, " failed=", verdict.failed,
      " cut=", verdict.cut, " cut_at_work=", verdict.cut_at_work, " timed_out=", verdict.timed_out);
  for (const auto& [name, violations] : verdict.All()) {
    absl::StrAppend(&out, " ", name, "=", violations->count);
  }
  absl::StrAppendFormat(&out, " p50_ms=%.1f p99_ms=%.1f", absl::ToDoubleMilliseconds(verdict.p50),
                        absl::ToDoubleMilliseconds(verdict.p99));
  return out;
}

std::string DemoLine(const Verdict& verdict, const Measures& measures) {
  const bool good = verdict.IsClean() && verdict.served > 0;
  return absl::StrFormat(
      "DEMO %s requests=%d answered=%d wrong=%d doubled=%d lost=%d p99_ms=%.1f imbalance=%.2f "
      "churn=%.2f unavailable_ms=%d",
      good ? "OK" : "FAILED", verdict.calls, verdict.served, verdict.wrong.count,
      verdict.doubled.count, verdict.broken_promises.count, absl::ToDoubleMilliseconds(verdict.p99),
      measures.imbalance, measures.churn, absl::ToInt64Milliseconds(measures.unavailable));
}

}  // namespace ladderstream::fleet
