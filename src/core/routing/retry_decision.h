// Whether an attempt that brought no answer may be followed by another.
#pragma once

#include "wire/configuration.h"
#include "wire/result_code.h"

namespace ladderstream::routing {

enum class RetryDecision {
  /// The caller gets this result.
  kGiveUp,
  /// The routing was stale and the request surely did not run: try again with newer routing.
  kAwaitRouting,
  /// Another attempt is allowed if the service's retry budget pays for it.
  kSpendBudget,
};

/// What may follow an attempt that ended with `code`. A request that may not be repeated is tried
/// again only after a proof that it did not run; one of unknown outcome never is.
RetryDecision DecideRetry(ResultCode code, bool repeatable, RoutingKind routing);

}  // namespace ladderstream::routing
