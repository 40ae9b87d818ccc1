// What callers asked for and what they were told: the first half of what the judge compares.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {

/// One attempt of one call, as its caller saw it. Times are CLOCK_BOOTTIME readings, which all
/// processes of one machine share.
struct CallAttempt {
  /// Names the call; a call that is sent again keeps it.
  std::string call_id;
  /// Counts the attempts of a call, from 1.
  uint32_t attempt = 1;
  std::string service;
  std::string key;
  std::string request;
  bool repeatable = true;
  /// Sent by a steady prober rather than as part of the load.
  bool probe = false;
  /// What the caller was told.
  Outcome outcome = Outcome::kUnknown;
  /// The result code's number; zero with an answer, and when nothing came back at all.
  uint32_t code = 0;
  /// For an answer: whether it is whole and belongs to this very request.
  bool answer_matches = true;
  /// When the call (not this attempt) was to be made; later than that when its caller was busy.
  absl::Time due;
  absl::Time sent;
  /// When the outcome was known.
  absl::Time known;

  /// How long the caller waited for this outcome, earlier attempts included.
  absl::Duration Latency() const { return known - due; }
};

using CallerLog = std::vector<CallAttempt>;

/// The identifier under which one attempt travels ("call_id.attempt"): a back end's record tells by
/// it which attempt ran.
std::string AttemptId(const CallAttempt& attempt);

/// Gives the call's identifier out of what AttemptId gave.
std::string CallIdOf(const std::string& attempt_id);

/// One attempt as a line of JSON, for a look at a failed rehearsal.
std::string ToJsonLine(const CallAttempt& attempt);

}  // namespace ladderstream::rehearsal
