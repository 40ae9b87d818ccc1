// Placement: which back end should own which shard.
//
// A policy sees one service at a time and proposes; the authority's leader carries the proposals
// out. No I/O, no thread, no clock. A policy object belongs to one service on one leader and may
// keep state (hysteresis, budgets, forecasts); a new leader starts with a fresh one.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "wire/command.h"
#include "wire/configuration.h"
#include "wire/ownership.h"
#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::placement {

/// A back end as placement sees it.
struct BackendView {
  BackendId id;
  std::string zone;
  uint32_t slots = 1;
  /// Holds a lease now.
  bool live = false;
  bool draining = false;
  /// Since this incarnation was admitted; a young one is cold and gets load gradually.
  Duration age = absl::ZeroDuration();
  /// Failures per second as its home node saw them.
  double failure_rate = 0;
};

/// A shard as placement sees it. Only shards in state kOwned or kFree are shown as movable.
struct ShardView {
  ShardId shard;
  /// Empty when nobody owns it.
  BackendId owner;
  /// Requests per second, smoothed.
  double rate = 0;
  /// False while a move is under way.
  bool movable = true;
};

struct PlacementInput {
  ServiceConfiguration service;
  std::vector<BackendView> backends;
  std::vector<ShardView> shards;
  /// The busiest keys that are not shards of their own (each with its key and the range it lies
  /// in). Their rates are contained in those of their ranges. May be empty.
  std::vector<ShardLoad> hot_keys;
  Time now;
};

struct PlacementPlan {
  /// For free shards: their new owners.
  std::vector<AssignShards::Item> assignments;
  /// Planned moves of owned shards.
  std::vector<RevokeShards::Item> moves;
  /// Hot keys to split out of their ranges, and split keys to give back.
  std::vector<ShardId> splits;
  std::vector<ShardId> merges;
};

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;

  /// Free shards must be assigned at once if any live, undrained back end exists: unavailable time
  /// comes first. Everything else is at the policy's choice.
  virtual PlacementPlan Decide(const PlacementInput& input) = 0;
};

using PlacementPolicyPtr = std::unique_ptr<PlacementPolicy>;

/// The policy that the product runs.
PlacementPolicyPtr MakeDefaultPolicy();

}  // namespace ladderstream::placement
