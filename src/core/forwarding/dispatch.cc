#include <algorithm>
#include <utility>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

/// Sends of one request, counting those that never left.
constexpr uint32_t kMaxSends = 8;
/// Requests of one service that may wait at a time.
constexpr size_t kMaxWaiting = 64;
/// The share of the target latency that an attempt may take; the rest is for waiting here and for
/// the way to the caller. docs/design/018 weighs it.
constexpr double kTimelyShare = 0.75;
/// A waiting request is not looked at more often than this without cause.
constexpr Duration kLeastWait = absl::Milliseconds(5);
/// Where work takes about as long as the target latency, queues may still take this share of it.
constexpr double kLeastSlackShare = 0.1;

}  // namespace

void Dispatcher::Impl::Dispatch(Request& request, Time now) {
  if (now >= request.answer_by) {
    FinishTimeOver(request, now);
    return;
  }
  const bool again = request.departures > 0;
  if (again && request.departures >= std::max(request.route->max_attempts, 1U)) {
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
  const Choice choice = Choose(request, now);
  if (choice.backend != nullptr && !Admitted(request, now)) {
    FinishUnserved(request, choice, StopCause::kNotAdmitted, now);
  } else if (choice.backend != nullptr) {
    Send(request, choice, now);
  } else if (!MayWait(request, choice, now)) {
    FinishUnserved(request, choice, StopCause::kNoBackendAvailable, now);
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
  // This node may itself be an issuer: then the permit is there at once. Otherwise the answer is
  // waited for, and TryAgain says when it is due.
  rates_.Ask(choice.request_permit_for->registration.id, now);
  return choice.backend == nullptr ? ChooseOnce(request, now) : choice;
}

Choice Dispatcher::Impl::ChooseOnce(const Request& request, Time now) {
  const ChoiceContext context{*request.service, request.key,      request.failed,
                              request.denied,   request.start_by, now};
  return request.sharded ? guarded_owner_.Choose(context) : guarded_least_wait_.Choose(context);
}

bool Dispatcher::Impl::Admitted(Request& request, Time now) {
  // What owners bear differs from owner to owner: by their mean, 0.37 of a kind was refused where
  // 0.18 had been, and fewer were served in time (docs/design/023).
  if (!request.admitted && !request.sharded) {
    ServiceState& service = *request.service;
    const Duration target = request.route->target_latency;
    const Duration slack =
        std::max(target - service.averages.ServiceTime(), target * kLeastSlackShare);
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
  if (is_timed && choice.retry_at > request.patience_until) {
    // It is known that waiting here is for nothing.
    return false;
  }
  return choice.transient && now < request.patience_until && request.answer_by - now > needed;
}

void Dispatcher::Impl::Wait(Request& request, const Choice& choice, Time now) {
  request.wait_until =
      std::min(std::max(choice.retry_at, now + kLeastWait), request.patience_until);
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

void Dispatcher::Impl::Send(Request& request, const Choice& choice, Time now) {
  StopWaiting(request);
  Attempt attempt;
  attempt.request = request.handle;
  attempt.backend = choice.backend;
  attempt.service = request.service;
  attempt.fence = choice.fence;
  attempt.started = now;
  attempt.timely = request.route->target_latency * kTimelyShare;
  attempt.charged = request.departures > 0;
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
  send.connect_by = std::min({now + settings_.connect_timeout, request.answer_by, usable_until});
  send.answer_by = request.answer_by;
  send.cause = request.next_cause;
  send.expected_wait = choice.expected_wait;
  ++request.departures;
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
  AbandonAttempts(request, now);
  Emit(request, std::move(decision));
  Forget(request);
}

void Dispatcher::Impl::AbandonAttempts(Request& request, Time now) {
  ServiceState* service = request.service;
  for (const AttemptHandle handle : std::exchange(request.in_flight, {})) {
    Attempt& attempt = attempts_.at(handle);
    if (attempt.sent && !request.repeatable()) {
      // It runs to its end unheard: breaking it off would leave the work half done.
      attempt.request = 0;
      continue;
    }
    attempt.backend->load.OnEnd(attempt.started);
    if (attempt.sent) {
      attempt.backend->load.OnUnanswered(now - attempt.started, now);
      if (now - attempt.started > attempt.timely) {
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
