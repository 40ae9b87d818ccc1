#include "core/store/table_follower.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::store {
namespace {

/// Rows kept of one read before it fails as endless.
constexpr size_t kMaxRowsRead = 100'000;
/// Changed versions kept for the next TakeChangedVersions().
constexpr size_t kMaxChangedVersions = 1024;

const char* NameOfStatus(StoreStatus status) {
  switch (status) {
    case StoreStatus::kDone:
      return "done";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kHistoryGone:
      return "history gone";
    case StoreStatus::kInvalid:
      return "invalid";
    case StoreStatus::kUnknown:
      return "no answer";
  }
  return "unknown status";
}

}  // namespace

TableFollower::TableFollower(FollowerSettings settings)
    : settings_(std::move(settings)),
      back_off_(settings_.shortest_back_off, settings_.longest_back_off, settings_.seed),
      removals_(settings_.max_removals) {}

std::optional<FollowerCall> TableFollower::Poll(Time now) {
  if (outstanding_.has_value() && now >= outstanding_->answer_by) {
    outstanding_.reset();
    Fail("timed out waiting for a reply", now);
  }
  if (outstanding_.has_value() || now < std::max(next_call_, first_watch_due_) || Suspended(now)) {
    return std::nullopt;
  }
  first_call_ = std::min(first_call_, now);
  return reading_ ? IssueRead(now) : IssueWatch(now);
}

Time TableFollower::NextWake() const {
  return outstanding_.has_value() ? outstanding_->answer_by
                                  : std::max({next_call_, first_watch_due_, suspended_until_});
}

FollowerCall TableFollower::IssueRead(Time now) {
  if (next_page_key_.empty()) {
    merged_while_reading_ = false;
  }
  FollowerCall call{
      ++last_call_,
      ReadQuery{settings_.table, settings_.partition, next_page_key_},
      settings_.read_timeout,
  };
  outstanding_ = Outstanding{call.call, false, 0, {}, now, now + call.timeout};
  return call;
}

FollowerCall TableFollower::IssueWatch(Time now) {
  // The reply shows that the connection works before the copy is relied on again.
  const Duration wait = watch_unreliable_ ? absl::ZeroDuration() : settings_.watch_wait;
  FollowerCall call{++last_call_, WatchQuery{settings_.table, as_of_, wait},
                    wait + settings_.watch_grace};
  outstanding_ = Outstanding{call.call, true, as_of_, wait, now, now + call.timeout};
  return call;
}

void TableFollower::OnReply(uint64_t call, const StoreReply& reply, Time now) {
  if (!outstanding_.has_value() || outstanding_->call != call) {
    return;
  }
  const Outstanding request = *outstanding_;
  outstanding_.reset();
  if (reply.status == StoreStatus::kDone) {
    if (request.is_watch) {
      OnWatchDone(request, reply, now);
    } else {
      OnReadDone(request, reply, now);
    }
    return;
  }
  if (reply.status == StoreStatus::kHistoryGone && request.is_watch) {
    OnHistoryGone(reply.detail, now);
    return;
  }
  Fail(absl::StrCat(NameOfStatus(reply.status), " ", reply.detail), now);
}

void TableFollower::OnReadDone(const Outstanding& request, const StoreReply& reply, Time now) {
  if (reply.version < std::max(as_of_, reading_version_)) {
    const bool overtaken_by_merge = merged_while_reading_;
    StartReading();
    if (overtaken_by_merge) {
      // The merged copy is complete and newer than this read: continue from it.
      reading_ = false;
      Succeed(last_confirmed_);
      return;
    }
    Fail("read returned a version older than the copy", now);
    return;
  }
  if (reply.more && (reply.rows.empty() || pages_.size() > kMaxRowsRead)) {
    StartReading();
    Fail(reply.rows.empty() ? "read returned an empty page with more to follow"
                            : "read exceeds the row limit",
         now);
    return;
  }
  if (next_page_key_.empty()) {
    reading_version_ = reply.version;
  }
  pages_.insert(pages_.end(), reply.rows.begin(), reply.rows.end());
  if (reply.more) {
    next_page_key_ = reply.rows.back().key.key + '\0';
    Succeed(last_confirmed_);
    next_call_ = now;
    return;
  }
  const std::vector<Row> rows = std::move(pages_);
  const RowVersion version = reading_version_;
  StartReading();
  reading_ = false;
  if (!known_) {
    first_watch_due_ = now + settings_.first_watch_pause;
  }
  watch_age_at_change_ = absl::ZeroDuration();
  // Pages are read at different versions; only the first page's version holds for all of them.
  if (version >= as_of_) {
    Install(rows, version);
  }
  Succeed(request.sent);
  next_call_ = now;
}

void TableFollower::OnWatchDone(const Outstanding& request, const StoreReply& reply, Time now) {
  if (reply.version < request.after) {
    Fail(absl::StrCat("watch returned version ", reply.version, ", expected at least ",
                      request.after),
         now);
    return;
  }
  history_losses_ = 0;
  // Another node's copy may have overtaken this watch; rows in its reply may have been removed
  // since.
  const RowVersion held = request.after < as_of_ ? as_of_ : 0;
  const Time changed_after = CompleteUntil(request, now);
  watch_age_at_change_ = reply.rows.empty() ? watch_age_at_change_ : now - request.sent;
  for (const Row& row : reply.rows) {
    if (row.key.partition != settings_.partition || row.version <= held) {
      continue;
    }
    if (row.removed) {
      Remove(row, changed_after);
    } else {
      Put(row, changed_after);
    }
  }
  as_of_ = std::max(as_of_, reply.version);
  const Time wait_end = request.sent + request.wait;
  const bool waited = reply.rows.empty() && now >= wait_end;
  Succeed(waited ? wait_end : request.sent);
  next_call_ = waited ? now : now + settings_.batch_pause;
}

void TableFollower::OnHistoryGone(const std::string& detail, Time now) {
  StartReading();
  watch_unreliable_ = true;
  ++history_losses_;
  next_call_ = now;
  if (history_losses_ > 1) {
    // Rereading did not help: back off instead of rereading in a tight loop.
    Fail(absl::StrCat("history gone again after a reread: ", detail), now);
  }
}

void TableFollower::StartReading() {
  reading_ = true;
  pages_.clear();
  next_page_key_.clear();
  reading_version_ = 0;
}

void TableFollower::Fail(const std::string& detail, Time now) {
  watch_unreliable_ = true;
  last_failure_ = now;
  last_failure_detail_ = detail;
  if (!failing_since_.has_value() && !Suspended(now)) {
    failing_since_ = now;
  }
  next_call_ = now + back_off_.Next();
}

void TableFollower::Succeed(Time confirmed) {
  watch_unreliable_ = false;
  failing_since_.reset();
  back_off_.Reset();
  last_confirmed_ = std::max(last_confirmed_, confirmed);
}

void TableFollower::Suspend(Time until, Time confirmed) {
  if (!known_) {
    return;
  }
  suspended_until_ = std::max(suspended_until_, until);
  last_confirmed_ = std::max(last_confirmed_, confirmed);
  failing_since_.reset();
}

void TableFollower::ResumeImmediately() {
  Resume();
  settings_.first_watch_pause = absl::ZeroDuration();
  first_watch_due_ = absl::InfinitePast();
  // A watch sent while the store was unresponsive may never be answered: a configuration change
  // once reached all of 87 nodes 14.6 s late, where 2.5 s are allowed.
  RestartWatch();
}

void TableFollower::RestartWatch() {
  if (outstanding_.has_value() && outstanding_->is_watch) {
    outstanding_.reset();
    watch_unreliable_ = true;
    next_call_ = absl::InfinitePast();
  }
}

void TableFollower::SetWatchWait(Duration wait, Time now) {
  settings_.watch_wait = wait;
  if (outstanding_.has_value() && outstanding_->answer_by > now + wait + settings_.watch_grace) {
    RestartWatch();
  }
}

void TableFollower::OnStoreAnswered(Time sent) {
  if (!known_ || reading_ || watch_unreliable_ || sent < suspended_until_ ||
      expected_version_ > as_of_) {
    return;
  }
  const bool watching =
      outstanding_.has_value() && outstanding_->is_watch && outstanding_->sent < sent;
  if (watching || !failing_since_.has_value()) {
    watched_until_ = std::max(watched_until_, sent);
  }
}

void TableFollower::ExpectVersion(RowVersion version, Time now) {
  expected_version_ = std::max(expected_version_, version);
  if (outstanding_.has_value() && outstanding_->is_watch && outstanding_->after < version) {
    outstanding_->answer_by = std::min(outstanding_->answer_by, now + settings_.watch_grace);
  }
}

void TableFollower::RecordGap(RowVersion version) {
  if (!known_) {
    removals_.Restart(version);
    return;
  }
  if (version > as_of_) {
    // Only one gap is kept: copies older than the end of the previous gap must watch the
    // store themselves.
    removals_.ForgetUpTo(gap_last_);
    gap_first_ = as_of_;
    gap_last_ = version;
  }
}

void TableFollower::Install(const std::vector<Row>& rows, RowVersion version) {
  RecordGap(version);
  // A full read follows a failed watch, so watched_until() does not count as confirmation here.
  const Time changed_after = last_confirmed_;
  std::set<std::string> present;
  for (const Row& row : rows) {
    if (row.key.partition != settings_.partition || row.removed) {
      continue;
    }
    present.insert(row.key.key);
    Put(row, changed_after);
  }
  for (auto held = rows_.begin(); held != rows_.end();) {
    if (held->second.version > version || present.contains(held->first)) {
      ++held;
      continue;
    }
    RecordChange(held->first, changed_after);
    // The exact version of the removal is unknown; it is at most `version`.
    newest_change_ = std::max(newest_change_, version);
    removals_.Add(held->first, version, changed_after);
    held = Erase(held);
  }
  as_of_ = std::max(as_of_, version);
  known_ = true;
}

Time TableFollower::CompleteUntil(const std::optional<Outstanding>& watch, Time now) const {
  if (watch_unreliable_) {
    return last_confirmed_;
  }
  const bool waits =
      watch.has_value() && watch->is_watch && now - watch->sent >= settings_.watch_delivery;
  return waits ? std::max(watched_until(), now - settings_.watch_delivery) : watched_until();
}

Duration TableFollower::WatchAge(Time now) const {
  return outstanding_.has_value() && outstanding_->is_watch ? now - outstanding_->sent
                                                            : absl::ZeroDuration();
}

void TableFollower::Confirm(Time when) {
  if (known_ && !reading_ && expected_version_ <= as_of_) {
    last_confirmed_ = std::max(last_confirmed_, when);
  }
}

void TableFollower::RecordVersion(RowVersion version) {
  if (changed_versions_.size() < kMaxChangedVersions) {
    changed_versions_.push_back(version);
  }
}

void TableFollower::RecordChange(const std::string& key, Time changed_after) {
  changed_keys_.insert(key);
  changed_after_ = std::min(changed_after_, changed_after);
}

void TableFollower::Put(const Row& row, Time changed_after) {
  newest_change_ = std::max(newest_change_, row.version);
  const auto held = rows_.find(row.key.key);
  if (held != rows_.end() && row.version <= held->second.version) {
    return;
  }
  if (held != rows_.end()) {
    ForgetVersion(held);
  }
  RecordVersion(row.version);
  const VersionedValue value{row.value, row.version, changed_after};
  by_version_.emplace(row.version, rows_.insert_or_assign(row.key.key, value).first);
  RecordChange(row.key.key, changed_after);
}

void TableFollower::Remove(const Row& row, Time changed_after) {
  newest_change_ = std::max(newest_change_, row.version);
  removals_.Add(row.key.key, row.version, changed_after);
  RecordVersion(row.version);
  const auto held = rows_.find(row.key.key);
  if (held == rows_.end() || row.version < held->second.version) {
    return;
  }
  Erase(held);
  RecordChange(row.key.key, changed_after);
}

TableRows::iterator TableFollower::Erase(TableRows::iterator row) {
  ForgetVersion(row);
  return rows_.erase(row);
}

void TableFollower::ForgetVersion(TableRows::iterator row) {
  auto [entry, end] = by_version_.equal_range(row->second.version);
  while (entry != end && entry->second != row) {
    ++entry;
  }
  if (entry != end) {
    by_version_.erase(entry);
  }
}

RowVersion TableFollower::content_version() const { return std::min(newest_change_, as_of_); }

RowVersion TableFollower::settled_version() const {
  const RowVersion settled = std::max(content_version(), removals_.complete_since());
  // ChangesSince() works from the end of a gap on, but not from inside it.
  return gap_first_ < settled && settled < gap_last_ ? gap_last_ : settled;
}

bool TableFollower::RecentlyFailed(Time now) const {
  return now - last_failure_ <= settings_.failure_window;
}

std::optional<Time> TableFollower::UnansweredSince() const {
  if (!known_ && first_call_ != absl::InfiniteFuture()) {
    return first_call_;
  }
  return failing_since_;
}

std::vector<std::string> TableFollower::TakeChangedKeys() {
  std::vector<std::string> keys(changed_keys_.begin(), changed_keys_.end());
  changed_keys_.clear();
  changed_after_ = absl::InfiniteFuture();
  return keys;
}

}  // namespace ladderstream::store
