// Builds the answers that this node gives when no back end's answer can be relayed.
#pragma once

#include <random>
#include <string>

#include "core/forwarding/backend_choice.h"
#include "core/forwarding/dispatcher.h"
#include "core/forwarding/request_state.h"

namespace ladderstream::forwarding {

/// Why a request cannot be sent or retried now.
enum class StopCause {
  /// No back end could be chosen; the Choice holds the reason.
  kUnavailable,
  /// The request may have run and must not run twice.
  kNotRepeatable,
  kAttemptsSpent,
  kBudgetSpent,
  kTooManyWaiting,
  /// Rejected by admission control, as its service is overloaded.
  kNotAdmitted,
  /// The request was lost at several back ends and may have crashed them.
  kMayCrashAnother,
};

/// Returns the final answer of a request that no back end serves: 502 when it may have run,
/// otherwise 503 with a Retry-After delay.
AnswerDecision AnswerUnserved(const Request& request, const Choice& choice, StopCause cause,
                              const ownership::OwnershipMap* map, std::mt19937_64& random,
                              Time now);

/// Returns the final answer of a request whose deadline passed: 504 when it may have run,
/// otherwise 503.
AnswerDecision AnswerTimeOver(const Request& request, bool may_have_run, Time now);

/// Returns an answer with the HTTP status that belongs to `code`.
AnswerDecision MakeAnswer(ResultCode code, Duration retry_after, std::string reason);

}  // namespace ladderstream::forwarding
