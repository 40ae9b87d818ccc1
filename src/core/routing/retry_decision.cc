#include "core/routing/retry_decision.h"

namespace ladderstream::routing {
namespace {

RetryDecision DecideAfterRefusal(ResultCode code, RoutingKind routing) {
  switch (code) {
    case ResultCode::kOwnerChanged:
    case ResultCode::kNoOwner:
    case ResultCode::kNodeUnreachable:
    case ResultCode::kShuttingDown:
      return RetryDecision::kAwaitRouting;
    case ResultCode::kOverloaded:
    case ResultCode::kDeadlineUnreachable:
    case ResultCode::kBackendUnreachable:
    case ResultCode::kBackendShed:
      // A key has but one owner: asking it again at once would only add to its load.
      return routing == RoutingKind::kByLoad ? RetryDecision::kSpendBudget : RetryDecision::kGiveUp;
    default:
      return RetryDecision::kGiveUp;
  }
}

}  // namespace

RetryDecision DecideRetry(ResultCode code, bool repeatable, RoutingKind routing) {
  switch (OutcomeOf(code)) {
    case Outcome::kAnswered:
      return RetryDecision::kGiveUp;
    case Outcome::kDidNotRun:
      return DecideAfterRefusal(code, routing);
    case Outcome::kUnknown:
      return repeatable && code != ResultCode::kInternal ? RetryDecision::kSpendBudget
                                                         : RetryDecision::kGiveUp;
  }
  return RetryDecision::kGiveUp;
}

}  // namespace ladderstream::routing
