// Counts the requests of one sharded service and their results for the report to the coordinator.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "core/partition/partitioner.h"
#include "wire/time.h"

namespace ladderstream::load {

/// A back end that rejected a request although it had free slots, and how long this node sends it
/// nothing.
struct BackendDecline {
  std::string backend;
  Duration backoff;
};

/// What a node observed of one service since its previous report to the coordinator.
struct ServiceLoad {
  std::string service;
  std::vector<partition::KeyCount> keys;
  std::vector<partition::ServiceTimeSample> samples;
  /// A key that its assigned owner rejected because it does not own it.
  std::optional<ownership::Key> not_owner_key;
  std::vector<BackendDecline> declined;
};

class LoadCounter {
 public:
  void AddKey(ownership::Key key) { ++keys_[key]; }
  /// Adds the elapsed time of one answer. `includes_wait` is true for a back end that does not
  /// report its load: its time may include queueing. Otherwise the request did not queue.
  void AddServiceTime(const std::string& backend, Duration elapsed, bool includes_wait);
  void SetNotOwnerKey(ownership::Key key) { not_owner_key_ = key; }

  /// Call once per back-off period, not once per request.
  void AddDeclined(const std::string& backend, Duration backoff) {
    if (declined_.size() < kMaxDeclined) {
      declined_.push_back({backend, backoff});
    }
  }

  bool empty() const {
    return keys_.empty() && samples_.empty() && !not_owner_key_ && declined_.empty();
  }
  /// Returns the counts since the previous call and resets them.
  ServiceLoad Take(const std::string& service);

 private:
  /// Maximum number of entries in one report.
  static constexpr size_t kMaxDeclined = 32;

  absl::flat_hash_map<ownership::Key, uint32_t> keys_;
  absl::flat_hash_map<std::string, partition::ServiceTimeSample> samples_;
  std::optional<ownership::Key> not_owner_key_;
  std::vector<BackendDecline> declined_;
};

}  // namespace ladderstream::load
