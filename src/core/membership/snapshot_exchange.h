// Transfer of store tables between nodes, for nodes that the metadata store does not answer.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "core/membership/member_table.h"
#include "core/membership/messages.h"
#include "core/membership/sent_reports.h"
#include "core/store/table_follower.h"
#include "wire/time.h"

namespace ladderstream::membership {

struct SnapshotSettings {
  /// Other nodes are asked when the store has not answered for this long.
  Duration unresponsive_timeout = absl::Milliseconds(300);
  /// Pause between requests; grows to the longest while the answers contain nothing new.
  Duration shortest_interval = absl::Milliseconds(250);
  Duration longest_interval = absl::Seconds(1);
  /// After another node reported a newer change, the node's own watch has this long to deliver it.
  Duration hint_delay = absl::Milliseconds(150);
};

/// Versions of the last changes that the copies of a node hold.
struct HeldVersions {
  uint64_t configuration = 0;
  uint64_t backends = 0;
};

class SnapshotExchange {
 public:
  /// The followers outlive the exchange.
  SnapshotExchange(const SnapshotSettings& settings, store::TableFollower* configuration,
                   store::TableFollower* backends, uint64_t seed);

  /// Returns the versions held by this node; 0 for a table that was never read.
  HeldVersions Held() const;
  /// Records that the copies of another node hold these versions.
  void OnVersionsReceived(const Destination& from, const HeldVersions& versions, Time now);
  /// Returns the answer to another node's request.
  Snapshot Answer(const SnapshotRequest& request, Time now) const;
  /// Merges another node's rows. Returns whether a copy changed.
  bool OnSnapshot(const Snapshot& snapshot, Time now);

  struct OutgoingRequest {
    Destination to;
    SnapshotRequest request;
  };
  /// Returns the request to send now, if one is due: to the node that reported newer versions, else
  /// to one of `others` in turn.
  std::optional<OutgoingRequest> Poll(const std::vector<Destination>& others, Time now);
  /// Returns when Poll is due next; infinite future when nothing is missing.
  Time NextWake() const;

 private:
  /// Another node reported that it holds newer versions.
  struct Hint {
    Destination from;
    HeldVersions versions;
    Time received_at;
    uint32_t requests = 0;
  };

  bool HintIsOpen() const;
  /// Returns when the store counts as unresponsive; infinite future while it answers.
  Time StoreUnresponsiveAt() const;
  /// Returns the next request and records it as sent now.
  SnapshotRequest NewRequest(Time now);

  SnapshotSettings settings_;
  store::TableFollower* configuration_;
  store::TableFollower* backends_;
  std::mt19937_64 random_;
  std::optional<Hint> hint_;
  SentReports requests_;
  Time next_request_ = absl::InfinitePast();
  Duration interval_;
  /// Round-robin position among the others; starts at random so that nodes ask different ones.
  uint64_t turn_;
};

}  // namespace ladderstream::membership
