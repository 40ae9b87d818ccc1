// Exchange of table contents between a follower and the copies held by other nodes.
#include <algorithm>
#include <optional>

#include "core/store/table_follower.h"

namespace ladderstream::store {

bool TableFollower::Merge(const std::vector<Row>& rows, RowVersion version, Time confirmed,
                          Time now) {
  if (version <= as_of_) {
    return false;
  }
  ExpectVersion(version, now);
  watch_age_at_change_ = WatchAge(now);
  Install(rows, version);
  newest_change_ = std::max(newest_change_, version);
  last_confirmed_ = std::max(last_confirmed_, confirmed);
  OvertakeReading();
  return true;
}

void TableFollower::OvertakeReading() {
  if (!reading_) {
    return;
  }
  merged_while_reading_ = true;
  if (!outstanding_.has_value()) {
    StartReading();
    reading_ = false;
  }
}

std::optional<TableChanges> TableFollower::ChangesSince(RowVersion base) const {
  const bool in_gap = gap_first_ < base && base < gap_last_;
  if (!known_ || base < removals_.complete_since() || in_gap) {
    return std::nullopt;
  }
  TableChanges changes{base,      std::max(base, as_of_), content_version(), {}, gap_first_,
                       gap_last_, absl::InfiniteFuture()};
  if (newest_change_ <= base) {
    return changes;
  }
  for (const RemovalLog::Removal& removal : removals_.removals()) {
    if (removal.version > base) {
      changes.rows.push_back(
          {{settings_.table, settings_.partition, removal.key}, "", removal.version, true});
      changes.changed_after = std::min(changes.changed_after, removal.changed_after);
    }
  }
  for (auto entry = by_version_.upper_bound(base); entry != by_version_.end(); ++entry) {
    const auto& [key, row] = *entry->second;
    changes.rows.push_back(
        {{settings_.table, settings_.partition, key}, row.value, row.version, false});
    changes.changed_after = std::min(changes.changed_after, row.changed_after);
  }
  return changes;
}

bool TableFollower::Apply(const TableChanges& changes, Time now) {
  if (!known_ || changes.base > as_of_ || changes.InGap(as_of_)) {
    return false;
  }
  // This copy is complete up to as_of_: an older row that it does not hold has been removed.
  const RowVersion held = as_of_;
  // The sender reports how old the changes may be on its side, and this copy may itself have
  // received no updates for some time. The earlier of both bounds holds.
  const Time changed_after = std::min(CompleteUntil(outstanding_, now), changes.changed_after);
  RowVersion newest = held;
  for (const Row& row : changes.rows) {
    if (row.version <= held) {
      continue;
    }
    newest = std::max(newest, row.version);
    if (row.removed) {
      Remove(row, changed_after);
    } else {
      Put(row, changed_after);
    }
  }
  if (newest > held) {
    watch_age_at_change_ = WatchAge(now);
    ExpectVersion(std::min(newest, changes.version), now);
    if (Suspended(now) && outstanding_.has_value() && outstanding_->is_watch) {
      // The reply of the watch is no longer needed.
      outstanding_.reset();
    }
  }
  if (changes.version > as_of_) {
    as_of_ = changes.version;
    OvertakeReading();
  }
  newest_change_ = std::max(newest_change_, std::min(changes.newest_change, as_of_));
  return true;
}

}  // namespace ladderstream::store
