// The settings of ladderstreamd, read from a checked TOML file and from overrides.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "settings/setting_fault.h"
#include "settings/settings_source.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::settings {

/// Bounds that a node enforces on its callers, whatever the service.
struct DataPathLimits {
  /// Connections from callers and back ends that are open at once.
  uint32_t max_connections = 2048;
  uint32_t max_header_bytes = 16 * 1024;
  /// How long a caller may take to send a whole request.
  Duration body_timeout = absl::Seconds(5);
  /// An idle kept-alive connection is closed after this.
  Duration idle_timeout = absl::Seconds(60);
  /// The longest deadline that a caller may ask for.
  Duration max_deadline = absl::Seconds(60);
};

/// How a node uses the platform's table service.
struct TableServiceSettings {
  Endpoint endpoint;
  Duration timeout = absl::Milliseconds(500);
  /// The node's own bound on its transactions, below the platform's limit.
  double max_requests_per_second = 20;
};

struct DaemonSettings {
  std::string name;
  std::string region;
  std::string zone;
  /// Where other nodes reach this one (internal protocol).
  Endpoint peer;
  /// Where this node listens for them; differs from `peer` behind a forwarder.
  Endpoint peer_listen;
  /// Where callers and back ends reach this one.
  Endpoint http;
  /// Where operators reach this one (gRPC).
  Endpoint operators;
  /// Where Prometheus reads this one's metrics.
  Endpoint metrics;
  TableServiceSettings table_service;
  std::optional<Endpoint> object_store;
  std::optional<Endpoint> machine_list;
  Duration machine_list_interval = absl::Seconds(2);
  /// Where to look for other nodes at first: only `peer` is filled in, the id is zero.
  std::vector<NodeDescriptor> seeds;
  /// `self` is filled in except for its id, and `seed` is the default: the process draws both.
  authority::AuthoritySettings authority;
  DataPathLimits data_path;
  /// How long a planned stop waits for requests in flight and for the hand-over.
  Duration stop_timeout = absl::Seconds(20);
  /// Lowest severity written to the log: "debug", "info", "warning" or "error".
  std::string log_level = "info";
};

/// Reads and checks the settings. An empty `path` reads no file. Throws SettingsError with every
/// fault.
DaemonSettings LoadDaemonSettings(const std::string& path,
                                  const std::vector<SettingOverride>& overrides);

}  // namespace ladderstream::settings
