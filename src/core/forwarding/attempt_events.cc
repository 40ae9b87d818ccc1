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
/// Giving an answer up says something about the back end only after so many service times.
constexpr int kTimeoutPatience = 2;
/// What ends within this share of the service time has not been worked on.
constexpr double kQuickShare = 0.5;
/// What a back end told is taken as true for so long. An estimate: some service times, in which a
/// burst may fill a queue.
constexpr Duration kFreshTold = absl::Milliseconds(500);

/// Whether the answer shows a fault of the back end itself.
bool ShowsFault(const AttemptAnswer& answer) {
  return answer.status >= kFirstServerError && answer.status != kGatewayTimeout &&
         !answer.not_executed;
}

/// Whether the attempt ended too early to have been worked on, or to have waited for long.
bool EndedAtOnce(const Attempt& attempt, Time now) {
  return now - attempt.started < attempt.backend->load.ServiceTime(now) * kQuickShare;
}

/// Whether a back end that told this had a slot free for one more request.
bool HasRoom(const catalog::ToldLoad& told) {
  return told.slots > 0 && told.running + told.waiting < told.slots;
}

/// Whether a request that was lost there may have been lost because the back end is full: not when
/// it told a short time ago that it has room.
bool MayBeFull(const load::LoadEstimate& load, Time now) {
  return load.ReportAge(now) > kFreshTold || !HasRoom(load.reported());
}

/// Whether an answer that comes now is soon enough for the share of its time that an attempt has.
bool InTime(const Attempt& attempt, Time now) { return now - attempt.started <= attempt.timely; }

/// The attempt's bytes surely never left.
bool NeverLeft(const Attempt& attempt, AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectRefused:
    case AttemptFailure::kConnectTimeout:
    case AttemptFailure::kNotSent:
      return true;
    case AttemptFailure::kTimedOut:
      return !attempt.sent;
    case AttemptFailure::kLost:
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
  // A limit that was named after this attempt was decided on binds it too.
  const bool permitted = attempt.permitted || !rates_.IsLimited(attempt.backend->registration.id);
  return usable && permitted && !attempt.backend->InBackoff(now);
}

void Dispatcher::Impl::OnSent(AttemptHandle handle, Time now) {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end()) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.sent = true;
  attempt.backend->outlier.OnConnected();
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
  LearnWishes(attempt, answer, now);
  LearnFromAnswer(attempt, answer, now);
  suspects_.OnConnected(attempt.backend->registration.id);
  Request* request = FindRequest(attempt.request);
  if (request != nullptr) {
    switch (MeaningOf(answer)) {
      case AnswerMeaning::kFinal:
        if (request->fingerprint.has_value() && answer.status < kFirstServerError) {
          suspects_.OnServed(*request->fingerprint, now);
        }
        Finish(*request, RelayDecision{handle}, now);
        break;
      case AnswerMeaning::kRefused:
        OnRefused(*request, attempt, answer, now);
        break;
      case AnswerMeaning::kUnclear:
        OnUnclear(*request, attempt, answer, now);
        break;
    }
  }
  DispatchWaiting(*attempt.service, now);
}

void Dispatcher::Impl::LearnWishes(const Attempt& attempt, const AttemptAnswer& answer, Time now) {
  BackendState& backend = *attempt.backend;
  if (answer.cold_left.has_value()) {
    services_.RecordCold(*answer.cold_left, backend, now);
  }
  if (answer.rest.has_value()) {
    const bool rested = backend.InBackoff(now);
    services_.RecordBackoff(*answer.rest, backend, now);
    if (!rested && HasRoom(answer.load)) {
      attempt.service->load.AddDeclined(backend.registration.id, *answer.rest);
    }
  }
  if (answer.status == kMisdirected) {
    // Who answers so may be another back end at the same address.
    return;
  }
  if (answer.leaving) {
    services_.RecordLeaving(backend, now);
  }
  rates_.limits().OnAnswer(backend.registration.id, answer.limit, attempt.started, now);
}

void Dispatcher::Impl::LearnFromAnswer(const Attempt& attempt, const AttemptAnswer& answer,
                                       Time now) {
  BackendState& backend = *attempt.backend;
  attempt.service->admission.OnTold(answer.load, backend.load.ServiceTime(now), now);
  const Duration elapsed = now - attempt.started;
  if (answer.status == kMisdirected) {
    return;
  }
  const bool refused = MeaningOf(answer) == AnswerMeaning::kRefused;
  if (!refused || HasRoom(answer.load)) {
    // What an ill back end fails, or turns away with free slots, leaves no queue. Counting only
    // what is served, a service whose back ends turned two of three away stayed limited with empty
    // queues for as long as they were ill (unit test overload).
    attempt.service->admission.OnDone(now);
  }
  if (refused) {
    LearnFromRefusal(attempt, answer, now);
    return;
  }
  if (ShowsFault(answer)) {
    NoteEjection(backend, absl::StrCat("answered ", answer.status), backend.outlier.OnFailure(now));
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
  const bool told = answer.load.slots > 0;
  if (!told || (answer.load.waiting == 0 && answer.load.running <= answer.load.slots)) {
    attempt.service->load.AddServiceTime(backend.registration.id, elapsed, !told);
  }
}

void Dispatcher::Impl::LearnFromRefusal(const Attempt& attempt, const AttemptAnswer& answer,
                                        Time now) {
  BackendState& backend = *attempt.backend;
  const bool has_room = HasRoom(answer.load);
  const bool at_once = EndedAtOnce(attempt, now);
  if (at_once && !answer.rest.has_value()) {
    // Not asked again before another of its slots may be free; a repeat for one of its keys waits.
    backend.load.OnShed(answer.load, now);
  } else {
    backend.load.OnReportedLoad(answer.load, now);
  }
  if (at_once && !has_room) {
    // An owner with room is ill, and sending it less does not heal it: of the requests for keys of
    // an owner that sheds half, 0.24 were served with its limit cut, and 0.82 without (replay of
    // the unit test ill_back_end, 20 seeds).
    backend.owner_limit.OnTurnedAway(attempt.started, backend.load.ServiceTime(now), now);
  }
  // One that says when it may be asked again is not ill, and is used as before from then on.
  if (has_room && !answer.rest.has_value()) {
    const Duration ejected = backend.outlier.OnFailure(now);
    NoteEjection(backend, "refuses though it has free slots", ejected);
    if (ejected > absl::ZeroDuration()) {
      attempt.service->load.AddDeclined(backend.registration.id, ejected);
    }
  }
}

void Dispatcher::Impl::OnRefused(Request& request, const Attempt& attempt,
                                 const AttemptAnswer& answer, Time now) {
  request.setback = {SetbackKind::kRefused, attempt.backend, answer.status, answer.load};
  if (answer.status != kMisdirected) {
    Continue(request, SendCause::kAfterRefusal, now);
    return;
  }
  if (request.sharded) {
    request.setback.kind = SetbackKind::kDenied;
    request.denied = RejectedAssignment{attempt.backend->registration.id, attempt.fence};
    request.service->load.SetNotOwnerKey(*request.key);
    services_.AddStateChange(*attempt.backend, "denied",
                             absl::StrCat("key ", *request.key, ", fence ", attempt.fence));
  } else {
    request.failed.push_back(attempt.backend);
    NoteEjection(*attempt.backend, "another instance answers at its address",
                 attempt.backend->outlier.OnWrongInstance(now));
  }
  Continue(request, SendCause::kAfterRefusal, now);
}

void Dispatcher::Impl::OnUnclear(Request& request, const Attempt& attempt,
                                 const AttemptAnswer& answer, Time now) {
  OnLost(request, attempt, SetbackKind::kUnclear, answer.status, now);
}

void Dispatcher::Impl::OnAttemptFailure(AttemptHandle handle, AttemptFailure failure, Time now) {
  if (!attempts_.contains(handle)) {
    return;
  }
  const Attempt attempt = EndAttempt(handle);
  LearnFromFailure(attempt, failure, now);
  Request* request = FindRequest(attempt.request);
  if (request != nullptr) {
    if (NeverLeft(attempt, failure)) {
      OnNeverLeft(*request, attempt, failure, now);
    } else if (failure == AttemptFailure::kTimedOut) {
      request->may_have_run = true;
      request->setback = {SetbackKind::kLost, attempt.backend, 0, {}};
      FinishTimeOver(*request, now);
    } else {
      OnLost(*request, attempt, SetbackKind::kLost, 0, now);
    }
  }
  DispatchWaiting(*attempt.service, now);
}

void Dispatcher::Impl::OnRequestLost(AttemptHandle handle,
                                     const quarantine::Fingerprint& fingerprint, Time now) {
  const auto found = attempts_.find(handle);
  if (found == attempts_.end() || !found->second.sent) {
    return;
  }
  const Attempt& attempt = found->second;
  suspects_.OnLost(fingerprint, attempt.backend->registration.id, now);
  Request* request = FindRequest(attempt.request);
  if (request == nullptr) {
    return;
  }
  request->fingerprint = fingerprint;
  const auto& known = request->lost_with;
  if (std::find(known.begin(), known.end(), attempt.backend) == known.end()) {
    request->lost_with.push_back(attempt.backend);
  }
}

bool Dispatcher::Impl::MayCrashAnother(const Request& request, Time now) const {
  if (!request.fingerprint.has_value()) {
    return false;
  }
  // Its own losses are counted before it is known that the back ends have crashed: a third one
  // would be gone by then.
  return request.lost_with.size() >= quarantine::kCrashesToStopRetries ||
         suspects_.Judge(*request.fingerprint, now).crashes >= quarantine::kCrashesToStopRetries;
}

void Dispatcher::Impl::LearnFromFailure(const Attempt& attempt, AttemptFailure failure, Time now) {
  BackendState& backend = *attempt.backend;
  switch (failure) {
    case AttemptFailure::kConnectRefused:
      suspects_.OnRefused(backend.registration.id, now);
      NoteEjection(backend, "refused a connection", backend.outlier.OnConnectRefused(now));
      break;
    case AttemptFailure::kConnectTimeout:
      NoteEjection(backend, "gave no connection in time", backend.outlier.OnConnectTimeout(now));
      break;
    case AttemptFailure::kNotSent:
      break;
    case AttemptFailure::kLost:
      // A full back end may reset connections instead of answering; it does so at once.
      if (EndedAtOnce(attempt, now)) {
        backend.load.OnShed({}, now);
      }
      if (MayBeFull(backend.load, now)) {
        backend.owner_limit.OnTurnedAway(attempt.started, backend.load.ServiceTime(now), now);
      }
      NoteEjection(backend, "lost a request", backend.outlier.OnFailure(now));
      break;
    case AttemptFailure::kTimedOut:
      backend.owner_limit.OnAnswer(attempt.started, false, now);
      if (attempt.sent &&
          now - attempt.started > kTimeoutPatience * attempt.service->averages.ServiceTime()) {
        backend.load.OnUnanswered(now - attempt.started, now);
        NoteEjection(backend, "gave no answer in time", backend.outlier.OnFailure(now));
      }
      break;
  }
}

void Dispatcher::Impl::NoteEjection(const BackendState& backend, const std::string& cause,
                                    Duration time) {
  if (time > absl::ZeroDuration()) {
    services_.AddStateChange(backend, "ejected",
                             absl::StrCat(cause, ", for ", absl::FormatDuration(time)));
  }
}

void Dispatcher::Impl::OnNeverLeft(Request& request, const Attempt& attempt, AttemptFailure failure,
                                   Time now) {
  --request.departures;
  if (attempt.charged) {
    request.service->budget.Refund(attempt.started);
  }
  const bool not_sent = failure == AttemptFailure::kNotSent;
  request.setback = {
      not_sent ? SetbackKind::kNotSent : SetbackKind::kUnreachable, attempt.backend, 0, {}};
  if (!not_sent && !request.sharded) {
    request.failed.push_back(attempt.backend);
  }
  Continue(request, SendCause::kAfterConnectFailure, now);
}

void Dispatcher::Impl::OnLost(Request& request, const Attempt& attempt, SetbackKind kind,
                              int status, Time now) {
  request.may_have_run = true;
  request.setback = {kind, attempt.backend, status, {}};
  if (!request.sharded) {
    request.failed.push_back(attempt.backend);
  }
  const bool spares_others = MayCrashAnother(request, now);
  if (!request.repeatable() || spares_others) {
    const StopCause cause = spares_others ? StopCause::kMayCrashAnother : StopCause::kNotRepeatable;
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

void Dispatcher::Impl::OnCallerGone(RequestHandle handle, Time now) {
  Request* request = FindRequest(handle);
  if (request != nullptr) {
    ServiceState& service = *request->service;
    AbandonAttempts(*request, now);
    Forget(*request);
    DispatchWaiting(service, now);
  }
}

}  // namespace ladderstream::forwarding
