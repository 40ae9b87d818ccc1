#include "node/catalog_tables.h"

#include <absl/strings/str_cat.h>

#include <string>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::node {
namespace {

/// Where a copy's newest rows come from, for logs.
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

void CatalogTables::Take(Time now) {
  TakeConfiguration(now);
  TakeBackends(now);
}

void CatalogTables::TakeConfiguration(Time now) {
  const Time changed_after = configuration_follower_->changed_after();
  if (configuration_follower_->TakeChangedKeys().empty()) {
    return;
  }
  TakeEvacuations(changed_after, now);
  if (!ReadConfiguration()) {
    return;
  }
  beliefs_->OnConfiguration(*configuration_, now - changed_after,
                            SourceOf(*configuration_follower_, now));
  handlers_.on_configuration(configuration_);
  TellBackends(changed_after, now);
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
  } catch (const Error& error) {
    beliefs_->OnConfigurationRejected(absl::StrCat(row->second.version), error.what());
    return false;
  }
  return true;
}

void CatalogTables::TakeEvacuations(Time changed_after, Time now) {
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
  TellBackends(changed_after, now);
}

void CatalogTables::TakeBackends(Time now) {
  const Time changed_after = backend_follower_->changed_after();
  if (backend_follower_->TakeChangedKeys().empty()) {
    return;
  }
  registrations_.clear();
  for (const auto& [id, row] : backend_follower_->rows()) {
    try {
      interfaces::ReadingNotes notes;
      registrations_.push_back(adapter_->DecodeBackend(id, row.value, &notes));
      beliefs_->OnRowNotUnderstood(id, notes);
    } catch (const Error& error) {
      beliefs_->OnRowNotUnderstood(id, {error.what()});
    }
  }
  if (changed_after != absl::InfinitePast()) {
    backend_news_age_ = now - changed_after;
  }
  TellBackends(changed_after, now);
}

void CatalogTables::TellBackends(Time changed_after, Time now) {
  if (!backend_follower_->known()) {
    return;
  }
  backends_ =
      backend_registry_.Complete(registrations_, evacuated_zones_, configuration_.get(), now);
  beliefs_->OnBackends(backends_, backend_follower_->as_of(), now - changed_after,
                       SourceOf(*backend_follower_, now));
  handlers_.on_backends(backends_, {backend_follower_->Troubled(now), changed_after});
}

}  // namespace ladderstream::node
