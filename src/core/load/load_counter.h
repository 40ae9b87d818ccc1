// Counts, for the coordinator, what the requests of one sharded service asked for and met.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "core/partition/partitioner.h"
#include "wire/time.h"

namespace ladderstream::load {

/// A back end that turned a request away though it had free slots, and for how long it is left
/// alone.
struct BackendDecline {
  std::string backend;
  Duration backoff;
};

/// What a node saw of one service since it told this last, for the coordinator.
struct ServiceLoad {
  std::string service;
  std::vector<partition::KeyCount> keys;
  std::vector<partition::ServiceTimeSample> samples;
  /// A key whose owner said that it does not own it.
  std::optional<ownership::Key> not_owner_key;
  std::vector<BackendDecline> declined;
};

class LoadCounter {
 public:
  void AddKey(ownership::Key key) { ++keys_[key]; }
  /// `elapsed` of an answer. `includes_wait`: the back end tells no load, so it may have waited in
  /// its queue; otherwise it had not waited.
  void AddServiceTime(const std::string& backend, Duration elapsed, bool includes_wait);
  void SetNotOwnerKey(ownership::Key key) { not_owner_key_ = key; }

  /// Once for each rest, not for each request.
  void AddDeclined(const std::string& backend, Duration backoff) {
    if (declined_.size() < kMaxDeclined) {
      declined_.push_back({backend, backoff});
    }
  }

  bool empty() const {
    return keys_.empty() && samples_.empty() && !not_owner_key_ && declined_.empty();
  }
  /// What was counted since the last Take.
  ServiceLoad Take(const std::string& service);

 private:
  /// Of one report.
  static constexpr size_t kMaxDeclined = 32;

  absl::flat_hash_map<ownership::Key, uint32_t> keys_;
  absl::flat_hash_map<std::string, partition::ServiceTimeSample> samples_;
  std::optional<ownership::Key> not_owner_key_;
  std::vector<BackendDecline> declined_;
};

}  // namespace ladderstream::load
