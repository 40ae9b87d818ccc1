#include "core/forwarding/path_monitor.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>

namespace ladderstream::forwarding {
namespace {

/// Failures that are older are no evidence of a cut.
constexpr Duration kEvidenceWindow = absl::Seconds(1);
constexpr Duration kProbeInterval = absl::Milliseconds(250);
/// Open connections are taken as alive this long after an answer.
constexpr Duration kHeardRecently = absl::Milliseconds(500);
/// A back end that peers did not reach is not tried through them again for this long.
constexpr Duration kUnreachedPause = absl::Milliseconds(400);
constexpr size_t kMinFailed = 2;
constexpr size_t kMaxFailedNeeded = 4;

}  // namespace

PathMonitor::Scope& PathMonitor::ScopeNamed(const std::string& name) {
  std::unique_ptr<Scope>& scope = scopes_[name];
  if (scope == nullptr) {
    scope = std::make_unique<Scope>();
    scope->name = name;
  }
  return *scope;
}

void PathMonitor::SetBackend(const std::string& backend, const std::string& service,
                             const std::string& zone) {
  BackendPath& path = backends_[backend];
  path.service = &ScopeNamed(service);
  path.zone = &ScopeNamed(absl::StrCat(service, " in ", zone));
  path.zone->zone = zone;
  path.service->backends.insert(backend);
  path.zone->backends.insert(backend);
}

void PathMonitor::RemoveBackend(const std::string& backend) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  for (Scope* scope : {found->second.service, found->second.zone}) {
    scope->backends.erase(backend);
    scope->failed.erase(backend);
    if (scope->backends.empty()) {
      scope->cut = false;
      scope->next_probe = absl::InfiniteFuture();
      EndSilence(*scope);
    }
  }
  relayed_.erase(backend);
  backends_.erase(found);
}

size_t PathMonitor::CountNeeded(const Scope& scope, bool is_zone) {
  const size_t count = scope.backends.size();
  const size_t share = is_zone ? (count + 1) / 2 : (count + 2) / 3;
  return std::clamp(share, kMinFailed, kMaxFailedNeeded);
}

bool PathMonitor::HearsOnOpenConnections(const Scope& scope, Time now) {
  return scope.heard_at > scope.failing_since && now - scope.heard_at < kHeardRecently;
}

void PathMonitor::EndSilence(Scope& scope) {
  scope.awaited.clear();
  scope.silence_due = absl::InfiniteFuture();
}

void PathMonitor::OnSent(const std::string& backend, Duration patience, Time now) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  Scope& scope = *found->second.service;
  if (scope.cut) {
    return;
  }
  scope.awaited.insert(backend);
  if (scope.awaited.size() >= kMinFailed) {
    scope.silence_due = std::min(scope.silence_due, now + patience);
  }
}

void PathMonitor::OnAnswered(const std::string& backend, Time now) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  for (Scope* scope : {found->second.service, found->second.zone}) {
    scope->heard_at = now;
    EndSilence(*scope);
  }
}

void PathMonitor::OnConnected(const std::string& backend, Time now) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  BackendPath& path = found->second;
  path.failing = false;
  connected_at_ = now;
  relayed_.erase(backend);
  for (Scope* scope : {path.service, path.zone}) {
    scope->connected_at = now;
    EndSilence(*scope);
    scope->failed.erase(backend);
    if (scope->cut) {
      Restore(*scope, backend);
    }
  }
}

void PathMonitor::Restore(Scope& scope, const std::string& backend) {
  scope.cut = false;
  scope.failed.clear();
  scope.next_probe = absl::InfiniteFuture();
  // The others were cut off for the same reason, and are tried directly again.
  for (const std::string& other : scope.backends) {
    backends_.at(other).failing = false;
    relayed_.erase(other);
  }
  changes_.push_back({scope.name,
                      false,
                      absl::StrCat(backend, " accepted a connection"),
                      {scope.backends.begin(), scope.backends.end()}});
}

void PathMonitor::OnConnectFailed(const std::string& backend, Time now) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  found->second.failing = true;
  RecordFailure(*found->second.zone, /*is_zone=*/true, backend, now);
  RecordFailure(*found->second.service, /*is_zone=*/false, backend, now);
}

void PathMonitor::RecordFailure(Scope& scope, bool is_zone, const std::string& backend, Time now) {
  absl::erase_if(scope.failed,
                 [now](const auto& entry) { return now - entry.second > kEvidenceWindow; });
  if (scope.failed.empty()) {
    scope.failing_since = now;
  }
  scope.failed[backend] = now;
  if (!scope.cut && scope.failed.size() >= CountNeeded(scope, is_zone) &&
      scope.connected_at <= scope.failing_since) {
    Cut(scope, now);
  }
}

void PathMonitor::Cut(Scope& scope, Time now) {
  scope.cut = true;
  scope.probed_at = now;
  EndSilence(scope);
  const bool silent = !HearsOnOpenConnections(scope, now);
  changes_.push_back({scope.name,
                      true,
                      absl::StrCat(scope.failed.size(), " of ", scope.backends.size(),
                                   " back ends accepted no connection, open ones ",
                                   silent ? "are silent" : "still work"),
                      {scope.backends.begin(), scope.backends.end()},
                      silent});
}

void PathMonitor::OnRelayed(const std::string& backend, bool reached, Time now) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  BackendPath& path = found->second;
  (reached ? path.reached_by_peer_at : path.unreached_by_peer_at) = now;
  if (reached && path.failing && relayed_.insert(backend).second) {
    path.probed_at = now;
  }
}

void PathMonitor::OnWanted(const std::string& backend, Time now) {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return;
  }
  BackendPath& path = found->second;
  const auto schedule = [now](Time probed_at, Time* next_probe) {
    *next_probe = std::min(*next_probe, std::max(now, probed_at + kProbeInterval));
  };
  for (Scope* scope : {path.service, path.zone}) {
    if (scope->cut) {
      schedule(scope->probed_at, &scope->next_probe);
    }
  }
  if (relayed_.contains(backend)) {
    schedule(path.probed_at, &path.next_probe);
  }
}

Path PathMonitor::PathTo(const std::string& backend, bool has_substitute, Time now) const {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return Path::kDirect;
  }
  const BackendPath& path = found->second;
  for (const Scope* scope : {path.zone, path.service}) {
    if (scope->cut) {
      return HearsOnOpenConnections(*scope, now) ? Path::kIdleOrPeer : Path::kPeer;
    }
  }
  if (!path.failing) {
    return Path::kDirect;
  }
  if (relayed_.contains(backend)) {
    return Path::kIdleOrPeer;
  }
  const bool may_try = !has_substitute && now - path.unreached_by_peer_at >= kUnreachedPause;
  return may_try ? Path::kPeer : Path::kDirect;
}

bool PathMonitor::IsCut(const std::string& backend) const {
  const auto found = backends_.find(backend);
  return found != backends_.end() && (found->second.zone->cut || found->second.service->cut);
}

void PathMonitor::AddProbes(Scope& scope, size_t count, absl::btree_set<std::string>* probes) {
  auto next = scope.backends.upper_bound(scope.last_probed);
  for (size_t i = 0; i < std::min(count, scope.backends.size()); ++i) {
    if (next == scope.backends.end()) {
      next = scope.backends.begin();
    }
    scope.last_probed = *next;
    probes->insert(*next);
    ++next;
  }
}

std::vector<std::string> PathMonitor::TakeProbes(Time now) {
  absl::btree_set<std::string> probes;
  for (auto& [name, scope] : scopes_) {
    if (now >= scope->next_probe) {
      scope->next_probe = absl::InfiniteFuture();
      scope->probed_at = now;
      AddProbes(*scope, 1, &probes);
    }
    if (now >= scope->silence_due) {
      const auto first = scope->awaited.begin();
      const size_t count = std::min(scope->awaited.size(), kMaxFailedNeeded);
      probes.insert(first, std::next(first, static_cast<std::ptrdiff_t>(count)));
      EndSilence(*scope);
    }
  }
  for (const std::string& backend : relayed_) {
    BackendPath& path = backends_.at(backend);
    if (now >= path.next_probe) {
      path.next_probe = absl::InfiniteFuture();
      path.probed_at = now;
      probes.insert(backend);
    }
  }
  return {probes.begin(), probes.end()};
}

Time PathMonitor::NextWake() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [name, scope] : scopes_) {
    next = std::min({next, scope->next_probe, scope->silence_due});
  }
  for (const std::string& backend : relayed_) {
    next = std::min(next, backends_.at(backend).next_probe);
  }
  return next;
}

std::vector<PathMonitor::Scope*> PathMonitor::OthersInZone(const Scope& zone) const {
  std::vector<Scope*> others;
  for (const auto& [name, scope] : scopes_) {
    if (scope.get() != &zone && scope->zone == zone.zone && !scope->backends.empty()) {
      others.push_back(scope.get());
    }
  }
  std::sort(others.begin(), others.end(),
            [](const Scope* one, const Scope* other) { return one->name < other->name; });
  return others;
}

bool PathMonitor::HasControls(const std::string& backend) const {
  const auto found = backends_.find(backend);
  return found == backends_.end()
             ? !backends_.empty()
             : HasOthers(*found->second.service) || !OthersInZone(*found->second.zone).empty();
}

bool PathMonitor::ReachesAround(const std::string& backend, Time since) const {
  const auto found = backends_.find(backend);
  if (found == backends_.end()) {
    return connected_at_ > since;
  }
  const BackendPath& path = found->second;
  if (path.zone->connected_at > since) {
    return true;
  }
  // Without a back end of the service in the zone, one of the service and one in the zone together.
  const std::vector<Scope*> others = OthersInZone(*path.zone);
  const bool zone_reached = std::any_of(others.begin(), others.end(), [since](const Scope* scope) {
    return scope->connected_at > since;
  });
  const bool service_reached = path.service->connected_at > since;
  return (service_reached || !HasOthers(*path.service)) && (zone_reached || others.empty()) &&
         (service_reached || zone_reached);
}

bool PathMonitor::ReachesAny(const std::string& /*backend*/, Time since) const {
  return connected_at_ > since;
}

std::vector<std::string> PathMonitor::TakeControls(const std::string& backend) {
  const auto found = backends_.find(backend);
  std::vector<Scope*> scopes;
  if (found != backends_.end()) {
    scopes = OthersInZone(*found->second.zone);
    scopes.resize(std::min<size_t>(scopes.size(), 1));
    scopes.push_back(found->second.zone);
    scopes.push_back(found->second.service);
  } else if (!scopes_.empty()) {
    scopes.push_back(scopes_.begin()->second.get());
  }
  std::vector<std::string> controls;
  for (Scope* scope : scopes) {
    auto next = scope->backends.upper_bound(scope->last_control);
    next = next == scope->backends.end() ? scope->backends.begin() : next;
    if (next != scope->backends.end()) {
      scope->last_control = *next;
      controls.push_back(*next);
    }
  }
  return controls;
}

size_t PathMonitor::CountCutScopes() const {
  return static_cast<size_t>(std::count_if(scopes_.begin(), scopes_.end(),
                                           [](const auto& entry) { return entry.second->cut; }));
}

}  // namespace ladderstream::forwarding
