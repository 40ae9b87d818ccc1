#include "core/membership/snapshot_exchange.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace ladderstream::membership {
namespace {

/// Maximum requests to one node for one hint; the node may have ended meanwhile.
constexpr uint32_t kMaxRequestsPerHint = 3;

std::vector<SharedRow> SharedRows(const store::TableFollower& follower) {
  std::vector<SharedRow> rows;
  rows.reserve(follower.rows().size());
  for (const auto& [key, row] : follower.rows()) {
    rows.push_back({key, row.value, row.version});
  }
  return rows;
}

bool MergeInto(store::TableFollower* follower, const std::vector<SharedRow>& shared,
               uint64_t version, Time confirmed, Time now) {
  if (version <= follower->as_of()) {
    return false;
  }
  std::vector<store::Row> rows;
  rows.reserve(shared.size());
  for (const SharedRow& row : shared) {
    const store::FollowerSettings& settings = follower->settings();
    rows.push_back({{settings.table, settings.partition, row.key}, row.value, row.version, false});
  }
  return follower->Merge(rows, version, confirmed, now);
}

uint32_t Milliseconds(Duration duration) {
  constexpr int64_t kMax = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(duration), int64_t{0}, kMax));
}

}  // namespace

SnapshotExchange::SnapshotExchange(const SnapshotSettings& settings,
                                   store::TableFollower* configuration,
                                   store::TableFollower* backends, uint64_t seed)
    : settings_(settings),
      configuration_(configuration),
      backends_(backends),
      random_(seed),
      interval_(settings.shortest_interval),
      turn_(random_()) {}

HeldVersions SnapshotExchange::Held() const {
  return {configuration_->content_version(), backends_->content_version()};
}

void SnapshotExchange::OnVersionsReceived(const Destination& from, const HeldVersions& versions,
                                          Time now) {
  const bool newer =
      versions.configuration > configuration_->as_of() || versions.backends > backends_->as_of();
  if (!newer) {
    return;
  }
  configuration_->ExpectVersion(versions.configuration, now);
  backends_->ExpectVersion(versions.backends, now);
  if (!HintIsOpen()) {
    hint_ = Hint{from, versions, now, 0};
  }
}

Snapshot SnapshotExchange::Answer(const SnapshotRequest& request, Time now) const {
  Snapshot snapshot;
  snapshot.configuration_version = request.configuration_version;
  snapshot.backends_version = request.backends_version;
  const HeldVersions held = Held();
  if (held.configuration > request.configuration_version) {
    snapshot.configuration_version = held.configuration;
    snapshot.configuration = SharedRows(*configuration_);
  }
  if (held.backends > request.backends_version) {
    snapshot.backends_version = held.backends;
    snapshot.backends = SharedRows(*backends_);
  }
  const Time confirmed = std::min(configuration_->last_confirmed(), backends_->last_confirmed());
  snapshot.age_ms = Milliseconds(now - confirmed);
  snapshot.answered_request = request.sequence;
  return snapshot;
}

bool SnapshotExchange::OnSnapshot(const Snapshot& snapshot, Time now) {
  // The age counts from the send of the request: counted from the arrival, changes in a late answer
  // would appear more recent than they are.
  const std::optional<SentReport> request = requests_.Take(snapshot.answered_request);
  const Time confirmed = request.has_value() ? request->sent - absl::Milliseconds(snapshot.age_ms)
                                             : absl::InfinitePast();
  const bool configuration_changed = MergeInto(configuration_, snapshot.configuration,
                                               snapshot.configuration_version, confirmed, now);
  const bool backends_changed =
      MergeInto(backends_, snapshot.backends, snapshot.backends_version, confirmed, now);
  if (configuration_changed || backends_changed) {
    interval_ = settings_.shortest_interval;
  }
  return configuration_changed || backends_changed;
}

std::optional<SnapshotExchange::OutgoingRequest> SnapshotExchange::Poll(
    const std::vector<Destination>& others, Time now) {
  if (now < NextWake()) {
    return std::nullopt;
  }
  const bool hinted = HintIsOpen() && now >= hint_->received_at + settings_.hint_delay;
  if (hinted) {
    ++hint_->requests;
    next_request_ = now + settings_.shortest_interval;
    return OutgoingRequest{hint_->from, NewRequest(now)};
  }
  if (now - next_request_ > settings_.longest_interval) {
    interval_ = settings_.shortest_interval;
  }
  next_request_ = now + interval_;
  if (others.empty()) {
    return std::nullopt;
  }
  const bool known = configuration_->known() && backends_->known();
  interval_ =
      known ? std::min(interval_ * 2, settings_.longest_interval) : settings_.shortest_interval;
  return OutgoingRequest{others[turn_++ % others.size()], NewRequest(now)};
}

Time SnapshotExchange::NextWake() const {
  Time due = StoreUnresponsiveAt();
  if (HintIsOpen()) {
    due = std::min(due, hint_->received_at + settings_.hint_delay);
  }
  return std::max(due, next_request_);
}

bool SnapshotExchange::HintIsOpen() const {
  return hint_.has_value() && hint_->requests < kMaxRequestsPerHint &&
         (hint_->versions.configuration > configuration_->as_of() ||
          hint_->versions.backends > backends_->as_of());
}

Time SnapshotExchange::StoreUnresponsiveAt() const {
  const Time configuration = configuration_->UnansweredSince().value_or(absl::InfiniteFuture()) +
                             settings_.unresponsive_timeout;
  const Time backends = backends_->UnansweredSince().value_or(absl::InfiniteFuture()) +
                        settings_.unresponsive_timeout;
  return std::min(configuration, backends);
}

SnapshotRequest SnapshotExchange::NewRequest(Time now) {
  return {configuration_->as_of(), backends_->as_of(), requests_.Add(/*holder=*/0, now)};
}

}  // namespace ladderstream::membership
