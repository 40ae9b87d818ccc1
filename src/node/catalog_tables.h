// Reads the two tables that are followed into the configuration and the back ends in force, and
// tells of each change with how old it may be. One thread; makes no call.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/catalog/backend_registry.h"
#include "core/catalog/backend_set.h"
#include "core/catalog/catalog.h"
#include "core/forwarding/dispatcher.h"
#include "core/store/table_follower.h"
#include "interfaces/platform_adapter.h"
#include "observability/belief_log.h"
#include "wire/time.h"

namespace ladderstream::node {

using ConfigurationPtr = std::shared_ptr<const catalog::Configuration>;

class CatalogTables {
 public:
  /// Who hears of changes.
  struct Handlers {
    std::function<void(const ConfigurationPtr&)> on_configuration;
    /// Also called with no changes, when what the configuration says of their services may have.
    std::function<void(const catalog::BackendChanges&, const forwarding::RegistrationUpdate&)>
        on_backends;
  };

  /// Everything handed in outlives this; the followers are of the adapter's two tables.
  CatalogTables(const interfaces::PlatformAdapter* adapter, observability::BeliefLog* beliefs,
                store::TableFollower* configuration_follower,
                store::TableFollower* backend_follower, Handlers handlers);

  /// Takes what changed in the tables since the last call.
  void ApplyUpdates(Time now);

  /// Null before any is known.
  const ConfigurationPtr& configuration() const { return configuration_; }
  /// Every registered back end, with what the configuration and evacuations say of it.
  const catalog::BackendSet& backends() const { return backends_; }
  /// Registrations decoded since the start.
  uint64_t decoded_rows() const { return decoded_rows_; }
  /// How old the last change of registrations may have been when it was heard; the first reading
  /// tells none.
  Duration backend_update_age() const { return backend_update_age_; }

 private:
  void UpdateConfiguration(Time now);
  /// Gives false when no newer configuration could be read.
  bool ReadConfiguration();
  void UpdateEvacuations(Time changed_after, Time now);
  void UpdateBackends(Time now);
  void UpdateBackend(const std::string& key, Time now);
  /// The registration of a row; none when the row is gone or cannot be read.
  std::optional<catalog::Backend> DecodeRow(const std::string& key);
  /// The configuration or evacuations changed, which may concern any back end.
  void CompleteRegistrations(Time now);
  /// Tells what changed among the back ends; it changed after `changed_after`.
  void ReportBackends(Time changed_after, Time now);

  const interfaces::PlatformAdapter* const adapter_;
  observability::BeliefLog* const beliefs_;
  store::TableFollower* const configuration_follower_;
  store::TableFollower* const backend_follower_;
  const Handlers handlers_;

  ConfigurationPtr configuration_;
  catalog::EvacuatedZones evacuated_zones_;
  catalog::BackendRegistry backend_registry_;
  /// As decoded from the registrations, by the keys of their rows, and as completed.
  std::map<std::string, catalog::Backend> registrations_;
  catalog::BackendSet backends_;
  uint64_t decoded_rows_ = 0;
  Duration backend_update_age_;
};

}  // namespace ladderstream::node
