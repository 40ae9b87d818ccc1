// The stated outcome of a trace, and how a verdict compares with it.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "rehearsal/judge.h"

namespace ladderstream::rehearsal {

/// Wrong, doubled and lost requests and two owners at once are never allowed; the rest is bounded.
struct Expectation {
  /// Of all attempts.
  double min_answered_share = 1;
  double max_imbalance = 0;
  uint64_t max_churn = 0;
  absl::Duration max_unavailable;
};

/// Reads {"min_answered_share":x,"max_imbalance":x,"max_churn":n,"max_unavailable_ms":n}. Throws
/// Error(kMalformedMessage).
Expectation ReadExpectation(std::istream& input);

/// Gives one line for each bound that `verdict` misses.
std::vector<std::string> FindMisses(const Expectation& expectation, const Verdict& verdict);

}  // namespace ladderstream::rehearsal
