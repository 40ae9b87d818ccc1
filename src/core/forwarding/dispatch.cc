#include <algorithm>
#include <utility>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

/// Sends of one request, including those that failed before any byte was sent.
constexpr uint32_t kMaxSends = 8;
/// Requests of one service that may wait at the same time.
constexpr size_t kMaxWaiting = 64;
/// Share of the target latency that an attempt may take; the rest is for waiting on this node and
/// for returning the answer to the caller.
constexpr double kAttemptTimeShare = 0.75;
/// Minimum interval between two timer-driven dispatches of a waiting request.
constexpr Duration kMinRedispatchInterval = absl::Milliseconds(5);
/// How often it is looked whether the losses of a waiting request are settled.
constexpr Duration kSettleInterval = absl::Milliseconds(10);
/// After a stall, in which the messages of the other nodes are read.
constexpr Duration kCatchUpTime = absl::Milliseconds(100);
/// Share of the target latency that queues may take even when the service time nearly reaches it.
constexpr double kMinSlackShare = 0.1;

}  // namespace

void Dispatcher::Impl::Dispatch(Request& request, Time now) {
  if (now >= request.answer_by) {
    FinishTimeOver(request, now);
    return;
  }
  const bool again = request.counted_attempts > 0;
  if (again && request.counted_attempts >= std::max(request.route->max_attempts, 1U)) {
    FinishUnserved(request, Choice(), StopCause::kAttemptsSpent, now);
    return;
  }
  if (again && !request.service->budget.Allows(retry_limits_, 1, now)) {
    FinishUnserved(request, Choice(), StopCause::kBudgetSpent, now);
    return;
  }
  if (request.sends >= kMaxSends) {
    FinishUnserved(request, Choice(), StopCause::kAttemptsSpent, now);
    return;
  }
  if (now < catching_up_until_) {
    WaitUntilCaughtUp(request, now);
    return;
  }
  const Choice choice = Choose(request, now);
  if (choice.backend != nullptr && !Admitted(request, now)) {
    FinishUnserved(request, choice, StopCause::kNotAdmitted, now);
  } else if (choice.backend != nullptr) {
    SendOrRefuse(request, choice, now);
  } else if (!MayWait(request, choice, now)) {
    FinishUnserved(request, choice, StopCause::kUnavailable, now);
  } else if (!request.waiting && request.service->waiting.size() >= kMaxWaiting) {
    FinishUnserved(request, choice, StopCause::kTooManyWaiting, now);
  } else {
    Wait(request, choice, now);
  }
}

Choice Dispatcher::Impl::Choose(const Request& request, Time now) {
  Choice choice = ChooseOnce(request, now);
  if (choice.request_permit_for == nullptr) {
    return choice;
  }
  // If this node issues permits for the back end, the permit is available immediately. Otherwise
  // the request waits for the reply; Choice::retry_at holds when it is due.
  rates_.Ask(choice.request_permit_for->registration.id, now);
  return choice.backend == nullptr ? ChooseOnce(request, now) : choice;
}

Choice Dispatcher::Impl::ChooseOnce(const Request& request, Time now) {
  const ChoiceContext context{*request.service, request.key,
                              request.failed,   request.rejected_assignment,
                              request.start_by, now};
  return request.sharded ? guarded_owner_.Choose(context) : guarded_least_wait_.Choose(context);
}

bool Dispatcher::Impl::Admitted(Request& request, Time now) {
  // Keyed requests bypass service-wide admission, as capacity differs between owners: admission by
  // their mean refused 0.37 instead of 0.18 of a request class and served fewer in time.
  if (!request.admitted && !request.sharded) {
    ServiceState& service = *request.service;
    const Duration target = request.route->target_latency;
    const Duration slack =
        std::max(target - service.averages.ServiceTime(), target * kMinSlackShare);
    request.admitted = service.admission.Admit(request.route->priority, slack, now);
    services_.RecordAdmissionLevel(service, now);
  }
  return request.admitted || request.sharded;
}

bool Dispatcher::Impl::MayWait(const Request& request, const Choice& choice, Time now) const {
  const Duration needed = request.service->averages.ServiceTime();
  const bool is_timed = choice.unavailable_reason == UnavailableReason::kOwnerInBackoff ||
                        choice.unavailable_reason == UnavailableReason::kAllInBackoff ||
                        ((choice.unavailable_reason == UnavailableReason::kOwnerLimited ||
                          choice.unavailable_reason == UnavailableReason::kAllLimited) &&
                         !rates_.AwaitsReply(choice.blocking_backend->registration.id, now));
  if (is_timed && choice.retry_at > request.wait_deadline) {
    // The request cannot be sent before its wait deadline.
    return false;
  }
  return choice.transient && now < request.wait_deadline && request.answer_by - now > needed;
}

void Dispatcher::Impl::Wait(Request& request, const Choice& choice, Time now) {
  request.wait_until =
      std::min(std::max(choice.retry_at, now + kMinRedispatchInterval), request.wait_deadline);
  if (!request.waiting) {
    request.waiting = true;
    request.service->waiting.Add(request.QueueEntry());
  }
  Arm(request);
}

void Dispatcher::Impl::StopWaiting(Request& request) {
  if (request.waiting) {
    request.waiting = false;
    request.wait_until = absl::InfiniteFuture();
    request.service->waiting.Remove(request.QueueEntry());
  }
}

void Dispatcher::Impl::SendOrRefuse(Request& request, const Choice& choice, Time now) {
  // Another node may have served it while it waited for its trial.
  request.is_trial = request.is_trial && IsHeld(*request.identity, now);
  const std::optional<Way> way = ChooseWay(request, *choice.backend, now);
  if (way.has_value() && MayBeSent(request, choice.backend->registration.id, *way, now) &&
      (!request.is_trial || suspects_.UseTrial(request.trial_of, now))) {
    Send(request, choice, *way, now);
    return;
  }
  if (way.has_value()) {
    WaitUntilSettled(request, choice, now);
    return;
  }
  Choice unreachable;
  unreachable.unavailable_reason = UnavailableReason::kNoPath;
  unreachable.blocking_backend = choice.backend;
  FinishUnserved(request, unreachable, StopCause::kUnavailable, now);
}

void Dispatcher::Impl::OnStalled(Time now) { catching_up_until_ = now + kCatchUpTime; }

void Dispatcher::Impl::WaitUntilCaughtUp(Request& request, Time now) {
  if (!request.waiting && request.service->waiting.size() >= kMaxWaiting) {
    FinishUnserved(request, Choice(), StopCause::kTooManyWaiting, now);
    return;
  }
  Wait(request, Choice(), now);
  request.wait_until = catching_up_until_;
  Arm(request);
}

void Dispatcher::Impl::WaitUntilSettled(Request& request, const Choice& choice, Time now) {
  const bool has_room = request.waiting || request.service->waiting.size() < kMaxWaiting;
  const bool stays_held = request.is_trial ? !suspects_.AwaitsTrial(request.trial_of, now)
                                           : IsHeld(*request.identity, now);
  if (now >= request.wait_deadline || !has_room || stays_held) {
    FinishUnserved(request, choice, StopCause::kMayCrashAnother, now);
    return;
  }
  suspects_.OnWanted(*request.identity, now);
  Choice unsettled = choice;
  unsettled.retry_at = now + kSettleInterval;
  Wait(request, unsettled, now);
}

void Dispatcher::Impl::Send(Request& request, const Choice& choice, const Way& way, Time now) {
  StopWaiting(request);
  Attempt attempt;
  attempt.request = request.handle;
  attempt.backend = choice.backend;
  attempt.service = request.service;
  attempt.fence = choice.fence;
  attempt.started = now;
  attempt.late_after = request.route->target_latency * kAttemptTimeShare;
  attempt.charged = request.counted_attempts > 0;
  attempt.peer = way.peer;
  attempt.identity = request.identity;
  if (way.peer != 0) {
    relay_peers_.OnSent(way.peer);
  }
  if (attempt.charged) {
    request.service->budget.Charge(now);
  }
  BackendState& backend = *choice.backend;
  backend.load.OnSend(now);
  attempt.permitted = rates_.Use(backend.registration.id, now);
  if (backend.registration.BoundedByCold(now)) {
    backend.next_cold_send =
        now + cold_senders_.Interval(backend.registration.cold_requests_per_second);
  }
  const Time usable_until = request.sharded ? backend.owner_usable_until : backend.usable_until;
  SendDecision send;
  send.attempt = ++last_attempt_;
  send.backend = backend.registration.id;
  send.address = backend.registration.address;
  send.peer = way.peer;
  send.prefer_idle = way.prefer_idle;
  send.priority = request.route->priority;
  send.identity = request.identity;
  send.permitted = attempt.permitted;
  send.is_trial = request.is_trial;
  send.needs_new_connection =
      request.is_trial || now - backend.awaited_since >= SilencePatience(*request.service);
  send.connect_by = std::min({now + settings_.connect_timeout, request.answer_by, usable_until});
  send.answer_by = request.answer_by;
  send.cause = request.next_cause;
  send.expected_wait = choice.expected_wait;
  ++request.counted_attempts;
  ++request.sends;
  request.in_flight.push_back(send.attempt);
  attempts_.emplace(send.attempt, std::move(attempt));
  Emit(request, std::move(send));
  Arm(request);
}

void Dispatcher::Impl::FinishUnserved(Request& request, const Choice& choice, StopCause cause,
                                      Time now) {
  Finish(request, AnswerUnserved(request, choice, cause, ownership_.map(), random_, now), now);
}

void Dispatcher::Impl::Finish(Request& request, Decision decision, Time now) {
  if (!std::holds_alternative<RelayDecision>(decision)) {
    RecordAbandoned(request, now);
  }
  AbandonAttempts(request, now);
  Emit(request, std::move(decision));
  Forget(request);
}

void Dispatcher::Impl::AbandonAttempts(Request& request, Time now) {
  ServiceState* service = request.service;
  for (const AttemptHandle handle : std::exchange(request.in_flight, {})) {
    Attempt& attempt = attempts_.at(handle);
    if (attempt.sent && !request.repeatable()) {
      // Let it finish and ignore its answer: aborting it could leave the work half done.
      attempt.request = 0;
      continue;
    }
    attempt.backend->load.OnEnd(attempt.started);
    ReleasePeer(attempt);
    if (attempt.sent) {
      attempt.backend->load.OnUnanswered(now - attempt.started, now);
      if (now - attempt.started > attempt.late_after) {
        attempt.backend->owner_limit.OnAnswer(attempt.started, false, now);
      }
    }
    if (attempt.charged && !attempt.sent) {
      service->budget.Refund(attempt.started);
    }
    attempts_.erase(handle);
    Emit(request, CancelDecision{handle});
  }
}

void Dispatcher::Impl::Forget(Request& request) {
  StopWaiting(request);
  Disarm(request);
  requests_.erase(request.handle);
}

void Dispatcher::Impl::DispatchWaiting(ServiceState& service, Time now) {
  if (service.waiting.empty()) {
    return;
  }
  for (const uint64_t handle : service.waiting.Requests()) {
    Request* request = FindRequest(handle);
    if (request != nullptr && request->waiting) {
      Dispatch(*request, now);
    }
  }
}

void Dispatcher::Impl::Emit(const Request& request, Decision decision) {
  decisions_.push_back({request.handle, std::move(decision)});
}

}  // namespace ladderstream::forwarding
