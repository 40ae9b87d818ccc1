// Lets nodes give each other what the metadata store told them, for one that the store turns away.
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
  /// Other nodes are asked when the store has not answered for so long.
  Duration unresponsive_timeout = absl::Milliseconds(300);
  /// Pause between questions; grows up to the longest while the answers bring nothing new.
  Duration shortest_interval = absl::Milliseconds(250);
  Duration longest_interval = absl::Seconds(1);
  /// After hearing that another node knows a newer change, this long is left to the own watch.
  Duration hint_delay = absl::Milliseconds(150);
};

/// Names what the copies of a node hold.
struct HeldVersions {
  uint64_t configuration = 0;
  uint64_t backends = 0;
};

class SnapshotExchange {
 public:
  /// The followers outlive the exchange.
  SnapshotExchange(const SnapshotSettings& settings, store::TableFollower* configuration,
                   store::TableFollower* backends, uint64_t seed);

  /// The last changes that this node's copies hold; 0 for a table never read.
  HeldVersions Held() const;
  /// A node whose copies hold these versions said so.
  void OnVersionsReceived(const Destination& from, const HeldVersions& versions, Time now);
  /// The answer to another node's question.
  Snapshot Answer(const SnapshotRequest& request, Time now) const;
  /// True when a copy changed.
  bool OnSnapshot(const Snapshot& snapshot, Time now);

  struct Question {
    Destination to;
    SnapshotRequest request;
  };
  /// The question to send now, if one is due: to the node that knows more, else to one of `others`
  /// in turn.
  std::optional<Question> Poll(const std::vector<Destination>& others, Time now);
  /// When Poll is due next. Infinite when nothing is missing.
  Time NextWake() const;

 private:
  /// Another node said that it holds something newer.
  struct Hint {
    Destination from;
    HeldVersions versions;
    Time received_at;
    uint32_t questions = 0;
  };

  bool HintIsOpen() const;
  /// When the store counts as turning this node away; infinite while it answers.
  Time StoreUnresponsiveAt() const;
  /// The next question, which counts as sent now.
  SnapshotRequest NewRequest(Time now);

  SnapshotSettings settings_;
  store::TableFollower* configuration_;
  store::TableFollower* backends_;
  std::mt19937_64 random_;
  std::optional<Hint> hint_;
  SentReports questions_;
  Time next_question_ = absl::InfinitePast();
  Duration interval_;
  /// Where the turn among the others stands; starts anywhere so that nodes ask different ones.
  uint64_t turn_;
};

}  // namespace ladderstream::membership
