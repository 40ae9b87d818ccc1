#include "core/routing/retry_handle.h"

#include <algorithm>

#include "core/routing/retry_decision.h"

namespace ladderstream::routing {
namespace {

/// The wait for a change of routing before the first further attempt; doubled for each next one. A
/// further attempt follows even without a change, because it may be the home node that lags.
constexpr Duration kFirstRoutingWait = absl::Milliseconds(10);

}  // namespace

bool UseTable(RouteContext& context, RouteTablePtr table) {
  const ServiceRoute* service = table->FindService(context.message.service);
  const RequestRule* rule =
      service == nullptr ? nullptr : FindRequest(*service->configuration, context.message.request);
  if (rule == nullptr) {
    return false;
  }
  context.table = std::move(table);
  context.service = service;
  context.rule = rule;
  return true;
}

ForwardResponse RetryHandle::Route(RouteContext& context) {
  context.service->state->budget.Deposit();
  RoutingWaits waits;
  waits.left = settings_.routing_wait;
  ForwardResponse latest = next_->Route(context);
  ForwardResponse combined = latest;
  while (MayTryAgain(context, latest, waits)) {
    latest = next_->Route(context);
    combined = CombineAttempts(std::move(combined), latest);
  }
  return combined;
}

bool RetryHandle::MayTryAgain(RouteContext& context, const ForwardResponse& response,
                              RoutingWaits& waits) {
  if (response.result == ResultCode::kOk || context.cancellation->cancelled() ||
      time_.Now() >= context.deadline) {
    return false;
  }
  switch (DecideRetry(response.result, context.rule->repeatable,
                      context.service->configuration->routing)) {
    case RetryDecision::kGiveUp:
      return false;
    case RetryDecision::kAwaitRouting:
      return AwaitRouting(context, waits);
    case RetryDecision::kSpendBudget:
      return context.service->state->budget.Withdraw() && UseTable(context, watch_.Current());
  }
  return false;
}

bool RetryHandle::AwaitRouting(RouteContext& context, RoutingWaits& waits) {
  if (waits.attempts >= settings_.max_routing_attempts || waits.left <= absl::ZeroDuration()) {
    return false;
  }
  const Time now = time_.Now();
  const Duration wait = std::min(waits.left, kFirstRoutingWait * (int64_t{1} << waits.attempts));
  ++waits.attempts;
  const Time until = std::min(context.deadline, now + wait);
  RouteTablePtr table = watch_.WaitForChange(context.table, until, *context.cancellation);
  waits.left -= time_.Now() - now;
  return UseTable(context, std::move(table));
}

}  // namespace ladderstream::routing
