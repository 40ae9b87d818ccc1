// Decodes the rows of the two followed tables into the current configuration and back ends, and
// reports each change with its maximum age. Single-threaded; makes no network calls.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
  /// Callbacks for changes.
  struct Handlers {
    std::function<void(const ConfigurationPtr&)> on_configuration;
    /// Also called with empty changes, when the configuration of the back ends' services may have
    /// changed.
    std::function<void(const catalog::BackendChanges&, const forwarding::RegistrationUpdate&)>
        on_backends;
  };

  /// All arguments must outlive this object. The followers follow the adapter's configuration and
  /// back-end tables.
  CatalogTables(const interfaces::PlatformAdapter* adapter, observability::BeliefLog* beliefs,
                store::TableFollower* configuration_follower,
                store::TableFollower* backend_follower, Handlers handlers);

  /// Applies the changes of the tables since the last call.
  void ApplyUpdates(Time now);
  /// Logs when the configuration has not been confirmed for long, and when it is again.
  void LogConfigurationAge(Time now);

  /// Null until a configuration is known.
  const ConfigurationPtr& configuration() const { return configuration_; }
  /// All registered back ends, completed from the configuration and the evacuated zones.
  const catalog::BackendSet& backends() const { return backends_; }
  /// Number of registration rows decoded since the start.
  uint64_t decoded_rows() const { return decoded_rows_; }
  /// Maximum age of the last change of registrations when it was received. The first read of the
  /// table sets none.
  Duration backend_update_age() const { return backend_update_age_; }

 private:
  void UpdateConfiguration(Time now);
  /// Returns false if the table holds no newer configuration that can be decoded.
  bool ReadConfiguration();
  void UpdateEvacuations(Time changed_after, Time now);
  void UpdateBackends(Time now);
  void UpdateBackend(const std::string& key, Time now);
  void SetRegistration(const std::string& key, const std::optional<catalog::Backend>& registration,
                       Time now);
  /// Returns whether a row is to be ignored because it names an earlier start than the registration
  /// known under its key: a write that took effect late, or one of another writer. The back end's
  /// next heartbeat replaces it. A row that stays is accepted after kLateRowPatience, since the
  /// clock that told the starts may have been set back.
  bool IsLateRow(const std::string& key, const std::optional<catalog::Backend>& registration,
                 Time now);
  /// Accepts the rows that were ignored for kLateRowPatience.
  void AcceptLateRows(Time now);
  /// Passes a registration on if the configuration names its service. Rows of other services are
  /// ignored until a configuration names these.
  void Complete(const std::string& key, const catalog::Backend& registration, Time now);
  /// Returns the registration in a row, or nullopt if the row was removed or cannot be decoded.
  std::optional<catalog::Backend> DecodeRow(const std::string& key);
  /// Completes all registrations again: a change of the configuration or of the evacuated zones may
  /// affect any back end.
  void CompleteRegistrations(Time now);
  /// Reports the changed back ends. The changes were made after `changed_after`.
  void ReportBackends(Time changed_after, Time now);

  const interfaces::PlatformAdapter* const adapter_;
  observability::BeliefLog* const beliefs_;
  store::TableFollower* const configuration_follower_;
  store::TableFollower* const backend_follower_;
  const Handlers handlers_;

  ConfigurationPtr configuration_;
  catalog::EvacuatedZones evacuated_zones_;
  catalog::BackendRegistry backend_registry_;
  /// Services that the configuration declares or routes to.
  std::set<std::string> named_services_;
  /// When the rows that IsLateRow() ignores were first seen, by key.
  std::map<std::string, Time> late_rows_;
  /// Registrations as decoded, by row key; `backends_` holds them as completed.
  std::map<std::string, catalog::Backend> registrations_;
  catalog::BackendSet backends_;
  uint64_t decoded_rows_ = 0;
  Duration backend_update_age_;
};

}  // namespace ladderstream::node
