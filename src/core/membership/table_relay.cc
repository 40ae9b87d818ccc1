#include "core/membership/table_relay.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace ladderstream::membership {
namespace {

/// Minimum time between restarts of the watches after unanswered calls. Where the store loses three
/// answers in ten, this limits the cost to two more calls per second.
constexpr Duration kMinWatchRestartInterval = absl::Seconds(1);

/// Hashes incarnations evenly and identically on every node (the finalizer of SplitMix64).
uint64_t Mix(uint64_t value) {
  constexpr uint64_t kFirst = 0xbf58476d1ce4e5b9;
  constexpr uint64_t kSecond = 0x94d049bb133111eb;
  value = (value ^ (value >> 30U)) * kFirst;
  value = (value ^ (value >> 27U)) * kSecond;
  return value ^ (value >> 31U);
}

uint32_t AgeInMilliseconds(Time confirmed, Time now) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(now - confirmed), 0, kMax));
}

TableUpdate ToUpdate(store::TableChanges changes, uint32_t age_ms, Time now) {
  TableUpdate update{changes.base,
                     changes.version,
                     changes.newest_change,
                     {},
                     {},
                     age_ms,
                     changes.gap_first,
                     changes.gap_last,
                     AgeInMilliseconds(changes.changed_after, now)};
  for (store::Row& row : changes.rows) {
    if (row.removed) {
      update.removals.push_back({std::move(row.key.key), row.version});
    } else {
      update.rows.push_back({std::move(row.key.key), std::move(row.value), row.version});
    }
  }
  return update;
}

store::TableChanges ToChanges(const TableUpdate& update, const store::FollowerSettings& settings,
                              Time now) {
  const Time changed_after = update.change_age_ms == kUnknownAge
                                 ? absl::InfinitePast()
                                 : now - absl::Milliseconds(update.change_age_ms);
  store::TableChanges changes{update.base,      update.version,  update.newest_change, {},
                              update.gap_first, update.gap_last, changed_after};
  for (const RemovedRow& row : update.removals) {
    changes.rows.push_back({{settings.table, settings.partition, row.key}, "", row.version, true});
  }
  for (const SharedRow& row : update.rows) {
    changes.rows.push_back(
        {{settings.table, settings.partition, row.key}, row.value, row.version, false});
  }
  return changes;
}

}  // namespace

TableRelay::TableRelay(const RelaySettings& settings, uint64_t self,
                       store::TableFollower* configuration, store::TableFollower* backends)
    : settings_(settings),
      self_(self),
      followers_{configuration, backends},
      own_watch_wait_(configuration->settings().watch_wait) {
  SetWatchWaits(absl::InfinitePast());
}

void TableRelay::OnLeading(bool leading, Time now) {
  if (!settings_.enabled) {
    return;
  }
  leading_ = leading;
  unexplained_.reset();
  standby_until_ = absl::InfinitePast();
  for (store::TableFollower* follower : followers_) {
    if (leading) {
      follower->ResumeImmediately();
    } else {
      follower->Resume();
    }
  }
  SetWatchWaits(now);
}

void TableRelay::OnTick(Time now) {
  SetWatchWaits(now);
  RestartAfterFailure(now);
  Audit();
  if (!unexplained_.has_value()) {
    return;
  }
  if (unexplained_->answer.version <= audit_.explained()) {
    ConfirmByVersion(unexplained_->answer, now);
  } else if (now >= NextWake()) {
    RestartSilentWatches(now);
  }
}

Time TableRelay::NextWake() const {
  if (!unexplained_.has_value()) {
    return absl::InfiniteFuture();
  }
  return std::max(unexplained_->seen + settings_.report_grace,
                  watch_restarted_at_ + std::max(own_watch_wait_, kMinWatchRestartInterval));
}

void TableRelay::RestartAfterFailure(Time now) {
  const store::TableFollower& configuration = *followers_[kConfigurationTable];
  const Time failed = configuration.last_failed();
  if (failed <= handled_failure_ || configuration.UnansweredSince().has_value()) {
    return;
  }
  handled_failure_ = failed;
  store::TableFollower& backends = *followers_[kBackendTable];
  if (now - backends.WatchAge(now) < failed) {
    backends.RestartWatch();
  }
}

void TableRelay::SetWatchWaits(Time now) {
  const bool long_wait = leading_ || now < standby_until_;
  followers_[kConfigurationTable]->SetWatchWait(
      long_wait ? std::max(own_watch_wait_, settings_.long_watch_wait) : own_watch_wait_, now);
  followers_[kBackendTable]->SetWatchWait(settings_.backend_watch_wait, now);
}

void TableRelay::Audit() {
  for (store::TableFollower* follower : followers_) {
    for (const store::RowVersion version : follower->TakeChangedVersions()) {
      audit_.Add(version);
    }
  }
  if (AllKnown()) {
    audit_.CompleteUpTo(
        std::min(followers_[kConfigurationTable]->as_of(), followers_[kBackendTable]->as_of()));
  }
}

void TableRelay::ConfirmByVersion(const store::StoreAnswer& answer, Time now) {
  if (answer.version > audit_.explained()) {
    if (!unexplained_.has_value()) {
      unexplained_ = Unexplained{answer, now};
    }
    return;
  }
  unexplained_.reset();
  for (store::TableFollower* follower : followers_) {
    follower->Confirm(answer.sent);
  }
}

void TableRelay::RestartSilentWatches(Time now) {
  const Duration silent = now - unexplained_->seen;
  unexplained_.reset();
  watch_restarted_at_ = now;
  for (store::TableFollower* follower : followers_) {
    // A younger watch was sent after the change and has only not been answered yet.
    if (follower->WatchAge(now) >= silent) {
      follower->RestartWatch();
      missed_change_ = true;
    }
  }
}

void TableRelay::OnResumed() {
  for (store::TableFollower* follower : followers_) {
    follower->OnResumed();
    if (leading_) {
      follower->RestartWatch();
    }
  }
}

void TableRelay::OnStoreAnswered(const store::StoreAnswer& answer, Time now) {
  // The watches may have been lost like the other call, and the store's version would reveal it
  // only at the next change. A change was once reported 6 s late.
  const bool anew = std::exchange(store_unresponsive_, false) && leading_ &&
                    answer.sent - watch_restarted_at_ >= kMinWatchRestartInterval;
  if (anew) {
    watch_restarted_at_ = answer.sent;
    for (store::TableFollower* follower : followers_) {
      follower->RestartWatch();
    }
  }
  if (answer.wrote) {
    audit_.Add(answer.version);
  }
  if (!leading_) {
    for (store::TableFollower* follower : followers_) {
      follower->OnStoreAnswered(answer.sent);
    }
  } else if (answer.version != 0) {
    Audit();
    ConfirmByVersion(answer, now);
  }
}

bool TableRelay::HasUpdates() const {
  if (!settings_.enabled) {
    return false;
  }
  for (size_t table = 0; table < kTables; ++table) {
    if (followers_[table]->settled_version() > pushed_[table]) {
      return true;
    }
  }
  return false;
}

void TableRelay::AddToAnswer(const Report& report, Time now, Heartbeat* heartbeat) const {
  const std::array<store::RowVersion, kTables> held = {report.configuration_version,
                                                       report.backends_version};
  for (size_t table = 0; table < kTables; ++table) {
    // The report names the last change in its copy; the copy may be complete far beyond it.
    Add(table, std::min(held[table], pushed_[table]), now, heartbeat);
  }
}

void TableRelay::AddAsPushed(Time now, Heartbeat* heartbeat) const {
  for (size_t table = 0; table < kTables; ++table) {
    Add(table, pushed_[table], now, heartbeat);
  }
}

void TableRelay::AddToPush(Time now, Heartbeat* heartbeat) {
  for (size_t table = 0; table < kTables; ++table) {
    Add(table, pushed_[table], now, heartbeat);
    pushed_[table] = followers_[table]->settled_version();
  }
}

bool TableRelay::AllKnown() const {
  return std::all_of(followers_.begin(), followers_.end(),
                     [](const store::TableFollower* follower) { return follower->known(); });
}

void TableRelay::Add(size_t table, store::RowVersion base, Time now, Heartbeat* heartbeat) const {
  const store::TableFollower& follower = *followers_[table];
  if (!settings_.enabled || !AllKnown()) {
    return;
  }
  auto changes = follower.ChangesSince(base);
  if (!changes.has_value()) {
    changes = follower.ChangesSince(pushed_[table]);
  }
  if (!changes.has_value()) {
    // Copies that are not complete up to here must read the store, or the full table from a node.
    changes = follower.ChangesSince(follower.settled_version());
  }
  heartbeat->tables.push_back(
      ToUpdate(std::move(*changes), AgeInMilliseconds(follower.watched_until(), now), now));
}

bool TableRelay::TakeRows(const Heartbeat& heartbeat, Time now) {
  if (!settings_.enabled || heartbeat.tables.size() != kTables) {
    return false;
  }
  bool changed = false;
  for (size_t table = 0; table < kTables; ++table) {
    store::TableFollower* const follower = followers_[table];
    const TableUpdate& update = heartbeat.tables[table];
    const store::RowVersion before = follower->content_version();
    follower->Apply(ToChanges(update, follower->settings(), now), now);
    changed = changed || follower->content_version() > before;
  }
  return changed;
}

void TableRelay::OnCoordinatorHeartbeat(const Heartbeat& heartbeat, Time made, bool answers,
                                        Time now) {
  const bool standby = settings_.enabled && IsStandby(heartbeat);
  const bool confirmed = settings_.enabled && heartbeat.tables.size() == kTables && !standby;
  standby_until_ = standby ? made + settings_.freshness : absl::InfinitePast();
  SetWatchWaits(now);
  for (size_t table = 0; table < kTables; ++table) {
    store::TableFollower* const follower = followers_[table];
    if (!confirmed || !Reaches(*follower, heartbeat.tables[table])) {
      follower->Resume();
      continue;
    }
    const Duration age = absl::Milliseconds(heartbeat.tables[table].age_ms);
    const Duration max_age =
        answers ? settings_.max_heartbeat_age : settings_.max_pushed_heartbeat_age;
    const Time until = made + std::min(max_age, settings_.freshness - age);
    if (age >= settings_.freshness) {
      follower->Resume();
    } else if (until > now) {
      // The creation time of a push is not known. A slow coordinator's push arrived 0.25 s late;
      // counted from its arrival, the time allowed to leaving back ends ended that much too late.
      follower->Suspend(until, answers ? made - age : absl::InfinitePast());
    }
  }
}

bool TableRelay::Reaches(const store::TableFollower& follower, const TableUpdate& update) {
  const bool in_gap = update.gap_first < follower.as_of() && follower.as_of() < update.gap_last;
  return follower.as_of() >= update.base && !in_gap;
}

std::vector<uint64_t> TableRelay::ChooseStandbys(std::vector<uint64_t> others) const {
  const size_t count = std::min<size_t>(settings_.standbys, others.size());
  std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count),
                    others.end(),
                    [](uint64_t one, uint64_t other) { return Mix(one) < Mix(other); });
  others.resize(count);
  return others;
}

bool TableRelay::IsStandby(const Heartbeat& heartbeat) const {
  return std::find(heartbeat.standbys.begin(), heartbeat.standbys.end(), self_) !=
         heartbeat.standbys.end();
}

}  // namespace ladderstream::membership
