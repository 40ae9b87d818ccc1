// Distribution of store tables by the coordinator, so that most nodes need not watch the metadata
// store while the coordinator's copies are known to be current.
//
// The coordinator and a few standbys watch the store. Every other node suspends its watches, per
// table, for as long as the last heartbeat confirms its copy.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "core/membership/messages.h"
#include "core/store/table_follower.h"
#include "core/store/version_audit.h"
#include "wire/time.h"

namespace ladderstream::membership {

struct RelaySettings {
  bool enabled = true;
  /// Number of members that watch in addition to the coordinator.
  uint32_t standbys = 2;
  /// A copy that was not confirmed for this long does not replace the node's own watch.
  Duration freshness = absl::Milliseconds(1500);
  /// Nor does a copy whose last heartbeat is older than this. An answer to a report counts from the
  /// send of the report; a pushed heartbeat, whose age is unknown, has a shorter limit.
  Duration max_heartbeat_age = absl::Milliseconds(700);
  Duration max_pushed_heartbeat_age = absl::Milliseconds(600);
  /// How long the store holds watches for which another sign reveals a change that a dead watch
  /// does not report: a standby's while the coordinator's heartbeats arrive, and the coordinator's,
  /// whose transactions tell it the store's version (VersionAudit). Otherwise the node's own,
  /// shorter wait bounds how long a dead watch is trusted.
  Duration long_watch_wait = absl::Seconds(20);
  Duration backend_watch_wait = absl::Seconds(20);
  /// A watch that has not reported a change this long after the store's version showed one is sent
  /// anew.
  Duration report_grace = absl::Milliseconds(300);
};

class TableRelay {
 public:
  /// The followers outlive the relay.
  TableRelay(const RelaySettings& settings, uint64_t self, store::TableFollower* configuration,
             store::TableFollower* backends);

  /// Records whether this node coordinates.
  void OnLeading(bool leading, Time now);
  /// Sets how long the store holds this node's watch of the configuration while no coordinator
  /// confirms its copy, and the shortest time between two watches that are sent anew by the audit.
  void SetOwnWatchWait(Duration wait) { own_watch_wait_ = wait; }
  /// Shortens the waits of a standby that the coordinator's heartbeats no longer reach, and sends
  /// watches anew that have missed a change.
  void OnTick(Time now);
  /// Returns when OnTick is due.
  Time NextWake() const;
  /// Records that the store answered a call of this node, other than the followers'.
  void OnStoreAnswered(const store::StoreAnswer& answer, Time now);
  /// Returns whether watches were sent anew since the last call because they had missed a change.
  bool TakeMissedChange() { return std::exchange(missed_change_, false); }
  /// Records that the machine was suspended.
  void OnResumed();
  /// Records that another call of this node got no answer.
  void OnStoreUnanswered() { store_unresponsive_ = true; }

  /// At the coordinator: whether there are changes that were not pushed.
  bool HasUpdates() const;
  /// Adds to `heartbeat` what the reporter's copies lack.
  void AddToAnswer(const Report& report, Time now, Heartbeat* heartbeat) const;
  /// Adds to `heartbeat`, which is sent to some nodes outside of a push, the updates since the last
  /// push; the pushed versions do not change.
  void AddAsPushed(Time now, Heartbeat* heartbeat) const;
  /// Adds to `heartbeat`, which goes to all nodes, the changes since the last push.
  void AddToPush(Time now, Heartbeat* heartbeat);

  /// Applies the rows in any node's heartbeat. Returns whether a copy changed.
  bool TakeRows(const Heartbeat& heartbeat, Time now);
  /// Decides, after TakeRows, from the coordinator's heartbeat whether this node watches. A
  /// heartbeat that `answers` a report was created at `made` or later.
  void OnCoordinatorHeartbeat(const Heartbeat& heartbeat, Time made, bool answers, Time now);
  /// At the coordinator: returns the incarnations of the members that also watch. The choice is
  /// spread over the fleet and stable while these members take part.
  std::vector<uint64_t> ChooseStandbys(std::vector<uint64_t> others) const;

 private:
  static constexpr size_t kConfigurationTable = 0;
  static constexpr size_t kBackendTable = 1;
  static constexpr size_t kTables = 2;

  /// Updates the audit from what the copies hold.
  void Audit();
  /// At the coordinator: confirms the copies if they hold every change up to the answer's version.
  void ConfirmByVersion(const store::StoreAnswer& answer, Time now);
  void RestartSilentWatches(Time now);
  /// Sends the watch of the back ends anew once the configuration's is answered again after it had
  /// failed: what silenced one may have silenced the other, which is waited for much longer.
  void RestartAfterFailure(Time now);
  /// Whether both tables are known; updates are never sent for one table alone.
  bool AllKnown() const;
  /// Adds what a copy that is complete up to `base` lacks; when those changes are no longer known,
  /// the changes since the last push.
  void Add(size_t table, store::RowVersion base, Time now, Heartbeat* heartbeat) const;
  /// Sets the waits that the role of this node calls for.
  void SetWatchWaits(Time now);
  /// Whether the heartbeat names this node as a standby.
  bool IsStandby(const Heartbeat& heartbeat) const;
  /// Whether a copy that has applied the update is as complete as the coordinator's.
  static bool Reaches(const store::TableFollower& follower, const TableUpdate& update);

  RelaySettings settings_;
  uint64_t self_;
  /// In the order of a heartbeat's tables.
  std::array<store::TableFollower*, kTables> followers_;
  Duration own_watch_wait_;
  bool leading_ = false;
  /// This node is a standby whose copies the coordinator's heartbeats confirm until then.
  Time standby_until_ = absl::InfinitePast();
  /// A call got no answer, and no later call has been answered.
  bool store_unresponsive_ = false;
  Time watch_restarted_at_ = absl::InfinitePast();
  store::VersionAudit audit_;
  /// An answer at a version that the copies and this node's transactions do not explain.
  struct Unexplained {
    store::StoreAnswer answer;
    Time seen;
  };
  std::optional<Unexplained> unexplained_;
  bool missed_change_ = false;
  /// The failure of the configuration's follower that was handled last.
  Time handled_failure_ = absl::InfinitePast();
  /// The versions that the last push brought all copies to.
  std::array<store::RowVersion, kTables> pushed_ = {};
};

}  // namespace ladderstream::membership
