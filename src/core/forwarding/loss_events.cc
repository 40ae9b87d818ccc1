// What attempts tell about requests that crash back ends, and what follows from it.
//
// Everything that leaves a request without an answer is told to CrashSuspects: a connection that
// ended, a time that is over, a caller that left, an attempt that was given up for another way.
// What it means is decided there, and nothing is left out because a cut path would explain it.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

#include "core/catalog/incarnation_id.h"
#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

constexpr int kFirstCallerError = 400;
/// A back end that was heard so shortly before an attempt ended without an answer is not probed.
constexpr Duration kHeardRecently = absl::Milliseconds(500);
constexpr Duration kTrialRetryAfter = absl::Seconds(1);
constexpr Duration kUnknownRetryAfter = absl::Milliseconds(250);

/// Registrations that lapsed in an outage of the store are back by then.
constexpr Duration kRegistrationsBack = absl::Seconds(3);

bool Leaves(const BackendState& backend) {
  return backend.reported_leaving || backend.registration.Leaves();
}

}  // namespace

std::optional<AnswerDecision> Dispatcher::Impl::JudgeNew(Request& request, Time now) {
  if (!suspects_known_) {
    return MakeAnswer(ResultCode::kConfigurationUnconfirmed, kUnknownRetryAfter,
                      absl::StrCat(request.service->name,
                                   ": the requests that crash back ends are not known yet"));
  }
  if (!request.identity.has_value()) {
    return std::nullopt;
  }
  const quarantine::Judgement judgement = suspects_.Judge(*request.identity, now);
  const bool needs_trial = judgement.needs_trial && settings_.suspects_are_stored;
  if (!judgement.Held(now) && !needs_trial) {
    return std::nullopt;
  }
  if (suspects_.AskForTrial(judgement.request, now)) {
    // The store's grant takes less time than the request may wait for a slot.
    request.is_trial = true;
    request.trial_of = judgement.request;
    return std::nullopt;
  }
  return MakeAnswer(ResultCode::kQuarantined,
                    needs_trial ? kTrialRetryAfter : judgement.held_until - now,
                    absl::StrCat(request.service->name, ": it was at work at ", judgement.crashes,
                                 " back ends as they crashed (", judgement.backends, "), request ",
                                 quarantine::Format(judgement.request)));
}

bool Dispatcher::Impl::IsHeld(const quarantine::RequestIdentity& identity, Time now) const {
  const quarantine::Judgement judgement = suspects_.Judge(identity, now);
  return judgement.Held(now) || (judgement.needs_trial && settings_.suspects_are_stored);
}

bool Dispatcher::Impl::IsHeldOrUnsettled(const quarantine::RequestIdentity& identity,
                                         Time now) const {
  return IsHeld(identity, now) || suspects_.Judge(identity, now).Unsettled();
}

bool Dispatcher::Impl::MayBeSent(const Request& request, const std::string& backend, const Way& way,
                                 Time now) const {
  if (!request.identity.has_value()) {
    return true;
  }
  if (request.is_trial) {
    return !suspects_.IsOpen(backend);
  }
  // A peer that reaches the back ends knows better what the losses mean, and checks them itself.
  const bool peer_decides = way.peer != 0 && !way.prefer_idle;
  return peer_decides ? !IsHeld(*request.identity, now)
                      : !IsHeldOrUnsettled(*request.identity, now);
}

bool Dispatcher::Impl::MayCarryHeld(const CarriedRequest& request, Time now) const {
  return request.is_trial ? !suspects_.IsOpen(request.backend)
                          : !IsHeldOrUnsettled(*request.identity, now);
}

bool Dispatcher::Impl::MayCrashAnother(const Request& request, Time now) const {
  if (!request.identity.has_value()) {
    return false;
  }
  // The request's own losses count before they are settled: by then, a third back end would have
  // crashed.
  const quarantine::Judgement judgement = suspects_.Judge(*request.identity, now);
  return request.is_trial || request.lost_with.size() >= quarantine::kCrashesToStopRetries ||
         judgement.crashes >= quarantine::kCrashesToStopRetries;
}

void Dispatcher::Impl::RecordLostWith(const Attempt& attempt) {
  Request* request = FindRequest(attempt.request);
  if (request == nullptr) {
    return;
  }
  std::vector<BackendStatePtr>& known = request->lost_with;
  if (std::find(known.begin(), known.end(), attempt.backend) == known.end()) {
    known.push_back(attempt.backend);
  }
}

void Dispatcher::Impl::RecordLoss(const Attempt& attempt, Time now) {
  if (!attempt.sent) {
    return;
  }
  RecordLostWith(attempt);
  if (attempt.identity.has_value()) {
    suspects_.OnLost(*attempt.identity, attempt.backend->registration.id, now);
  }
}

void Dispatcher::Impl::RecordUnanswered(const Attempt& attempt, Time now) {
  if (!attempt.sent || !attempt.identity.has_value()) {
    return;
  }
  const bool is_lost =
      RecordSilence({attempt.backend->registration.id, attempt.identity}, attempt.started, now);
  if (is_lost) {
    RecordLostWith(attempt);
  }
}

bool Dispatcher::Impl::RecordSilence(const CarriedRequest& request, Time started, Time now) {
  const BackendStatePtr backend = services_.FindBackend(request.backend);
  if (backend == nullptr) {
    return false;
  }
  const Duration patience = SilencePatience(services_.Service(backend->registration.service));
  // Heard while it was at work on the request, it lived, unless that was a later process under its
  // name already, which its registration will tell.
  const bool was_heard = backend->heard_at >= started + patience;
  if (was_heard || now - started < patience || now - backend->heard_at < kHeardRecently) {
    suspects_.OnGivenUp(*request.identity, request.backend, started, now);
    return false;
  }
  suspects_.OnLost(*request.identity, request.backend, started, now);
  return true;
}

void Dispatcher::Impl::RecordAbandoned(const Request& request, Time now) {
  for (const AttemptHandle handle : request.in_flight) {
    const Attempt& attempt = attempts_.at(handle);
    // One that may not be repeated goes on, and its end will tell.
    if (request.repeatable()) {
      RecordUnanswered(attempt, now);
    }
  }
}

void Dispatcher::Impl::RecordServed(const Request& request, const AttemptAnswer& answer, Time now) {
  // A rejection may come before any of the work that crashes a back end.
  if (request.identity.has_value() && answer.status < kFirstCallerError) {
    suspects_.OnServed(*request.identity, now);
  }
}

void Dispatcher::Impl::RecordConnectFailure(const Attempt& attempt, AttemptFailure failure,
                                            Time now) {
  if (attempt.peer != 0) {
    return;
  }
  if (failure == AttemptFailure::kConnectRefused) {
    suspects_.OnRefused(attempt.backend->registration.id, now);
  } else if (failure == AttemptFailure::kConnectTimeout) {
    suspects_.OnUnanswered(attempt.backend->registration.id, now);
  }
}

void Dispatcher::Impl::OnCarriedLost(const CarriedRequest& request, Time now) {
  if (request.identity.has_value()) {
    suspects_.OnLost(*request.identity, request.backend, now);
  }
}

void Dispatcher::Impl::OnCarriedUnanswered(const CarriedRequest& request, Duration elapsed,
                                           Time now) {
  if (request.identity.has_value()) {
    RecordSilence(request, now - elapsed, now);
  }
}

void Dispatcher::Impl::ApplyRegistrations(const catalog::BackendChanges& changes, Time now) {
  for (const std::string& id : changes.gone) {
    const BackendStatePtr state = services_.FindBackend(id);
    if (state == nullptr || !Leaves(*state)) {
      suspects_.OnRegistrationGone(id, now);
    }
  }
  for (const catalog::Backend& backend : changes.set) {
    suspects_.OnRegistered(backend.id);
  }
  backends_known_since_ = std::min(backends_known_since_, now);
  FindReplaced(changes.set, now);
  FindReplaced(AtAddressesOf(changes.gone), now);
}

std::vector<catalog::Backend> Dispatcher::Impl::AtAddressesOf(
    const std::vector<std::string>& gone) {
  std::set<Endpoint> addresses;
  if (suspects_.HasLosses()) {
    for (const std::string& id : gone) {
      if (const BackendStatePtr state = services_.FindBackend(id)) {
        addresses.insert(state->registration.address);
      }
    }
  }
  std::vector<catalog::Backend> found;
  if (addresses.empty()) {
    return found;
  }
  for (const ServiceState* service : services_.Services()) {
    for (const BackendStatePtr& backend : service->backends) {
      if (addresses.contains(backend->registration.address)) {
        found.push_back(backend->registration);
      }
    }
  }
  return found;
}

void Dispatcher::Impl::RecordAnswerOf(BackendState& backend, Time now) {
  backend.SetHeard(now);
  suspects_.OnAnswered(backend.registration.id, now);
  const bool is_first = std::exchange(backend.answered_at, now) == absl::InfinitePast();
  if (is_first) {
    FindReplaced({backend.registration}, now);
  }
}

bool Dispatcher::Impl::HasTakenAddress(const catalog::Backend& other,
                                       const BackendState& lost) const {
  const BackendStatePtr state = services_.FindBackend(other.id);
  return state != nullptr && state->registered && other.address == lost.registration.address &&
         catalog::InstanceOf(other.id) != catalog::InstanceOf(lost.registration.id) &&
         (!lost.registered || state->answered_at > lost.answered_at);
}

void Dispatcher::Impl::FindReplaced(const std::vector<catalog::Backend>& changed, Time now) {
  if (!suspects_.HasLosses()) {
    return;
  }
  for (const std::string& lost : suspects_.LostBackends(now)) {
    const BackendStatePtr state = services_.FindBackend(lost);
    if (state != nullptr && Leaves(*state)) {
      continue;
    }
    const bool address_taken =
        state != nullptr &&
        std::any_of(changed.begin(), changed.end(),
                    [&](const catalog::Backend& other) { return HasTakenAddress(other, *state); });
    if (address_taken || services_.HasLaterIncarnation(lost)) {
      suspects_.OnReplaced(lost, now);
    }
  }
}

bool Dispatcher::Impl::OnSuspectsReceived(const std::vector<quarantine::SuspectRecord>& records,
                                          Time now) {
  const bool any = suspects_.Merge(records, now);
  // The table of back ends may have come first.
  FindReplaced({}, now);
  return any;
}

std::vector<std::string> Dispatcher::Impl::TakeSuspectProbes(Time now) {
  std::vector<std::string> probes = suspects_.TakeProbes(now);
  const bool all_known = now - backends_known_since_ >= kRegistrationsBack;
  std::erase_if(probes, [&](const std::string& backend) {
    if (services_.FindBackend(backend) != nullptr) {
      return false;
    }
    // Lost before this process started, or long ago: its registration is all that can be asked for.
    if (all_known) {
      suspects_.OnRegistrationGone(backend, now);
      suspects_.OnUnanswered(backend, now);
    }
    return true;
  });
  return probes;
}

}  // namespace ladderstream::forwarding
