// Lets the coordinator tell the others what the metadata store told it, so that most nodes need not
// watch the store while the coordinator's copies are surely fresh.
//
// The coordinator and a few standbys watch; every other node suspends its watches, table by table,
// for as long as the last heartbeat vouches for the copy.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/membership/messages.h"
#include "core/store/table_follower.h"
#include "wire/time.h"

namespace ladderstream::membership {

struct RelaySettings {
  bool enabled = true;
  /// Members that watch besides the coordinator.
  uint32_t standbys = 2;
  /// A copy that was not confirmed for so long does not do instead of an own watch.
  Duration freshness = absl::Milliseconds(1500);
  /// Nor does one without a heartbeat for so long: one that answers a report counts from the
  /// report's send; one that was pushed, whose age is unknown, is heard for less.
  Duration max_heartbeat_age = absl::Milliseconds(700);
  Duration max_pushed_heartbeat_age = absl::Milliseconds(600);
  /// How long the store holds the coordinator's watches.
  Duration coordinator_watch_wait = absl::Seconds(5);
};

class TableRelay {
 public:
  /// The followers outlive the relay.
  TableRelay(const RelaySettings& settings, uint64_t self, store::TableFollower* configuration,
             store::TableFollower* backends);

  /// This node coordinates from now on, or no longer.
  void OnLeading(bool leading);
  /// The store answered a call of this node, other than the followers', that was sent then.
  void OnStoreAnswered(Time sent);
  /// The machine was suspended.
  void OnResumed();
  /// Another call of this node got no answer.
  void OnStoreUnanswered() { store_unresponsive_ = true; }

  /// At the coordinator: whether it holds changes that were not pushed.
  bool HasUpdates() const;
  /// Puts into `heartbeat` what the reporter's copies lack.
  void AddToAnswer(const Report& report, Time now, Heartbeat* heartbeat) const;
  /// Puts into `heartbeat`, which goes to some nodes beside a push, what all were pushed already.
  void AddAsPushed(Time now, Heartbeat* heartbeat) const;
  /// Puts into `heartbeat`, which goes to all nodes, what changed since the last push.
  void AddToPush(Time now, Heartbeat* heartbeat);

  /// Takes the rows that any node's heartbeat carries. True when a copy changed.
  bool TakeRows(const Heartbeat& heartbeat, Time now);
  /// The coordinator's heartbeat, its rows taken: decides who watches. It was made at `made` or
  /// later when it `answers` a report.
  void OnCoordinatorHeartbeat(const Heartbeat& heartbeat, Time made, bool answers, Time now);
  /// At the coordinator: which of the others, by incarnation, are to watch besides it. Spread over
  /// the fleet, and the same as long as they take part.
  std::vector<uint64_t> ChooseStandbys(std::vector<uint64_t> others) const;

 private:
  static constexpr size_t kTables = 2;

  /// Both tables were read once: nothing is said of one alone.
  bool AllKnown() const;
  /// Adds what copies that are whole up to `base` lack; or, when that is not remembered, up to what
  /// the last push brought all to.
  void Add(size_t table, store::RowVersion base, Time now, Heartbeat* heartbeat) const;
  /// Whether this node is to watch besides the coordinator.
  bool IsStandby(const Heartbeat& heartbeat) const;
  /// Whether a copy, the news taken, is as whole as the coordinator's.
  static bool Reaches(const store::TableFollower& follower, const TableUpdate& update);

  RelaySettings settings_;
  uint64_t self_;
  /// In the order of a heartbeat's tables.
  std::array<store::TableFollower*, kTables> followers_;
  Duration own_watch_wait_;
  bool leading_ = false;
  /// A call got no answer, and none has got one since.
  bool store_unresponsive_ = false;
  Time watch_restarted_at_ = absl::InfinitePast();
  /// What the last push brought all copies to.
  std::array<store::RowVersion, kTables> pushed_ = {};
};

}  // namespace ladderstream::membership
