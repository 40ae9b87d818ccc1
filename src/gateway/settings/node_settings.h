// The settings of ladderstream_node, read from a checked TOML file and from overrides.
//
// examples/ladderstream_node.toml shows every setting with its default; docs/DEPLOYING.md explains
// them. A setting that is not known is a fault, and all faults are told at once.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/forwarding/dispatcher.h"
#include "core/membership/membership.h"
#include "core/ownership/coordinator.h"
#include "settings/setting_fault.h"
#include "settings/settings_source.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

/// Where a node listens. All addresses differ.
struct ListenAddresses {
  Endpoint callers;
  Endpoint readiness;
  /// Other nodes.
  Endpoint peers;
  /// What this node tells other nodes as its own address, when something stands between that passes
  /// connections on; `peers` when empty.
  std::optional<Endpoint> peers_advertised;
  /// Not offered when empty.
  std::optional<Endpoint> metrics;

  /// Where other nodes reach this one.
  const Endpoint& own_peer_address() const {
    return peers_advertised.has_value() ? *peers_advertised : peers;
  }
};

/// What the machine leaves to the process.
struct MachineLimits {
  /// Share of one core.
  double cpu_share = 1;
  uint32_t memory_mb = 256;
  /// A part of the memory, in bytes.
  size_t MemoryShare(double share) const {
    return static_cast<size_t>(share * static_cast<double>(size_t{memory_mb} << 20U));
  }
  /// Open files, sockets included.
  uint32_t descriptors = 1024;
  /// Of its own link, megabits a second.
  double link_mbps = 1000;
};

/// The metadata store and what it takes. Rates are of all nodes together.
struct StoreSettings {
  Endpoint address;
  double writes_per_second = 100;
  double reads_per_second = 500;
  /// Transactions of one partition.
  double partition_writes_per_second = 100;
  /// How long one transaction takes there.
  Duration transaction_time = absl::Milliseconds(5);
  /// The longest value of a row.
  uint32_t row_bytes = 65536;
};

/// What the platform asks of a node, and what a node may count on.
struct PlatformBounds {
  /// No new work goes to a draining back end later than this.
  Duration drain_time = absl::Seconds(2);
  /// Nothing goes to the back ends of an evacuated zone later than this.
  Duration evacuation_time = absl::Seconds(5);
  /// In any second, a cold back end may get its service's cold rate times the overshoot, plus the
  /// slack, in requests from all nodes.
  double cold_overshoot = 1;
  double cold_slack = 0;
  /// A changed configuration is in force no later than this.
  Duration configuration_time = absl::Seconds(2);
  /// The process is killed this long after it was asked to stop.
  Duration stop_grace = absl::Seconds(6);
  /// The longest hold that a back end accepts.
  Duration maximum_hold = absl::Seconds(10);
  /// Attempts beyond the first of each request, of all nodes within the window: at most this
  /// share of the requests, plus the slack.
  double retry_budget_ratio = 0.2;
  double retry_budget_slack = 60;
  Duration retry_budget_window = absl::Seconds(10);
};

struct NodeSettings {
  std::string name;
  std::string zone;
  std::string region;
  /// IP address that connections to back ends and to the store are made from; chosen by the system
  /// when empty.
  std::string source_host;
  /// "debug", "info", "warning" or "error".
  std::string log_level = "info";
  ListenAddresses listen;
  MachineLimits limits;
  StoreSettings store;
  PlatformBounds bounds;
  /// `seed`, of jitter, is left at 0.
  membership::MembershipSettings membership;
  /// Unless set, times that have to fit into a hold shrink with `bounds.maximum_hold`.
  ownership::CoordinatorSettings ownership;
  /// Every setting as written, by full name; tells what a reload changed.
  std::map<std::string, std::string> written;
  /// `zone`, the budget and `drain_serving`, `evacuation_serving` and the cold bounds follow from
  /// the settings above; `node_count` is left at 1.
  forwarding::DispatcherSettings forwarding;
  /// A request that is held since back ends crashed is let go when this is set or changed.
  std::optional<quarantine::Fingerprint> released_request;
};

/// Reads and checks the settings. An empty `path` reads no file. Throws settings::SettingsError
/// with every fault.
NodeSettings LoadNodeSettings(const std::string& path,
                              const std::vector<settings::SettingOverride>& overrides);

}  // namespace ladderstream::gateway
