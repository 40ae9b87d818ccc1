// Wording and figures of the answers that are made here, when no back end's can be passed on.
#pragma once

#include <random>
#include <string>

#include "core/forwarding/backend_choice.h"
#include "core/forwarding/dispatcher.h"
#include "core/forwarding/request_state.h"

namespace ladderstream::forwarding {

/// Why a request cannot be sent (again) now.
enum class StopCause {
  /// The choice's obstacle.
  kNoBackendAvailable,
  /// It may have run, and must not run twice.
  kNotRepeatable,
  kAttemptsSpent,
  kBudgetSpent,
  kTooManyWaiting,
  /// Its service is overloaded, and others go first.
  kNotAdmitted,
  /// It was lost with so many back ends that it may have crashed them.
  kMayCrashAnother,
};

/// The final answer of a request that nobody serves: 502 when it may have run, otherwise 503 with
/// a time to come back.
AnswerDecision AnswerUnserved(const Request& request, const Choice& choice, StopCause cause,
                              const ownership::OwnershipMap* map, std::mt19937_64& random,
                              Time now);

/// The final answer of a request whose time is over: 504 when it may have run, otherwise 503.
AnswerDecision AnswerTimeOver(const Request& request, bool may_have_run, Time now);

/// An answer that needs no more than a code. The status is the code's.
AnswerDecision MakeAnswer(ResultCode code, Duration retry_after, std::string reason);

}  // namespace ladderstream::forwarding
