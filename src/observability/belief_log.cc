#include "observability/belief_log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace ladderstream::observability {
namespace {

struct MapSize {
  size_t ranges = 0;
  size_t moving = 0;
};

MapSize SizeOf(const ownership::OwnershipMap& map) {
  MapSize size;
  for (const auto& [service, ownership] : map.services) {
    size.ranges += ownership.assignments.size();
    size.moving += ownership.moving.size();
  }
  return size;
}

/// The services that a route may go to, joined by commas.
std::string ServicesOf(const catalog::Route& route) {
  std::string services;
  for (const catalog::RouteTarget& target : route.targets) {
    absl::StrAppend(&services, services.empty() ? "" : ",", target.service);
  }
  return services;
}

/// Longer than a copy that is kept current stays without a confirmation.
constexpr Duration kUnconfirmedAfter = absl::Seconds(3);

/// Registrations that change together share lines when they are more than this many: with 901 back
/// ends and 295 nodes, a line each is most of a day's log.
constexpr size_t kMostTellSingly = 3;
/// As many back ends are named in a line, so that it stays within the longest value, and so many
/// lines are written.
constexpr size_t kNamedInLine = 16;
constexpr size_t kMostSharedLines = 4;

/// Whether the event is one of a back end's registration, which many back ends may have at once.
bool IsOfRegistration(std::string_view event) {
  return event == "registered" || event == "draining" || event == "gone" || event == "evacuated" ||
         event == "returned" || event == "cold" || event == "ended";
}

/// The part of `backends` that begins at `first`, for one line.
std::string ListFrom(const std::vector<std::string>& backends, size_t first) {
  std::string text = absl::StrCat(backends.size(), " back ends:");
  const size_t end = std::min(backends.size(), first + kNamedInLine);
  for (size_t i = first; i < end; ++i) {
    absl::StrAppend(&text, " ", backends[i]);
  }
  return text;
}

/// Since `past`; infinite if it never was.
Duration Since(Time past, Time now) { return now - past; }

}  // namespace

void BeliefLog::OnConfiguration(const catalog::Configuration& configuration,
                                const CopyState& copy) {
  in_force_.configuration_version = configuration.version;
  std::vector<std::string> names;
  RouteServices services;
  for (const catalog::Route& route : configuration.routes) {
    names.push_back(route.name);
    services[route.name] = ServicesOf(route);
  }
  metrics_->SetRoutes(names);
  in_force_.routes = std::make_shared<const RouteServices>(std::move(services));
  log_->Write(
      EventName::kConfigurationApplied,
      {EventField(FieldName::kConfiguration, configuration.version),
       EventField(FieldName::kRoutes, configuration.routes.size()),
       EventField(FieldName::kServices, configuration.services.size()),
       EventField(FieldName::kAgeMs, copy.age), EventField(FieldName::kWatchMs, copy.watch_age),
       EventField(FieldName::kCause, copy.source)});
}

void BeliefLog::OnConfigurationAge(const CopyState& copy) {
  const bool unconfirmed = copy.age > kUnconfirmedAfter;
  if (in_force_.configuration_version == 0 || unconfirmed == configuration_unconfirmed_) {
    return;
  }
  configuration_unconfirmed_ = unconfirmed;
  std::vector<EventField> fields = {
      EventField(FieldName::kConfiguration, in_force_.configuration_version),
      EventField(FieldName::kAgeMs, copy.age), EventField(FieldName::kCause, copy.source)};
  if (unconfirmed) {
    fields.emplace_back(FieldName::kWatchMs, copy.watch_age);
  }
  log_->Write(
      unconfirmed ? EventName::kConfigurationUnconfirmed : EventName::kConfigurationConfirmed,
      fields);
}

void BeliefLog::OnConfigurationRejected(std::string_view version, std::string_view reason) {
  log_->Write(EventName::kConfigurationRejected,
              {EventField(FieldName::kConfiguration, in_force_.configuration_version),
               EventField(FieldName::kVersion, version), EventField(FieldName::kReason, reason)});
}

void BeliefLog::OnMap(const ownership::OwnershipMap& map, Duration age, std::string_view source) {
  in_force_.map = map.version;
  const MapSize size = SizeOf(map);
  log_->Write(
      EventName::kMapApplied,
      {EventField(FieldName::kMap, MapInForce()),
       EventField(FieldName::kServices, map.services.size()),
       EventField(FieldName::kRanges, size.ranges), EventField(FieldName::kMoving, size.moving),
       EventField(FieldName::kAgeMs, age), EventField(FieldName::kCause, source)});
}

void BeliefLog::OnEvacuations(const catalog::EvacuatedZones& zones, uint64_t store_version,
                              std::string_view source) {
  const std::string names = zones.empty() ? "none" : absl::StrJoin(zones, ",");
  log_->Write(
      EventName::kEvacuationsChanged,
      {EventField(FieldName::kDetail, names), EventField(FieldName::kCount, zones.size()),
       EventField(FieldName::kVersion, store_version), EventField(FieldName::kCause, source)});
}

void BeliefLog::OnRowNotUnderstood(std::string_view row, const std::vector<std::string>& notes) {
  for (const std::string& note : notes) {
    not_understood_.Note("backend_row", row, note);
  }
}

void BeliefLog::OnAnswerNotUnderstood(const Endpoint& from, std::string_view fault) {
  not_understood_.Note("call_answer", FormatEndpoint(from), fault);
}

void BeliefLog::OnBackends(const catalog::BackendChanges& changes, uint64_t store_version,
                           Duration age, std::string_view source) {
  bool differs = false;
  for (const catalog::Backend& backend : changes.set) {
    const KnownBackend fresh = {backend.service, backend.draining};
    KnownBackend& known = backends_[backend.id];
    differs = differs || known != fresh;
    draining_ += static_cast<int64_t>(fresh.draining) - static_cast<int64_t>(known.draining);
    known = fresh;
  }
  for (const std::string& id : changes.gone) {
    const auto known = backends_.find(id);
    if (known != backends_.end()) {
      differs = true;
      draining_ -= static_cast<int64_t>(known->second.draining);
      backends_.erase(known);
    }
  }
  if (!differs) {
    return;
  }
  log_->Write(
      EventName::kBackendsChanged,
      {EventField(FieldName::kReady, static_cast<int64_t>(backends_.size()) - draining_),
       EventField(FieldName::kDraining, draining_), EventField(FieldName::kVersion, store_version),
       EventField(FieldName::kAgeMs, age), EventField(FieldName::kCause, source)});
}

void BeliefLog::OnBackendBeliefs(const std::vector<forwarding::BackendStateChange>& beliefs) {
  std::map<std::string, std::vector<std::string>> together;
  for (const forwarding::BackendStateChange& belief : beliefs) {
    if (IsOfRegistration(belief.event)) {
      together[belief.event].push_back(belief.backend);
    }
  }
  std::erase_if(together, [](const auto& group) { return group.second.size() <= kMostTellSingly; });
  for (const auto& [event, backends] : together) {
    for (size_t i = 0; i < backends.size(); ++i) {
      metrics_->CountBelief(event);
    }
    const size_t end = std::min(backends.size(), kNamedInLine * kMostSharedLines);
    for (size_t first = 0; first < end; first += kNamedInLine) {
      log_->Write(EventName::kBackendBelief,
                  {EventField(FieldName::kBelief, event),
                   EventField(FieldName::kDetail, ListFrom(backends, first))});
    }
  }
  for (const forwarding::BackendStateChange& belief : beliefs) {
    if (!together.contains(belief.event)) {
      OnBackendBelief(belief);
    }
  }
}

void BeliefLog::OnBackendBelief(const forwarding::BackendStateChange& belief) {
  metrics_->CountBelief(belief.event);
  const auto known = backends_.find(belief.backend);
  log_->Write(
      EventName::kBackendBelief,
      {EventField(FieldName::kBackend, belief.backend),
       EventField(FieldName::kService, known == backends_.end() ? "" : known->second.service),
       EventField(FieldName::kBelief, belief.event),
       EventField(FieldName::kDetail, belief.detail)});
}

void BeliefLog::OnCoordinatorBelief(const ownership::StateChangeAction& belief) {
  metrics_->CountBelief(belief.event);
  log_->Write(EventName::kCoordinatorBelief, {EventField(FieldName::kBelief, belief.event),
                                              EventField(FieldName::kDetail, belief.detail),
                                              EventField(FieldName::kMap, MapInForce())});
}

void BeliefLog::OnStoreReached(uint64_t store_version, Time now) {
  if (std::exchange(store_lost_, false)) {
    log_->Write(EventName::kStoreRegained,
                {EventField(FieldName::kVersion, store_version),
                 EventField(FieldName::kAgeMs, Since(store_lost_since_, now))});
  }
  store_reached_ = now;
}

void BeliefLog::OnWatchesRestarted(uint64_t configuration_version, uint64_t backends_version) {
  log_->Write(EventName::kWatchesRestarted,
              {EventField(FieldName::kDetail,
                          absl::StrCat("configuration complete up to ", configuration_version,
                                       ", back ends up to ", backends_version))});
}

void BeliefLog::OnStoreMissed(std::string_view reason, Time now) {
  if (std::exchange(store_lost_, true)) {
    return;
  }
  store_lost_since_ = now;
  log_->Write(EventName::kStoreLost, {EventField(FieldName::kReason, reason),
                                      EventField(FieldName::kAgeMs, Since(store_reached_, now))});
}

void BeliefLog::OnStoreCalls(const std::map<std::string, uint64_t>& calls) {
  if (calls == store_calls_) {
    return;
  }
  store_calls_ = calls;
  std::string detail;
  for (const auto& [kind, count] : calls) {
    absl::StrAppend(&detail, detail.empty() ? "" : " ", kind, " ", count);
  }
  log_->Write(EventName::kStoreCalls, {EventField(FieldName::kDetail, detail)});
}

void BeliefLog::OnPeerLost(std::string_view name, const Endpoint& address, std::string_view zone,
                           std::string_view reason, Duration silence) {
  log_->Write(
      EventName::kPeerLost,
      {EventField(FieldName::kPeer, name), EventField(FieldName::kAddress, FormatEndpoint(address)),
       EventField(FieldName::kZone, zone), EventField(FieldName::kReason, reason),
       EventField(FieldName::kAgeMs, silence)});
}

void BeliefLog::OnPeerRegained(std::string_view name, const Endpoint& address,
                               std::string_view zone, Duration silence) {
  log_->Write(
      EventName::kPeerRegained,
      {EventField(FieldName::kPeer, name), EventField(FieldName::kAddress, FormatEndpoint(address)),
       EventField(FieldName::kZone, zone), EventField(FieldName::kAgeMs, silence)});
}

void BeliefLog::OnStarted(std::string_view program_version, const Endpoint& callers,
                          std::string_view zone) {
  log_->Write(EventName::kNodeStarted, {EventField(FieldName::kVersion, program_version),
                                        EventField(FieldName::kAddress, FormatEndpoint(callers)),
                                        EventField(FieldName::kZone, zone)});
}

void BeliefLog::OnReady(bool ready, std::string_view reason) {
  if (std::exchange(ready_, ready) == ready) {
    return;
  }
  log_->Write(ready ? EventName::kNodeReady : EventName::kNodeNotReady,
              {EventField(FieldName::kConfiguration, in_force_.configuration_version),
               EventField(FieldName::kMap, MapInForce()), EventField(FieldName::kReason, reason)});
}

void BeliefLog::OnStopping(std::string_view cause, uint64_t running) {
  log_->Write(EventName::kNodeStopping,
              {EventField(FieldName::kCause, cause), EventField(FieldName::kRunning, running)});
}

void BeliefLog::OnStopped(std::string_view cause, uint64_t running, Duration elapsed) {
  log_->Write(EventName::kNodeStopped,
              {EventField(FieldName::kCause, cause), EventField(FieldName::kRunning, running),
               EventField(FieldName::kElapsedMs, elapsed)});
}

void BeliefLog::OnResumed(Duration suspended) {
  log_->Write(EventName::kNodeResumed, {EventField(FieldName::kElapsedMs, suspended)});
}

void BeliefLog::OnSettingsReloaded(std::string_view cause, std::string_view detail) {
  log_->Write(EventName::kSettingsReloaded,
              {EventField(FieldName::kCause, cause), EventField(FieldName::kDetail, detail)});
}

void BeliefLog::OnSettingsRejected(std::string_view cause, std::string_view reason) {
  log_->Write(EventName::kSettingsRejected,
              {EventField(FieldName::kCause, cause), EventField(FieldName::kReason, reason)});
}

}  // namespace ladderstream::observability
