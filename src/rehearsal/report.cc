#include "rehearsal/report.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <vector>

namespace ladderstream::rehearsal {
namespace {

constexpr size_t kViolationsShown = 5;

double Milliseconds(absl::Duration duration) { return absl::ToDoubleMilliseconds(duration); }

std::string ViolationLines(const std::string& sort, const std::vector<Violation>& violations) {
  std::string lines;
  for (size_t i = 0; i < violations.size() && i < kViolationsShown; ++i) {
    absl::StrAppend(&lines, "  ", sort, ": ", violations[i].what, "\n");
  }
  if (violations.size() > kViolationsShown) {
    absl::StrAppend(&lines, "  ", sort, ": and ", violations.size() - kViolationsShown, " more\n");
  }
  return lines;
}

}  // namespace

std::string ProgressLine(absl::Duration since_start, absl::Duration period,
                         const LoadProgress& progress) {
  return absl::StrFormat(
      "%6.1f s  %6.0f answered/s  %5d did-not-run  %4d unknown  p50 %6.2f ms  p99 %7.2f ms",
      absl::ToDoubleSeconds(since_start),
      static_cast<double>(progress.answered) / absl::ToDoubleSeconds(period), progress.did_not_run,
      progress.unknown, Milliseconds(progress.p50), Milliseconds(progress.p99));
}

std::string VerdictTable(const Verdict& verdict) {
  std::string table = absl::StrFormat("%-12s %9s %9s %11s %8s %8s %8s %9s %6s %14s\n", "service",
                                      "attempts", "answered", "did-not-run", "unknown", "p50_ms",
                                      "p99_ms", "imbalance", "churn", "unavailable_ms");
  for (const auto& [name, report] : verdict.services) {
    absl::StrAppendFormat(&table, "%-12s %9d %9d %11d %8d %8.2f %8.2f %9.2f %6d %14.0f %s\n", name,
                          report.attempts, report.answered, report.did_not_run, report.unknown,
                          Milliseconds(report.p50), Milliseconds(report.p99), report.imbalance,
                          report.churn, Milliseconds(report.unavailable), report.worst_key);
  }
  absl::StrAppend(&table, ViolationLines("wrong", verdict.wrong),
                  ViolationLines("doubled", verdict.doubled), ViolationLines("lost", verdict.lost),
                  ViolationLines("two owners", verdict.two_owners),
                  ViolationLines("after drain", verdict.after_drain));
  return table;
}

std::string ResultLine(const std::string& name, const Verdict& verdict) {
  const std::string extra = verdict.IsClean()
                                ? ""
                                : absl::StrCat(" two_owners=", verdict.two_owners.size(),
                                               " after_drain=", verdict.after_drain.size());
  return absl::StrFormat(
      "%s %s requests=%d answered=%d wrong=%d doubled=%d lost=%d p99_ms=%.1f imbalance=%.2f "
      "churn=%d unavailable_ms=%.0f%s",
      name, verdict.IsClean() ? "OK" : "FAILED", verdict.requests, verdict.answered,
      verdict.wrong.size(), verdict.doubled.size(), verdict.lost.size(), Milliseconds(verdict.p99),
      verdict.imbalance, verdict.churn, Milliseconds(verdict.unavailable), extra);
}

}  // namespace ladderstream::rehearsal
