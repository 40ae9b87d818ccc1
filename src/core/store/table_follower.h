// Maintains a copy of one metadata store table: reads the table once, then watches it for changes.
//
// A deterministic state machine: the caller passes in replies and the time and performs the calls
// that Poll returns. It does no I/O, starts no thread and reads no clock. At most one call is
// outstanding. The copy is monotonic: no row is replaced by an older one, and a reply at an older
// version never undoes changes of a newer one. While another node keeps the copy current, the
// follower can be suspended and then issues no calls.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/store/back_off.h"
#include "core/store/removal_log.h"
#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::store {

struct FollowerSettings {
  std::string table;
  std::string partition;
  /// How long the store holds a watch open when nothing changes. A connection that has gone silent
  /// cannot be told from a store without changes any sooner than `watch_grace` after that.
  Duration watch_wait = absl::Milliseconds(1500);
  /// A watch fails when it has no reply this long after `watch_wait`, or this long after the
  /// follower learned of a change that the watch should have reported.
  Duration watch_grace = absl::Seconds(1);
  /// Upper bound on the time from a change to the reply of a waiting watch while store and
  /// connection work. Delivery takes some 10 ms; the rest covers a delayed event loop: a request
  /// took 0.85 s through an overloaded node.
  Duration watch_delivery = absl::Seconds(1);
  Duration read_timeout = absl::Seconds(1);
  /// Pause between a watch that reported a change and the next watch, so that changes in quick
  /// succession are batched into one call.
  Duration batch_pause = absl::Milliseconds(50);
  /// Pause between the first read and the first watch. Another node may keep the copy current by
  /// then, which makes the watch unnecessary.
  Duration first_watch_pause = absl::ZeroDuration();
  Duration shortest_back_off = absl::Milliseconds(100);
  Duration longest_back_off = absl::Seconds(1);
  /// How long RecentlyFailed() reports a failure.
  Duration failure_window = absl::Seconds(3);
  /// Removals kept so that ChangesSince() can serve copies that lag behind.
  size_t max_removals = 256;
  /// Seed of the back-off jitter.
  uint64_t seed = 0;
};

/// A call to the store. `call` identifies it and is passed to OnReply with the reply.
struct FollowerCall {
  uint64_t call = 0;
  std::variant<ReadQuery, WatchQuery> query;
  /// The follower abandons the call after this time; the caller should then close the connection.
  Duration timeout;
};

struct VersionedValue {
  std::string value;
  RowVersion version = 0;
  /// The row changed to this value after this time; infinite past when unknown.
  Time changed_after = absl::InfinitePast();
};

/// Rows of the copy by key.
using TableRows = std::map<std::string, VersionedValue>;

/// The changes that bring a copy that is complete up to `base` to `version`.
struct TableChanges {
  RowVersion base = 0;
  RowVersion version = 0;
  /// Version of the table's last change up to `version`, whether or not `rows` contains its row.
  RowVersion newest_change = 0;
  /// Rows that changed or were removed after `base`.
  std::vector<Row> rows;
  /// Between these versions the table was reread instead of watched. A row that was both added and
  /// removed in the gap is missing from `rows`; a copy at a version inside the gap may hold such a
  /// row and must not apply these changes. Equal when there is no gap.
  RowVersion gap_first = 0;
  RowVersion gap_last = 0;
  /// No row in `rows` changed before this time.
  Time changed_after = absl::InfiniteFuture();

  /// Whether a copy that is complete up to `version` may hold rows that these changes omit.
  bool InGap(RowVersion version) const { return gap_first < version && version < gap_last; }
};

class TableFollower {
 public:
  explicit TableFollower(FollowerSettings settings);
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  /// Returns the call to issue now, if one is due. An overdue outstanding call is failed and its
  /// late reply ignored.
  std::optional<FollowerCall> Poll(Time now);
  /// Returns when Poll is due next if no reply arrives earlier.
  Time NextWake() const;
  void OnReply(uint64_t call, const StoreReply& reply, Time now);

  /// Replaces this copy by another node's, which held exactly `rows` at `version` and was confirmed
  /// at `confirmed`. Rows newer than `version` are kept. Returns false and changes nothing when
  /// this copy is as new or newer.
  bool Merge(const std::vector<Row>& rows, RowVersion version, Time confirmed, Time now);
  /// Returns the changes missing from a copy that is complete up to `base`, or nothing when they
  /// are no longer known.
  std::optional<TableChanges> ChangesSince(RowVersion base) const;
  /// Applies changes from another node's copy. Returns false and changes nothing when this copy is
  /// unknown, older than the base of the changes, or inside their gap.
  bool Apply(const TableChanges& changes, Time now);
  /// Issues no calls before `until`, because another node, whose copy was confirmed at `confirmed`,
  /// keeps this copy current. An outstanding watch is not cancelled. Has no effect until the table
  /// is known.
  void Suspend(Time until, Time confirmed);
  /// Ends the suspension; the next watch continues from as_of().
  void Resume() { suspended_until_ = absl::InfinitePast(); }
  /// As Resume(), for a copy that other nodes rely on from now on: skips the pause after the first
  /// read and replaces an outstanding watch.
  void ResumeImmediately();
  /// Records that the process was suspended. A reply may have been waiting since, so it is no
  /// evidence that the changes in it are recent.
  void OnResumed() { watch_unreliable_ = true; }
  /// Replaces an outstanding watch, which may never be answered, by a new one. The copy counts as
  /// current again once that is answered, which the store does at once.
  void RestartWatch();
  bool Suspended(Time now) const { return now < suspended_until_; }
  /// Records that the store answered another call of this node, sent at `sent`. Changes that a
  /// working watch has not reported by then have most likely not happened.
  void OnStoreAnswered(Time sent);
  /// Records that this copy is known to hold every change that the store had made by `when`.
  void Confirm(Time when);
  /// Sets the batch pause, so that each of many nodes can call the store less often.
  void SetBatchPause(Duration pause) { settings_.batch_pause = pause; }
  /// Sets the watch wait. Replaces an outstanding watch that would be waited for longer than one
  /// that is sent now.
  void SetWatchWait(Duration wait, Time now);
  /// Records that another node knows of a change at `version`. An outstanding watch that does not
  /// report it within the watch grace fails.
  void ExpectVersion(RowVersion version, Time now);

  const FollowerSettings& settings() const { return settings_; }
  const TableRows& rows() const { return rows_; }
  /// Whether the table was ever read or merged completely.
  bool known() const { return known_; }
  /// The copy holds every change up to this store version and may hold newer ones.
  RowVersion as_of() const { return as_of_; }
  /// Returns the version of the last change of this table that the copy holds, at most as_of().
  RowVersion content_version() const;
  /// Returns a version since which the table has not changed, removals included, up to as_of().
  RowVersion settled_version() const;
  /// When the copy was last known to be current: the send time of the last answered call, or the
  /// end of a watch in which nothing changed. Infinite past when it never was.
  Time last_confirmed() const { return last_confirmed_; }
  /// As last_confirmed(), but a working watch also counts as confirmation while the store answers
  /// other calls.
  Time watched_until() const { return std::max(watched_until_, last_confirmed_); }
  /// Returns how long the outstanding watch has been waiting; zero when there is none.
  Duration WatchAge(Time now) const;
  /// As WatchAge(), when the newest change arrived from any source: a long wait shows that the
  /// watch should have reported the change before.
  Duration watch_age_at_change() const { return watch_age_at_change_; }
  /// When a call last failed; infinite past when none has.
  Time last_failed() const { return last_failure_; }
  /// Whether a call failed within the failure window.
  bool RecentlyFailed(Time now) const;
  /// Returns since when the store has not answered: the first of the consecutive failures, or the
  /// first call while the table is unknown. Empty while the store answers.
  std::optional<Time> UnansweredSince() const;
  /// The reason of the last failed call, for logs.
  const std::string& last_failure() const { return last_failure_detail_; }

  /// Returns the versions of the changes that reached this copy since the last call; after a full
  /// read, not all of them.
  std::vector<RowVersion> TakeChangedVersions() { return std::exchange(changed_versions_, {}); }
  /// Returns the keys whose rows were added, changed or removed since the last call.
  std::vector<std::string> TakeChangedKeys();
  /// None of the changes that the next TakeChangedKeys returns happened before this time; infinite
  /// future when there are none. Periods that a node counts from a change start here, because the
  /// node may learn of the change much later.
  Time changed_after() const { return changed_after_; }

 private:
  struct Outstanding {
    uint64_t call = 0;
    bool is_watch = false;
    RowVersion after = 0;
    Duration wait;
    Time sent;
    Time answer_by;
  };

  FollowerCall IssueRead(Time now);
  FollowerCall IssueWatch(Time now);
  void OnReadDone(const Outstanding& request, const StoreReply& reply, Time now);
  void OnWatchDone(const Outstanding& request, const StoreReply& reply, Time now);
  void OnHistoryGone(const std::string& detail, Time now);
  void Fail(const std::string& detail, Time now);
  void Succeed(Time confirmed);
  /// Installs the rows of a full read: newer rows replace held ones, and held rows that are missing
  /// are erased unless they are newer than `version`.
  void Install(const std::vector<Row>& rows, RowVersion version);
  /// Returns the time up to which the copy is complete: provided that `watch` works, no change that
  /// the copy lacks happened before it.
  Time CompleteUntil(const std::optional<Outstanding>& watch, Time now) const;
  /// Records the gap between as_of() and a full read at `version` that is about to be installed:
  /// rows missing from it were removed in between. The first read leaves no gap.
  void RecordGap(RowVersion version);
  void Put(const Row& row, Time changed_after);
  /// Erases the row and returns the iterator to the next one.
  TableRows::iterator Erase(TableRows::iterator row);
  void ForgetVersion(TableRows::iterator row);
  void Remove(const Row& row, Time changed_after);
  void RecordChange(const std::string& key, Time changed_after);
  void RecordVersion(RowVersion version);
  void StartReading();
  /// Ends a read that was overtaken: the copy has become newer from another source and is complete.
  void OvertakeReading();

  FollowerSettings settings_;
  BackOff back_off_;
  TableRows rows_;
  /// `rows_` by version, so that ChangesSince() does not scan all rows.
  std::multimap<RowVersion, TableRows::iterator> by_version_;
  std::set<std::string> changed_keys_;
  std::vector<RowVersion> changed_versions_;
  Time changed_after_ = absl::InfiniteFuture();
  Duration watch_age_at_change_;
  bool known_ = false;
  RowVersion as_of_ = 0;
  RowVersion newest_change_ = 0;
  Time last_confirmed_ = absl::InfinitePast();
  Time watched_until_ = absl::InfinitePast();
  RemovalLog removals_;
  /// See TableChanges; equal when there is none.
  RowVersion gap_first_ = 0;
  RowVersion gap_last_ = 0;
  /// The highest version at which a change is known to have happened.
  RowVersion expected_version_ = 0;
  Time suspended_until_ = absl::InfinitePast();

  std::optional<Outstanding> outstanding_;
  uint64_t last_call_ = 0;
  Time next_call_ = absl::InfinitePast();
  /// The first watch is not sent before this time.
  Time first_watch_due_ = absl::InfinitePast();
  Time first_call_ = absl::InfiniteFuture();

  /// Whether a full read is in progress; the pages read so far and the version of the first one.
  bool reading_ = true;
  bool merged_while_reading_ = false;
  std::vector<Row> pages_;
  std::string next_page_key_;
  RowVersion reading_version_ = 0;
  /// Number of kHistoryGone replies since a watch last succeeded.
  uint32_t history_losses_ = 0;

  /// The last call failed, its history was gone or its watch was replaced: the previous watch may
  /// have reported nothing for an unknown time.
  bool watch_unreliable_ = false;
  std::optional<Time> failing_since_;
  Time last_failure_ = absl::InfinitePast();
  std::string last_failure_detail_;
};

}  // namespace ladderstream::store
