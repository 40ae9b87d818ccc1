#include "node/catalog_tables.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::node {
namespace {

/// A crashed back end's row expires within three heartbeats, which take 4 s on known platforms, and
/// a running one has replaced a late row by then.
constexpr Duration kLateRowPatience = absl::Seconds(5);

/// Returns the services that a configuration declares or routes to.
std::set<std::string> NamedServices(const catalog::Configuration& configuration) {
  std::set<std::string> names;
  for (const auto& [name, service] : configuration.services) {
    names.insert(name);
  }
  for (const catalog::Route& route : configuration.routes) {
    for (const catalog::RouteTarget& target : route.targets) {
      names.insert(target.service);
    }
  }
  return names;
}

/// Returns the source of a copy's newest rows, for logs.
const char* SourceOf(const store::TableFollower& follower, Time now) {
  return follower.Suspended(now) ? "coordinator" : "store";
}

}  // namespace

CatalogTables::CatalogTables(const interfaces::PlatformAdapter* adapter,
                             observability::BeliefLog* beliefs,
                             store::TableFollower* configuration_follower,
                             store::TableFollower* backend_follower, Handlers handlers)
    : adapter_(adapter),
      beliefs_(beliefs),
      configuration_follower_(configuration_follower),
      backend_follower_(backend_follower),
      handlers_(std::move(handlers)) {}

void CatalogTables::ApplyUpdates(Time now) {
  UpdateConfiguration(now);
  UpdateBackends(now);
}

void CatalogTables::UpdateConfiguration(Time now) {
  const Time changed_after = configuration_follower_->changed_after();
  if (configuration_follower_->TakeChangedKeys().empty()) {
    return;
  }
  UpdateEvacuations(changed_after, now);
  if (!ReadConfiguration()) {
    return;
  }
  beliefs_->OnConfiguration(*configuration_,
                            {now - changed_after, configuration_follower_->watch_age_at_change(),
                             SourceOf(*configuration_follower_, now)});
  handlers_.on_configuration(configuration_);
  CompleteRegistrations(now);
  ReportBackends(changed_after, now);
}

void CatalogTables::LogConfigurationAge(Time now) {
  beliefs_->OnConfigurationAge({now - configuration_follower_->watched_until(),
                                configuration_follower_->WatchAge(now),
                                SourceOf(*configuration_follower_, now)});
}

bool CatalogTables::ReadConfiguration() {
  const auto row = configuration_follower_->rows().find(std::string(adapter_->configuration_key()));
  if (row == configuration_follower_->rows().end()) {
    return false;
  }
  try {
    auto configuration = std::make_shared<const catalog::Configuration>(
        adapter_->DecodeConfiguration(row->second.value));
    if (configuration_ && configuration->version <= configuration_->version) {
      return false;
    }
    configuration_ = std::move(configuration);
    named_services_ = NamedServices(*configuration_);
  } catch (const Error& error) {
    beliefs_->OnConfigurationRejected(absl::StrCat(row->second.version), error.what());
    return false;
  }
  return true;
}

void CatalogTables::UpdateEvacuations(Time changed_after, Time now) {
  catalog::EvacuatedZones zones;
  for (const auto& [key, row] : configuration_follower_->rows()) {
    if (auto zone = adapter_->EvacuatedZoneOf(key)) {
      zones.insert(std::move(*zone));
    }
  }
  if (zones == evacuated_zones_) {
    return;
  }
  evacuated_zones_ = std::move(zones);
  beliefs_->OnEvacuations(evacuated_zones_, configuration_follower_->as_of(),
                          SourceOf(*configuration_follower_, now));
  CompleteRegistrations(now);
  ReportBackends(changed_after, now);
}

void CatalogTables::UpdateBackends(Time now) {
  AcceptLateRows(now);
  const Time changed_after = backend_follower_->changed_after();
  const std::vector<std::string> changed = backend_follower_->TakeChangedKeys();
  if (changed.empty()) {
    return;
  }
  for (const std::string& key : changed) {
    UpdateBackend(key, now);
  }
  if (changed_after != absl::InfinitePast()) {
    backend_update_age_ = now - changed_after;
  }
  ReportBackends(changed_after, now);
}

void CatalogTables::UpdateBackend(const std::string& key, Time now) {
  const std::optional<catalog::Backend> registration = DecodeRow(key);
  if (!IsLateRow(key, registration, now)) {
    late_rows_.erase(key);
    SetRegistration(key, registration, now);
  }
}

bool CatalogTables::IsLateRow(const std::string& key,
                              const std::optional<catalog::Backend>& registration, Time now) {
  const auto known = registrations_.find(key);
  if (!registration || known == registrations_.end() ||
      registration->started_at_ms >= known->second.started_at_ms) {
    return false;
  }
  if (late_rows_.try_emplace(key, now).second) {
    beliefs_->OnRowNotUnderstood(
        key, {absl::StrCat("a start of at least ", known->second.started_at_ms,
                           " ms wanted, as registered before; found ", registration->started_at_ms,
                           "; ignored for ", absl::FormatDuration(kLateRowPatience))});
  }
  return true;
}

void CatalogTables::AcceptLateRows(Time now) {
  std::vector<std::string> due;
  for (const auto& [key, since] : late_rows_) {
    if (now - since >= kLateRowPatience) {
      due.push_back(key);
    }
  }
  for (const std::string& key : due) {
    late_rows_.erase(key);
    SetRegistration(key, DecodeRow(key), now);
  }
  if (!due.empty()) {
    ReportBackends(now - kLateRowPatience, now);
  }
}

void CatalogTables::Complete(const std::string& key, const catalog::Backend& registration,
                             Time now) {
  if (configuration_ == nullptr || named_services_.contains(registration.service)) {
    backends_.Set(
        backend_registry_.Complete(registration, evacuated_zones_, configuration_.get(), now));
    return;
  }
  beliefs_->OnRowNotUnderstood(key, {absl::StrCat("a service of the configuration wanted, found ",
                                                  registration.service, "; ignored")});
  backends_.Remove(registration.id);
}

void CatalogTables::SetRegistration(const std::string& key,
                                    const std::optional<catalog::Backend>& registration, Time now) {
  const auto previous = registrations_.find(key);
  const std::string previous_id = previous == registrations_.end() ? "" : previous->second.id;
  if (registration) {
    registrations_[key] = *registration;
    Complete(key, *registration, now);
  } else {
    registrations_.erase(key);
  }
  // The row may hold another incarnation now.
  if (!previous_id.empty() && (!registration || registration->id != previous_id)) {
    backend_registry_.Forget(previous_id);
    backends_.Remove(previous_id);
  }
}

std::optional<catalog::Backend> CatalogTables::DecodeRow(const std::string& key) {
  const auto row = backend_follower_->rows().find(key);
  if (row == backend_follower_->rows().end()) {
    return std::nullopt;
  }
  ++decoded_rows_;
  try {
    interfaces::ReadingNotes notes;
    catalog::Backend backend = adapter_->DecodeBackend(key, row->second.value, &notes);
    beliefs_->OnRowNotUnderstood(key, notes);
    return backend;
  } catch (const Error& error) {
    beliefs_->OnRowNotUnderstood(key, {error.what()});
    return std::nullopt;
  }
}

void CatalogTables::CompleteRegistrations(Time now) {
  for (const auto& [key, registration] : registrations_) {
    Complete(key, registration, now);
  }
}

void CatalogTables::ReportBackends(Time changed_after, Time now) {
  if (!backend_follower_->known()) {
    return;
  }
  const catalog::BackendChanges changes = backends_.TakeChanges();
  beliefs_->OnBackends(changes, backend_follower_->as_of(), now - changed_after,
                       SourceOf(*backend_follower_, now));
  handlers_.on_backends(changes, {backend_follower_->RecentlyFailed(now), changed_after});
}

}  // namespace ladderstream::node
