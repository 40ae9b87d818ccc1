// Keeps a copy of one table of the metadata store current: reads it once, then watches it.
//
// Pure: calls out, replies and time in; no I/O, no thread, no clock. At most one call is
// outstanding. The copy never goes back: no row is replaced by an older one, and no answer as of an
// older moment undoes what a newer one said. While another node keeps the copy current, it can be
// suspended and then makes no call. docs/design/014 describes what it is used for.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
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
  /// How long the store holds a watch when nothing changes.
  Duration watch_wait = absl::Seconds(20);
  /// A watch without an answer this long after `watch_wait` counts as lost; so does one that stays
  /// silent this long after a change is known that it should have told.
  Duration watch_grace = absl::Seconds(1);
  /// A store and a connection in order bring a waiting watch its answer within this after a change:
  /// some 10 ms in order, and what a loop may be behind: a request took 0.85 s through an
  /// overloaded node.
  Duration watch_delivery = absl::Seconds(1);
  Duration read_timeout = absl::Seconds(1);
  /// Pause between an answer that came at once and the next watch, so that changes in quick
  /// succession cost one call.
  Duration batch_pause = absl::Milliseconds(50);
  /// Pause between the first reading and the first watch: by then another node may keep the copy
  /// current.
  Duration first_watch_pause = absl::ZeroDuration();
  Duration shortest_back_off = absl::Milliseconds(100);
  Duration longest_back_off = absl::Seconds(1);
  /// A failure counts as trouble for this long.
  Duration failure_window = absl::Seconds(3);
  /// Removals that are remembered, for copies that lag behind.
  size_t max_removals = 256;
  /// Of the jitter in back-offs.
  uint64_t seed = 0;
};

/// A call to make. `call` comes back with its reply.
struct FollowerCall {
  uint64_t call = 0;
  std::variant<ReadQuery, WatchQuery> query;
  /// The follower stops waiting after this; the connection should then be dropped.
  Duration timeout;
};

struct VersionedValue {
  std::string value;
  RowVersion version = 0;
  /// The row changed to this after then; in the infinite past when nothing tells.
  Time changed_after = absl::InfinitePast();
};

/// Rows by key.
using TableRows = std::map<std::string, VersionedValue>;

/// What leads from any copy that holds every change up to `base` to one up to `version`.
struct TableChanges {
  RowVersion base = 0;
  RowVersion version = 0;
  /// The last change of the table up to `version`, whether its row is among `rows` or not.
  RowVersion newest_change = 0;
  /// Rows changed or removed after `base`.
  std::vector<Row> rows;
  /// Between these versions the table was read anew instead of watched. A row that both appeared
  /// and went there is not told of: a copy as of a version in between may hold it, and takes
  /// nothing.
  RowVersion gap_first = 0;
  RowVersion gap_last = 0;
  /// None of `rows` changed before.
  Time changed_after = absl::InfiniteFuture();

  /// Whether a copy that is whole up to `version` may hold rows that these changes say nothing of.
  bool InGap(RowVersion version) const { return gap_first < version && version < gap_last; }
};

class TableFollower {
 public:
  explicit TableFollower(FollowerSettings settings);
  TableFollower(const TableFollower&) = delete;
  TableFollower& operator=(const TableFollower&) = delete;

  /// The call to make now, if one is due. An outstanding call that is overdue counts as failed; its
  /// late reply is ignored.
  std::optional<FollowerCall> Poll(Time now);
  /// When Poll is due next, if no reply comes before.
  Time NextWake() const;
  void OnReply(uint64_t call, const StoreReply& reply, Time now);

  /// Takes over another node's copy, which held exactly `rows` as of `version` and was confirmed
  /// at `confirmed`. Gives false, and changes nothing, when this copy is as new or newer.
  bool Merge(const std::vector<Row>& rows, RowVersion version, Time confirmed, Time now);
  /// What a copy that is whole up to `base` lacks; empty when this one does not know.
  std::optional<TableChanges> ChangesSince(RowVersion base) const;
  /// Takes over what another node's copy has that this one lacks. Gives false, and changes nothing,
  /// when this copy does not reach up to the changes' base.
  bool Apply(const TableChanges& changes, Time now);
  /// Makes no call before `until`: another node, whose copy was confirmed at `confirmed`, keeps
  /// this one current. A watch on its way stays there. Without effect while the table is unknown.
  void Suspend(Time until, Time confirmed);
  /// Watches again, from as_of().
  void Resume() { suspended_until_ = absl::InfinitePast(); }
  /// The same for a copy that other nodes rely on from now on: without any pause after the first
  /// reading, and with a new watch in place of one that is on its way.
  void ResumeImmediately();
  /// The process has not run for a while: an answer may have waited for it, and says of no change
  /// that it happened just now.
  void OnResumed() { watch_unreliable_ = true; }
  /// Sends a new watch in place of one that is on its way, which may never be answered.
  void RestartWatch();
  bool Suspended(Time now) const { return now < suspended_until_; }
  /// The store answered another call of this node, sent then: what the watch has not told by now
  /// has most likely not happened.
  void OnStoreAnswered(Time sent);
  /// Changes the setting: with many nodes, each may call the store less often.
  void SetBatchPause(Duration pause) { settings_.batch_pause = pause; }
  /// Changes the setting, from the next watch on.
  void SetWatchWait(Duration wait) { settings_.watch_wait = wait; }
  /// Another node knows of a change as of `version`: a watch that misses it is lost.
  void ExpectVersion(RowVersion version, Time now);

  const FollowerSettings& settings() const { return settings_; }
  const TableRows& rows() const { return rows_; }
  /// Whether the table was ever read or merged.
  bool known() const { return known_; }
  /// The copy holds every change up to this version of the store, and may hold newer ones.
  RowVersion as_of() const { return as_of_; }
  /// The last change of this table that the copy holds, not above as_of().
  RowVersion content_version() const;
  /// The table did not change between this version and as_of(), neither by removals.
  RowVersion settled_version() const;
  /// When the copy was last known to be the newest: the send of the last answered call, or the end
  /// of a watch in which nothing changed. In the infinite past when it never was.
  Time last_confirmed() const { return last_confirmed_; }
  /// As last_confirmed(), counting a watch in order as proof while the store answers other calls.
  Time watched_until() const { return std::max(watched_until_, last_confirmed_); }
  /// Whether a call failed within the trouble window.
  bool RecentlyFailed(Time now) const;
  /// Since when the store has not answered: the first of the failures in a row, or the first call
  /// while the table is unknown. Empty while it answers.
  std::optional<Time> UnansweredSince() const;
  /// Why the last failed call failed; for logs.
  const std::string& last_failure() const { return last_failure_detail_; }

  /// The keys whose rows changed, appeared or went since the last call.
  std::vector<std::string> TakeChangedKeys();
  /// None of the changes that TakeChangedKeys gives next happened before this; in the infinite
  /// future when there are none. What a node allows itself for some time after a change counts from
  /// here: it may hear of the change much later.
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
  /// Makes the copy that of a whole reading: newer rows replace, and missing ones go unless they
  /// are newer than `version`.
  void Install(const std::vector<Row>& rows, RowVersion version);
  /// No change that the copy lacks happened before this, as long as `watch` is in order.
  Time CompleteUntil(const std::optional<Outstanding>& watch, Time now) const;
  /// Before a whole reading as of `version` is installed: what it lacks went after as_of(), unless
  /// this is the first reading.
  void RecordGap(RowVersion version);
  void Put(const Row& row, Time changed_after);
  /// Gives the row behind it.
  TableRows::iterator Erase(TableRows::iterator row);
  void ForgetVersion(TableRows::iterator row);
  void Remove(const Row& row, Time changed_after);
  void RecordChange(const std::string& key, Time changed_after);
  void StartReading();
  /// The copy was made newer, and is whole, while it was being read.
  void OvertakeReading();

  FollowerSettings settings_;
  BackOff back_off_;
  TableRows rows_;
  /// `rows_` by version, so that telling a change does not look at all rows.
  std::multimap<RowVersion, TableRows::iterator> by_version_;
  std::set<std::string> changed_keys_;
  Time changed_after_ = absl::InfiniteFuture();
  bool known_ = false;
  RowVersion as_of_ = 0;
  RowVersion newest_change_ = 0;
  Time last_confirmed_ = absl::InfinitePast();
  Time watched_until_ = absl::InfinitePast();
  RemovalLog removals_;
  /// See TableChanges; equal when there is none.
  RowVersion gap_first_ = 0;
  RowVersion gap_last_ = 0;
  /// A change as of this version has happened.
  RowVersion expected_version_ = 0;
  Time suspended_until_ = absl::InfinitePast();

  std::optional<Outstanding> outstanding_;
  uint64_t last_call_ = 0;
  Time next_call_ = absl::InfinitePast();
  /// The first watch is not sent before.
  Time first_watch_due_ = absl::InfinitePast();
  Time first_call_ = absl::InfiniteFuture();

  /// Reading the table anew; the pages so far and the version of the first one.
  bool reading_ = true;
  bool merged_while_reading_ = false;
  std::vector<Row> pages_;
  std::string next_page_key_;
  RowVersion reading_version_ = 0;
  /// Times that history was gone since a watch last succeeded.
  uint32_t history_losses_ = 0;

  /// The last call failed, or history was gone: the watch before may have been deaf for long.
  bool watch_unreliable_ = false;
  std::optional<Time> failing_since_;
  Time last_failure_ = absl::InfinitePast();
  std::string last_failure_detail_;
};

}  // namespace ladderstream::store
