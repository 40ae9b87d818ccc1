// What the replicated log holds: every change of ownership, membership and configuration in force.
#pragma once

#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "wire/configuration.h"
#include "wire/identifiers.h"
#include "wire/ownership.h"
#include "wire/variant.h"

namespace ladderstream {

/// Puts a configuration in force. Applying one that is not newer changes nothing.
struct AdoptConfiguration {
  Configuration configuration;
  MSGPACK_DEFINE_ARRAY(configuration);
};

/// Records that a node serves this group's back ends, or that it is gone.
struct AdmitNode {
  NodeDescriptor node;
  MSGPACK_DEFINE_ARRAY(node);
};
struct RemoveNode {
  NodeId node;
  MSGPACK_DEFINE_ARRAY(node);
};

/// Names the node that holds a back end's connections and queue.
struct SetHome {
  BackendId backend;
  NodeId home;
  MSGPACK_DEFINE_ARRAY(backend, home);
};

/// Records a back end's running incarnation. A new incarnation holds none of the earlier one's
/// grants, so its shards become free.
struct AdmitBackend {
  BackendId backend;
  BackendIncarnation incarnation;
  MSGPACK_DEFINE_ARRAY(backend, incarnation);
};

/// Records that every lease of this incarnation has ended: its shards become free.
struct ExpireBackend {
  BackendId backend;
  BackendIncarnation incarnation;
  MSGPACK_DEFINE_ARRAY(backend, incarnation);
};

/// Asks for (or calls off) the draining of a back end: it gets no new shard and gives up its own.
struct SetDraining {
  BackendId backend;
  bool draining = true;
  /// Zero: an operator's wish, which holds until it is called off. Otherwise this incarnation said
  /// that it is leaving, and a later one is not meant.
  BackendIncarnation incarnation = {};
  MSGPACK_DEFINE_ARRAY(backend, draining, incarnation);
};

/// Gives free shards to owners; each grant's token is this entry's place in the log.
struct AssignShards {
  struct Item {
    ShardId shard;
    BackendId owner;
    MSGPACK_DEFINE_ARRAY(shard, owner);
  };
  std::vector<Item> items;
  MSGPACK_DEFINE_ARRAY(items);
};

/// Begins planned moves: the owners are told to stop. An item with an empty `next_owner` leaves the
/// choice to placement.
struct RevokeShards {
  struct Item {
    ShardId shard;
    BackendId next_owner;
    MSGPACK_DEFINE_ARRAY(shard, next_owner);
  };
  std::vector<Item> items;
  MSGPACK_DEFINE_ARRAY(items);
};

/// Records that `backend` has applied the grant set `version`: what was revoked up to it is free.
struct ConfirmRevocation {
  BackendId backend;
  BackendIncarnation incarnation;
  GrantToken version;
  MSGPACK_DEFINE_ARRAY(backend, incarnation, version);
};

/// Splits a key out of its range, as a shard of its own that the range's owner keeps for now.
struct SplitKey {
  ShardId shard;
  MSGPACK_DEFINE_ARRAY(shard);
};

/// Gives a split key back to its range. Applies only when both have the same owner.
struct MergeKey {
  ShardId shard;
  MSGPACK_DEFINE_ARRAY(shard);
};

using Command =
    std::variant<AdoptConfiguration, AdmitNode, RemoveNode, SetHome, AdmitBackend, ExpireBackend,
                 SetDraining, AssignShards, RevokeShards, ConfirmRevocation, SplitKey, MergeKey>;

}  // namespace ladderstream
