// The gates of the back ends whose home is this node.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <vector>

#include "core/routing/route_table.h"
#include "daemon/upstream/backend_gate.h"
#include "wire/identifiers.h"
#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream {

struct GateSettings {
  upstream::ConnectionSettings connection;
  Duration idle_connection_timeout = absl::Seconds(10);
  Duration handover_period = absl::Seconds(5);
};

/// Thread-safe.
class GateRegistry {
 public:
  /// `time` must outlive the object.
  GateRegistry(const GateSettings& settings, const TimeSource& time, NodeId self);

  /// Gives the gate of a back end whose home `table` says is this node; null otherwise.
  upstream::BackendGatePtr Find(const routing::RouteTable& table, const BackendId& id);

  /// Follows the table: new limits, gates of back ends that went to another home. What is in flight
  /// at those is finished.
  void Update(const routing::RouteTable& table);

  /// Gives what passed each gate since the last call, as rates.
  std::vector<BackendLoad> TakeLoads();

 private:
  struct Entry {
    upstream::BackendGatePtr gate;
    Time created;
    /// Set while the home is elsewhere.
    bool handed_over = false;
  };

  bool IsHere(const routing::BackendRoute& backend) const;
  upstream::GateLimits LimitsOf(const routing::RouteTable& table,
                                const routing::BackendRoute& backend, Time created) const;
  upstream::BackendGatePtr Create(const routing::RouteTable& table,
                                  const routing::BackendRoute& backend);

  const GateSettings settings_;
  const TimeSource& time_;
  const NodeId self_;
  upstream::DeadlineWatch deadlines_;
  upstream::CancelSender cancels_;
  absl::Mutex mutex_;
  absl::flat_hash_map<BackendId, Entry> entries_ ABSL_GUARDED_BY(mutex_);
  Time taken_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream
