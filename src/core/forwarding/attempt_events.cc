#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

constexpr int kFirstCallerError = 400;
constexpr int kFirstServerError = 500;
constexpr int kGatewayTimeout = 504;
constexpr int kMisdirected = 421;
/// A timeout counts against the back end only after this many service times.
constexpr int kUnansweredServiceTimes = 2;
/// An attempt that ends within this share of the service time is taken as not processed.
constexpr double kQuickShare = 0.5;
/// How long a load report is taken as current: a few service times, within which a burst may fill a
/// queue.
constexpr Duration kReportFreshness = absl::Milliseconds(500);

/// Whether the answer indicates a fault of the back end itself.
bool ShowsFault(const AttemptAnswer& answer) {
  return answer.status >= kFirstServerError && answer.status != kGatewayTimeout &&
         !answer.not_executed;
}

/// Whether the attempt ended too early to have been processed or to have been queued for long.
bool EndedImmediately(const Attempt& attempt, Time now) {
  return now - attempt.started < attempt.backend->load.ServiceTime(now) * kQuickShare;
}

/// Whether a back end that reported this load had a slot free for one more request.
bool HasRoom(const catalog::ToldLoad& load) {
  return load.slots > 0 && load.running + load.waiting < load.slots;
}

/// Whether a request may have been lost because the back end is full. False when the back end
/// recently reported a free slot.
bool MayBeFull(const load::LoadEstimate& load, Time now) {
  return load.ReportAge(now) > kReportFreshness || !HasRoom(load.reported());
}

/// Whether an answer received now arrives within the time limit of its attempt.
bool InTime(const Attempt& attempt, Time now) {
  return now - attempt.started <= attempt.late_after;
}

/// Whether it is certain that no byte of the attempt was sent.
bool NeverSent(const Attempt& attempt, AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectRefused:
    case AttemptFailure::kConnectTimeout:
    case AttemptFailure::kNotSent:
    case AttemptFailure::kPeerUnavailable:
    case AttemptFailure::kPeerHasNoPath:
      return true;
    case AttemptFailure::kTimedOut:
      return !attempt.sent;
    case AttemptFailure::kLost:
    case AttemptFailure::kPeerLost:
      return false;
  }
  return false;
}

}  // namespace

Request* Dispatcher::Impl::FindRequest(RequestHandle handle) {
  const auto request = requests_.find(handle);
  return request == requests_.end() ? nullptr : request->second.get();
}

Attempt Dispatcher::Impl::EndAttempt(AttemptHandle handle) {
  auto node = attempts_.extract(handle);
  Attempt attempt = std::move(node.mapped());
  attempt.backend->load.OnEnd(attempt.started);
  ReleasePeer(attempt);
  Request* request = FindRequest(attempt.request);
  if (request != nullptr) {
    std::erase(request->in_flight, handle);
  }
  return attempt;
}

bool Dispatcher::Impl::MaySend(AttemptHandle handle, Time now) const {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    return false;
  }
  const Attempt& attempt = found->second;
  const auto request = requests_.find(attempt.request);
  const bool by_key = request != requests_.end() && request->second->sharded;
  const bool usable =
      by_key ? attempt.backend->UsableAsOwner(now) : attempt.backend->UsableForAny(now);
  // A limit that was reported after this attempt was decided on applies to it too.
  const bool permitted = attempt.permitted || !rates_.IsLimited(attempt.backend->registration.id);
  const bool held =
      request != requests_.end() && !MayBeSent(*request->second, attempt.backend->registration.id,
                                               {attempt.peer, /*prefer_idle=*/false}, now);
  return usable && permitted && !held && now >= catching_up_until_ &&
         !attempt.backend->InBackoff(now);
}

void Dispatcher::Impl::OnSent(AttemptHandle handle, Time now) {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.sent = true;
  if (attempt.peer == 0) {
    attempt.backend->awaited_since = std::min(attempt.backend->awaited_since, now);
    attempt.backend->outlier.OnConnected();
    if (relay_peers_.HasPeers()) {
      paths_.OnSent(attempt.backend->registration.id, SilencePatience(*attempt.service), now);
    }
  }
  Request* request = FindRequest(attempt.request);
  if (request != nullptr) {
    ArmHedge(*request, attempt, now);
  }
}

void Dispatcher::Impl::OnAttemptAnswer(AttemptHandle handle, const AttemptAnswer& answer,
                                       Time now) {
  if (!attempts_.contains(handle)) {
    return;
  }
  const Attempt attempt = EndAttempt(handle);
  if (attempt.peer == 0) {
    paths_.OnAnswered(attempt.backend->registration.id, now);
  } else {
    paths_.OnRelayed(attempt.backend->registration.id, /*reached=*/true, now);
  }
  ApplyBackendSignals(attempt, answer, now);
  UpdateFromAnswer(attempt, answer, now);
  if (answer.status != kMisdirected) {
    RecordAnswerOf(*attempt.backend, now);
  }
  Request* request = FindRequest(attempt.request);
  if (request != nullptr) {
    switch (MeaningOf(answer)) {
      case AnswerMeaning::kFinal:
        RecordServed(*request, answer, now);
        Finish(*request, RelayDecision{handle}, now);
        break;
      case AnswerMeaning::kRefused:
        OnRefused(*request, attempt, answer, now);
        break;
      case AnswerMeaning::kUnclear:
        OnUnclearAnswer(*request, attempt, answer, now);
        break;
    }
  }
  DispatchWaiting(*attempt.service, now);
}

void Dispatcher::Impl::ApplyBackendSignals(const Attempt& attempt, const AttemptAnswer& answer,
                                           Time now) {
  BackendState& backend = *attempt.backend;
  if (answer.cold_left.has_value()) {
    services_.RecordCold(*answer.cold_left, backend, now);
  }
  if (answer.backoff.has_value()) {
    const bool was_in_backoff = backend.InBackoff(now);
    services_.RecordBackoff(*answer.backoff, backend, now);
    if (!was_in_backoff && HasRoom(answer.load)) {
      attempt.service->load.AddDeclined(backend.registration.id, *answer.backoff);
    }
  }
  if (answer.status == kMisdirected) {
    // The answer may come from another back end at the same address.
    return;
  }
  if (answer.leaving) {
    services_.RecordLeaving(backend, now);
  }
  rates_.limits().OnAnswer(backend.registration.id, answer.limit, attempt.started, now);
}

void Dispatcher::Impl::UpdateFromAnswer(const Attempt& attempt, const AttemptAnswer& answer,
                                        Time now) {
  BackendState& backend = *attempt.backend;
  attempt.service->admission.OnReportedLoad(answer.load, backend.load.ServiceTime(now), now);
  const Duration elapsed = now - attempt.started;
  if (answer.status == kMisdirected) {
    return;
  }
  const bool refused = MeaningOf(answer) == AnswerMeaning::kRefused;
  if (!refused || HasRoom(answer.load)) {
    // Requests that a faulty back end fails, or rejects with free slots, leave no queue, so they
    // count as done. If only served requests counted, a service whose back ends reject two of three
    // requests would stay limited with empty queues as long as the fault lasts (unit test
    // overload).
    attempt.service->admission.OnDone(now);
  }
  if (refused) {
    UpdateFromRefusal(attempt, answer, now);
    return;
  }
  if (ShowsFault(answer)) {
    RecordEjection(backend, absl::StrCat("answered ", answer.status),
                   backend.outlier.OnFailure(now));
    return;
  }
  if (answer.not_executed || answer.status >= kFirstServerError) {
    return;
  }
  backend.outlier.OnSuccess(now);
  if (answer.status >= kFirstCallerError) {
    return;
  }
  backend.load.OnServed(elapsed, answer.load, now);
  backend.owner_limit.OnAnswer(attempt.started, InTime(attempt, now), now);
  const bool load_reported = answer.load.slots > 0;
  if (!load_reported || (answer.load.waiting == 0 && answer.load.running <= answer.load.slots)) {
    attempt.service->load.AddServiceTime(backend.registration.id, elapsed, !load_reported);
  }
}

void Dispatcher::Impl::UpdateFromRefusal(const Attempt& attempt, const AttemptAnswer& answer,
                                         Time now) {
  BackendState& backend = *attempt.backend;
  const bool has_room = HasRoom(answer.load);
  const bool ended_immediately = EndedImmediately(attempt, now);
  if (ended_immediately && !answer.backoff.has_value()) {
    // The back end gets no request before one of its slots may be free; a retry for one of its keys
    // waits.
    backend.load.OnShed(answer.load, now);
  } else {
    backend.load.OnReportedLoad(answer.load, now);
  }
  if (ended_immediately && !has_room) {
    // An owner that rejects with free slots is faulty, and a lower limit would not help: of the
    // requests for keys of an owner that sheds half of them, 0.24 were served with its limit
    // reduced, and 0.82 without (replay of the unit test ill_back_end, 20 seeds).
    backend.owner_limit.OnRejected(attempt.started, backend.load.ServiceTime(now), now);
  }
  // A back end that requests a back-off is not faulty, and is used as before afterwards.
  if (has_room && !answer.backoff.has_value()) {
    const Duration ejected = backend.outlier.OnFailure(now);
    RecordEjection(backend, "rejected a request despite free slots", ejected);
    if (ejected > absl::ZeroDuration()) {
      attempt.service->load.AddDeclined(backend.registration.id, ejected);
    }
  }
}

void Dispatcher::Impl::OnRefused(Request& request, const Attempt& attempt,
                                 const AttemptAnswer& answer, Time now) {
  request.last_failure = {FailureKind::kRefused, attempt.backend, answer.status, answer.load};
  if (answer.status != kMisdirected) {
    Continue(request, SendCause::kAfterRefusal, now);
    return;
  }
  if (request.sharded) {
    request.last_failure.kind = FailureKind::kNotOwner;
    request.rejected_assignment =
        RejectedAssignment{attempt.backend->registration.id, attempt.fence};
    request.service->load.SetNotOwnerKey(*request.key);
    services_.AddStateChange(*attempt.backend, "denied",
                             absl::StrCat("key ", *request.key, ", fence ", attempt.fence));
  } else {
    request.failed.push_back(attempt.backend);
    RecordEjection(*attempt.backend, "another instance answered at its address",
                   attempt.backend->outlier.OnWrongInstance(now));
  }
  Continue(request, SendCause::kAfterRefusal, now);
}

void Dispatcher::Impl::OnUnclearAnswer(Request& request, const Attempt& attempt,
                                       const AttemptAnswer& answer, Time now) {
  OnLost(request, attempt, FailureKind::kUnclear, answer.status, now);
}

void Dispatcher::Impl::OnAttemptFailure(AttemptHandle handle, AttemptFailure failure, Time now) {
  if (!attempts_.contains(handle)) {
    return;
  }
  const Attempt attempt = EndAttempt(handle);
  RecordConnectFailure(attempt, failure, now);
  if (!NeverSent(attempt, failure)) {
    if (failure == AttemptFailure::kTimedOut) {
      RecordUnanswered(attempt, now);
    } else {
      RecordLoss(attempt, now);
    }
  }
  UpdatePathFromFailure(attempt, failure, now);
  if (!IsPathFailure(attempt, failure, now)) {
    UpdateFromFailure(attempt, failure, now);
  }
  Request* request = FindRequest(attempt.request);
  if (request != nullptr) {
    if (NeverSent(attempt, failure)) {
      OnNeverSent(*request, attempt, failure, now);
    } else if (failure == AttemptFailure::kTimedOut) {
      request->may_have_run = true;
      request->last_failure = {FailureKind::kLost, attempt.backend, 0, {}};
      FinishTimeOver(*request, now);
    } else {
      OnLost(*request, attempt, FailureKind::kLost, 0, now);
    }
  }
  ApplyPathChanges(now);
  DispatchWaiting(*attempt.service, now);
}

void Dispatcher::Impl::UpdateFromLoss(const Attempt& attempt, Time now) {
  BackendState& backend = *attempt.backend;
  if (!MayBeFull(backend.load, now)) {
    return;
  }
  const Duration service_time = backend.load.ServiceTime(now);
  if (EndedImmediately(attempt, now)) {
    backend.owner_limit.OnRejected(attempt.started, service_time, now);
  } else {
    backend.owner_limit.OnLost(attempt.started, service_time, now);
  }
}

void Dispatcher::Impl::UpdateFromFailure(const Attempt& attempt, AttemptFailure failure, Time now) {
  BackendState& backend = *attempt.backend;
  switch (failure) {
    case AttemptFailure::kConnectRefused:
      RecordEjection(backend, "refused a connection", backend.outlier.OnConnectRefused(now));
      break;
    case AttemptFailure::kConnectTimeout:
      RecordEjection(backend, "connection attempt timed out",
                     backend.outlier.OnConnectTimeout(now));
      break;
    case AttemptFailure::kNotSent:
    case AttemptFailure::kPeerUnavailable:
    case AttemptFailure::kPeerHasNoPath:
    case AttemptFailure::kPeerLost:
      break;
    case AttemptFailure::kLost:
      // A full back end may reset connections instead of answering, and does so immediately.
      if (EndedImmediately(attempt, now)) {
        backend.load.OnShed({}, now);
      }
      UpdateFromLoss(attempt, now);
      RecordEjection(backend, "connection lost during a request", backend.outlier.OnFailure(now));
      break;
    case AttemptFailure::kTimedOut:
      backend.owner_limit.OnAnswer(attempt.started, false, now);
      if (attempt.sent && now - attempt.started >
                              kUnansweredServiceTimes * attempt.service->averages.ServiceTime()) {
        backend.load.OnUnanswered(now - attempt.started, now);
        RecordEjection(backend, "no answer before the deadline", backend.outlier.OnFailure(now));
      }
      break;
  }
}

void Dispatcher::Impl::RecordEjection(const BackendState& backend, const std::string& cause,
                                      Duration time) {
  if (time > absl::ZeroDuration()) {
    services_.AddStateChange(backend, "ejected",
                             absl::StrCat(cause, ", for ", absl::FormatDuration(time)));
  }
}

void Dispatcher::Impl::OnNeverSent(Request& request, const Attempt& attempt, AttemptFailure failure,
                                   Time now) {
  --request.counted_attempts;
  if (request.is_trial) {
    suspects_.ReturnTrial(request.trial_of);
  }
  if (attempt.charged) {
    request.service->budget.Refund(attempt.started);
  }
  FailureKind kind = FailureKind::kUnreachable;
  if (failure == AttemptFailure::kNotSent) {
    kind = FailureKind::kNotSent;
  } else if (IsPathFailure(attempt, failure, now)) {
    kind = FailureKind::kNoPath;
  }
  request.last_failure = {kind, attempt.backend, 0, {}};
  if (kind == FailureKind::kUnreachable && !request.sharded) {
    request.failed.push_back(attempt.backend);
  }
  Continue(request, SendCause::kAfterConnectFailure, now);
}

void Dispatcher::Impl::OnLost(Request& request, const Attempt& attempt, FailureKind kind,
                              int status, Time now) {
  request.may_have_run = true;
  request.last_failure = {kind, attempt.backend, status, {}};
  if (!request.sharded) {
    request.failed.push_back(attempt.backend);
  }
  const bool stop_retries = MayCrashAnother(request, now);
  if (!request.repeatable() || stop_retries) {
    const StopCause cause = stop_retries ? StopCause::kMayCrashAnother : StopCause::kNotRepeatable;
    Finish(request, AnswerUnserved(request, Choice(), cause, ownership_.map(), random_, now), now);
    return;
  }
  Continue(request, SendCause::kAfterLoss, now);
}

void Dispatcher::Impl::Continue(Request& request, SendCause cause, Time now) {
  if (!request.in_flight.empty()) {
    return;
  }
  request.next_cause = cause;
  request.hedge_at = absl::InfiniteFuture();
  Dispatch(request, now);
}

void Dispatcher::Impl::OnCallerDisconnected(RequestHandle handle, Time now) {
  Request* request = FindRequest(handle);
  if (request != nullptr) {
    ServiceState& service = *request->service;
    RecordAbandoned(*request, now);
    AbandonAttempts(*request, now);
    Forget(*request);
    DispatchWaiting(service, now);
  }
}

}  // namespace ladderstream::forwarding
