#include <algorithm>
#include <utility>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

/// A request is hedged after this many service times or after this share of the target latency,
/// whichever is later.
constexpr int kHedgeServiceTimes = 3;
constexpr double kHedgeTargetShare = 0.5;
/// Hedges may use this share of the retry budget; the rest is reserved for failed requests.
constexpr double kHedgeBudgetShare = 0.5;
/// Delay before a hedge that was not possible is considered again.
constexpr Duration kHedgeRecheckInterval = absl::Milliseconds(20);

}  // namespace

void Dispatcher::Impl::FinishTimeOver(Request& request, Time now) {
  const bool in_progress =
      std::any_of(request.in_flight.begin(), request.in_flight.end(),
                  [this](AttemptHandle handle) { return attempts_.at(handle).sent; });
  Finish(request, AnswerTimeOver(request, request.may_have_run || in_progress, now), now);
}

void Dispatcher::Impl::Arm(Request& request) {
  const Time due = std::min({request.answer_by, request.wait_until, request.hedge_at});
  if (due == request.timer) {
    return;
  }
  Disarm(request);
  request.timer = due;
  if (due != absl::InfiniteFuture()) {
    timers_.emplace(due, request.handle);
  }
}

void Dispatcher::Impl::Disarm(Request& request) {
  timers_.erase({request.timer, request.handle});
  request.timer = absl::InfiniteFuture();
}

Time Dispatcher::Impl::NextWake() const {
  const Time next = timers_.empty() ? absl::InfiniteFuture() : timers_.begin()->first;
  return std::min({next, suspects_.NextProbe(), paths_.NextWake()});
}

void Dispatcher::Impl::OnTick(Time now) {
  if (paths_.NextWake() <= now) {
    for (std::string& backend : paths_.TakeProbes(now)) {
      path_probes_.insert(std::move(backend));
    }
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    Request& request = *requests_.at(timers_.begin()->second);
    if (now >= request.answer_by) {
      FinishTimeOver(request, now);
    } else if (request.waiting) {
      Dispatch(request, now);
    } else {
      TryHedge(request, now);
    }
  }
}

bool Dispatcher::Impl::MayHedge(const Request& request) const {
  return settings_.hedge && request.repeatable() && !request.sharded && !request.is_trial &&
         request.in_flight.size() == 1 && request.counted_attempts < request.route->max_attempts;
}

void Dispatcher::Impl::ArmHedge(Request& request, const Attempt& attempt, Time now) {
  if (!MayHedge(request)) {
    return;
  }
  const Duration usual = kHedgeServiceTimes * attempt.service->averages.ServiceTime();
  const Duration target = request.route->target_latency;
  const Duration overdue =
      target == absl::InfiniteDuration() ? usual : std::max(usual, target * kHedgeTargetShare);
  request.hedge_at = now + overdue;
  Arm(request);
}

void Dispatcher::Impl::TryHedge(Request& request, Time now) {
  request.hedge_at = absl::InfiniteFuture();
  if (MayHedge(request)) {
    request.hedge_at = now + kHedgeRecheckInterval;
    const Attempt& slow = attempts_.at(request.in_flight.front());
    std::vector<BackendStatePtr> others = request.failed;
    others.push_back(slow.backend);
    const ChoiceContext context{*request.service, request.key, others, request.rejected_assignment,
                                request.start_by, now};
    const Choice choice = guarded_least_wait_.Choose(context);
    if (choice.backend != nullptr) {
      const load::LoadEstimate& load = choice.backend->load;
      const bool free = load.Occupancy(now) + 1 <= load.slots();
      const bool in_time = choice.expected_wait + load.ServiceTime(now) < request.answer_by - now;
      const std::optional<Way> way = ChooseWay(request, *choice.backend, now);
      if (free && in_time && way.has_value() &&
          MayBeSent(request, choice.backend->registration.id, *way, now) &&
          request.service->budget.Allows(retry_limits_, kHedgeBudgetShare, now)) {
        request.hedge_at = absl::InfiniteFuture();
        request.next_cause = SendCause::kHedge;
        Send(request, choice, *way, now);
      }
    }
  }
  Arm(request);
}

}  // namespace ladderstream::forwarding
