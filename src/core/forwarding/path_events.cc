// What attempts tell about the paths to back ends, and what follows from it.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/forwarding/dispatcher_impl.h"

namespace ladderstream::forwarding {
namespace {

/// Peers that are asked for one request.
constexpr size_t kMaxDeclinedPeers = 4;

bool IsConnectFailure(AttemptFailure failure) {
  return failure == AttemptFailure::kConnectRefused || failure == AttemptFailure::kConnectTimeout;
}

/// Whether a peer reported that it did not send the request.
bool NeverLeftPeer(AttemptFailure failure) {
  return IsConnectFailure(failure) || failure == AttemptFailure::kNotSent ||
         failure == AttemptFailure::kPeerUnavailable || failure == AttemptFailure::kPeerHasNoPath;
}

}  // namespace

std::optional<Dispatcher::Impl::Way> Dispatcher::Impl::ChooseWay(const Request& request,
                                                                 const BackendState& backend,
                                                                 Time now) {
  const std::string& id = backend.registration.id;
  const Path path = paths_.PathTo(id, /*has_substitute=*/!request.sharded, now);
  if (path == Path::kDirect || !relay_peers_.HasPeers()) {
    return Way{};
  }
  paths_.OnWanted(id, now);
  uint64_t peer = 0;
  if (request.declined_peers.size() < kMaxDeclinedPeers) {
    peer = relay_peers_.Choose(request.service->name, backend.registration.zone,
                               request.declined_peers, now);
  }
  if (peer == 0 && path == Path::kPeer && paths_.IsCut(id)) {
    return std::nullopt;
  }
  return Way{peer, path == Path::kIdleOrPeer};
}

void Dispatcher::Impl::ReleasePeer(Attempt& attempt) {
  if (attempt.peer != 0) {
    relay_peers_.OnEnded(attempt.peer);
  }
}

void Dispatcher::Impl::OnSentDirectly(AttemptHandle handle) {
  const auto found = attempts_.find(handle);
  if (found != attempts_.end()) {
    ReleasePeer(found->second);
    found->second.peer = 0;
  }
}

void Dispatcher::Impl::OnConnected(AttemptHandle handle, Time now) {
  const auto found = attempts_.find(handle);
  if (found != attempts_.end()) {
    OnPathEvent(found->second.backend->registration.id, PathEvent::kConnected, now);
  }
}

void Dispatcher::Impl::OnPathEvent(const std::string& backend, PathEvent event, Time now) {
  const BackendStatePtr state = services_.FindBackend(backend);
  if (state != nullptr && (event == PathEvent::kConnected || event == PathEvent::kAnswered)) {
    state->SetHeard(now);
  }
  switch (event) {
    case PathEvent::kConnected:
      paths_.OnConnected(backend, now);
      suspects_.OnConnected(backend, now);
      break;
    case PathEvent::kConnectFailed:
      paths_.OnConnectFailed(backend, now);
      suspects_.OnUnanswered(backend, now);
      break;
    case PathEvent::kRefused:
      paths_.OnConnectFailed(backend, now);
      suspects_.OnRefused(backend, now);
      break;
    case PathEvent::kAnswered:
      paths_.OnAnswered(backend, now);
      suspects_.OnAnswered(backend, now);
      break;
  }
  ApplyPathChanges(now);
}

CarryPermission Dispatcher::Impl::MayCarry(const CarriedRequest& request, Time now) const {
  const BackendStatePtr state = services_.FindBackend(request.backend);
  const bool limited = !request.permitted && rates_.IsLimited(request.backend);
  if (state == nullptr || stopping_ || limited || !state->UsableAsOwner(now) ||
      state->InBackoff(now)) {
    return CarryPermission::kDeclined;
  }
  if (request.identity.has_value() && !MayCarryHeld(request, now)) {
    return CarryPermission::kHeld;
  }
  const Path path = paths_.PathTo(request.backend, /*has_substitute=*/true, now);
  return path == Path::kDirect ? CarryPermission::kGranted : CarryPermission::kNoPath;
}

void Dispatcher::Impl::UpdatePathFromFailure(const Attempt& attempt, AttemptFailure failure,
                                             Time now) {
  const std::string& id = attempt.backend->registration.id;
  if (attempt.peer == 0) {
    if (IsConnectFailure(failure)) {
      paths_.OnConnectFailed(id, now);
    }
    return;
  }
  Request* request = FindRequest(attempt.request);
  if (request != nullptr && NeverLeftPeer(failure)) {
    request->declined_peers.push_back(attempt.peer);
  }
  switch (failure) {
    case AttemptFailure::kConnectRefused:
    case AttemptFailure::kConnectTimeout:
      paths_.OnRelayed(id, /*reached=*/false, now);
      break;
    case AttemptFailure::kPeerHasNoPath:
      relay_peers_.OnNoPath(attempt.peer, attempt.service->name, now);
      break;
    case AttemptFailure::kPeerUnavailable:
    case AttemptFailure::kPeerLost:
      relay_peers_.OnUnavailable(attempt.peer, now);
      break;
    case AttemptFailure::kNotSent:
    case AttemptFailure::kLost:
    case AttemptFailure::kTimedOut:
      break;
  }
}

bool Dispatcher::Impl::IsPathFailure(const Attempt& attempt, AttemptFailure failure,
                                     Time now) const {
  if (!relay_peers_.HasPeers()) {
    // A single node has no other way to find out.
    return false;
  }
  switch (failure) {
    case AttemptFailure::kPeerUnavailable:
    case AttemptFailure::kPeerHasNoPath:
    case AttemptFailure::kPeerLost:
      return true;
    case AttemptFailure::kTimedOut:
      // A peer that fell silent looks the same.
      return attempt.peer != 0 || paths_.IsCut(attempt.backend->registration.id);
    case AttemptFailure::kConnectRefused:
    case AttemptFailure::kConnectTimeout:
      return attempt.peer == 0 &&
             (paths_.IsCut(attempt.backend->registration.id) || MayReachThroughPeer(attempt, now));
    case AttemptFailure::kLost:
      return attempt.peer == 0 && paths_.IsCut(attempt.backend->registration.id);
    case AttemptFailure::kNotSent:
      return false;
  }
  return false;
}

bool Dispatcher::Impl::MayReachThroughPeer(const Attempt& attempt, Time now) const {
  const bool is_owner = attempt.fence != 0;
  return is_owner && relay_peers_.HasPeers() &&
         paths_.PathTo(attempt.backend->registration.id, /*has_substitute=*/false, now) !=
             Path::kDirect;
}

void Dispatcher::Impl::ApplyPathChanges(Time now) {
  const std::vector<PathChange> changes = paths_.TakeChanges();
  for (const PathChange& change : changes) {
    services_.AddPathChange(change.scope, change.cut ? "path_cut" : "path_restored", change.detail);
    for (const std::string& backend : change.backends) {
      if (change.cut) {
        suspects_.OnPathCut(backend, now);
      } else {
        suspects_.OnPathRestored(backend, now);
      }
    }
    if (change.cut && relay_peers_.HasPeers()) {
      OnPathCut(change, now);
    }
  }
  if (!changes.empty()) {
    for (ServiceState* service : services_.Services()) {
      DispatchWaiting(*service, now);
    }
  }
}

void Dispatcher::Impl::OnPathCut(const PathChange& change, Time now) {
  for (const std::string& id : change.backends) {
    const BackendStatePtr backend = services_.FindBackend(id);
    if (backend != nullptr) {
      // The failures that led here are the path's.
      backend->outlier.Reset();
      backend->owner_limit = admission::OwnerLimit();
    }
  }
  RerouteAttempts(change, now);
}

bool Dispatcher::Impl::MaySendAgain(const Request& request, Time now) {
  return request.repeatable() && request.in_flight.size() == 1 &&
         request.counted_attempts < request.route->max_attempts &&
         request.service->budget.Allows(retry_limits_, 1, now);
}

void Dispatcher::Impl::RerouteAttempts(const PathChange& change, Time now) {
  std::vector<AttemptHandle> stuck;
  for (const auto& [handle, attempt] : attempts_) {
    const Request* request = FindRequest(attempt.request);
    if (request == nullptr || attempt.peer != 0 ||
        !std::binary_search(change.backends.begin(), change.backends.end(),
                            attempt.backend->registration.id)) {
      continue;
    }
    if (!attempt.sent || (change.silent && MaySendAgain(*request, now))) {
      stuck.push_back(handle);
    }
  }
  std::sort(stuck.begin(), stuck.end());
  for (const AttemptHandle handle : stuck) {
    if (!attempts_.contains(handle)) {
      continue;
    }
    const Attempt attempt = EndAttempt(handle);
    Request& request = *FindRequest(attempt.request);
    Emit(request, CancelDecision{handle});
    if (attempt.sent) {
      RecordLoss(attempt, now);
      OnLost(request, attempt, FailureKind::kLost, 0, now);
    } else {
      OnNeverSent(request, attempt, AttemptFailure::kNotSent, now);
    }
  }
}

}  // namespace ladderstream::forwarding
