// Where requests go: looked up in constant time, built once for each change of routing.
//
// Immutable after its making, so that any number of threads read it without a lock.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "core/routing/service_state.h"
#include "wire/configuration.h"
#include "wire/ownership.h"

namespace ladderstream::routing {

struct BackendRoute {
  const BackendConfiguration* configuration = nullptr;
  /// The node that holds its connections and queue; null while there is none.
  const NodeDescriptor* home = nullptr;
  bool draining = false;
  BackendStatePtr state;
};

/// Who serves one shard.
struct ShardRoute {
  /// Null unless the shard is owned by a back end that is known.
  const BackendRoute* owner = nullptr;
  GrantToken token;
  /// Whether the shard is a key of its own, split out of its range.
  bool is_split_key = false;
};

struct ServiceRoute {
  const ServiceConfiguration* configuration = nullptr;
  ServiceStatePtr state;
  std::vector<const BackendRoute*> backends;

  /// Gives the route of `key`.
  const ShardRoute& Find(const std::string& key) const;
  /// Gives the shard that holds `key`.
  ShardId ShardOf(const std::string& key) const;
  /// Whether the service declares `key` as its own.
  bool Declares(const std::string& key) const;

 private:
  friend class RouteIndexBuilder;
  std::vector<ShardRoute> ranges_;
  absl::flat_hash_map<std::string, ShardRoute> split_keys_;
};

using RoutingStatePtr = std::shared_ptr<const authority::RoutingState>;

/// All routes of one version of the routing state. Points into that state and keeps it alive.
struct RouteIndex {
  RoutingStatePtr source;
  /// The highest `changed_at` of the assignments.
  GrantToken ownership_version;
  absl::flat_hash_map<ServiceName, ServiceRoute> services;
  /// Node-based, because routes point to the values.
  std::map<BackendId, BackendRoute> backends;
};

class RouteTable {
 public:
  /// The table of a node that knows nothing yet.
  RouteTable();
  /// Takes over the index of `previous` when only the confirmation has changed.
  RouteTable(RoutingStatePtr source, const RouteTable& previous, StateRegistry& states);

  /// Null for an unknown name.
  const ServiceRoute* FindService(const ServiceName& name) const;
  const BackendRoute* FindBackend(const BackendId& id) const;
  const std::map<BackendId, BackendRoute>& backends() const { return index_->backends; }

  /// Whether both tables route alike.
  bool SameRoutesAs(const RouteTable& other) const { return index_ == other.index_; }

  Time confirmed_until() const { return confirmed_until_; }
  const RoutingStatePtr& source() const { return source_; }

 private:
  RoutingStatePtr source_;
  Time confirmed_until_ = absl::InfinitePast();
  std::shared_ptr<const RouteIndex> index_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace ladderstream::routing
