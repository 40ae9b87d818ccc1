#include "rehearsal/replay/expectation.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

void AddViolations(const std::string& sort, const std::vector<Violation>& violations,
                   std::vector<std::string>& misses) {
  for (const Violation& violation : violations) {
    misses.push_back(absl::StrCat(sort, ": ", violation.what));
  }
}

}  // namespace

Expectation ReadExpectation(std::istream& input) {
  try {
    const nlohmann::json bounds = nlohmann::json::parse(input);
    return Expectation{
        .min_answered_share = bounds.at("min_answered_share").get<double>(),
        .max_imbalance = bounds.at("max_imbalance").get<double>(),
        .max_churn = bounds.at("max_churn").get<uint64_t>(),
        .max_unavailable = absl::Milliseconds(bounds.at("max_unavailable_ms").get<int64_t>())};
  } catch (const nlohmann::json::exception& error) {
    throw Error(ResultCode::kMalformedMessage, absl::StrCat("expected outcome: ", error.what()));
  }
}

std::vector<std::string> FindMisses(const Expectation& expectation, const Verdict& verdict) {
  std::vector<std::string> misses;
  AddViolations("wrong", verdict.wrong, misses);
  AddViolations("doubled", verdict.doubled, misses);
  AddViolations("lost", verdict.lost, misses);
  AddViolations("two owners", verdict.two_owners, misses);
  AddViolations("after drain", verdict.after_drain, misses);
  const double share = verdict.requests == 0 ? 0
                                             : static_cast<double>(verdict.answered) /
                                                   static_cast<double>(verdict.requests);
  if (share < expectation.min_answered_share) {
    misses.push_back(absl::StrCat("answered share ", share, ", expected at least ",
                                  expectation.min_answered_share));
  }
  if (verdict.imbalance > expectation.max_imbalance) {
    misses.push_back(absl::StrCat("imbalance ", verdict.imbalance, ", expected at most ",
                                  expectation.max_imbalance));
  }
  if (verdict.churn > expectation.max_churn) {
    misses.push_back(
        absl::StrCat("churn ", verdict.churn, ", expected at most ", expectation.max_churn));
  }
  if (verdict.unavailable > expectation.max_unavailable) {
    misses.push_back(absl::StrCat("unavailable for ", absl::FormatDuration(verdict.unavailable),
                                  ", expected at most ",
                                  absl::FormatDuration(expectation.max_unavailable)));
  }
  return misses;
}

}  // namespace ladderstream::rehearsal
