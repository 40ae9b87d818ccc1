#include "core/ownership/holder_watch.h"

#include <algorithm>
#include <utility>

namespace ladderstream::ownership {
namespace {

constexpr size_t kMaxEndedIncarnations = 32;

/// A holder that renews its lease but whose heartbeats do not arrive here is challenged after this
/// many heartbeat time-outs: its heartbeats may reach no node.
constexpr int kMaxMissedTimeouts = 5;

/// Fractions of the heartbeat time-out over which challenges of different nodes are spread.
constexpr double kMissingSpread = 0.25;
constexpr double kEndedSpread = 0.1;

/// Fraction of the unrenewed time-out over which the reads of different nodes are spread. During a
/// store outage the reads of all nodes fail; after it, one successful read is enough.
constexpr double kUnrenewedSpread = 1;

constexpr Duration kMinRetryDelay = absl::Milliseconds(100);
constexpr Duration kMaxRetryDelay = absl::Milliseconds(1600);

/// Time for the holder to renew after a store outage that affected all nodes. It writes within 0.3
/// s and, unlike a successor, knows how long each unresponsive owner may hold its keys.
constexpr Duration kStoreRecoveryGrace = absl::Milliseconds(400);

constexpr uint64_t kJitterSteps = 1024;

/// Hashes nearby numbers to distant ones (the finalizer of SplitMix64).
uint64_t Mix(uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

LeaseView ViewOf(const LeaseRow& row, store::RowVersion version) {
  return {row.epoch, row.incarnation, row.peer_address, version};
}

}  // namespace

HolderWatch::HolderWatch(const CoordinatorSettings& settings, const NodeIdentity& self)
    : settings_(settings), self_(self) {}

Duration HolderWatch::Jitter(Duration span) const {
  const uint64_t step = Mix(self_.incarnation) % kJitterSteps;
  return span * static_cast<double>(step) / static_cast<double>(kJitterSteps);
}

Duration HolderWatch::ChallengeDelay(Duration span) const {
  return settings_.challenge_delay + Jitter(span);
}

bool HolderWatch::HasEnded(uint64_t incarnation) const {
  return std::any_of(ended_.begin(), ended_.end(), [incarnation](const Ended& ended) {
    return ended.incarnation == incarnation;
  });
}

bool HolderWatch::DisprovesEnd(const LeaseView& view, Time now) const {
  return std::any_of(ended_.begin(), ended_.end(), [&](const Ended& ended) {
    return ended.incarnation == view.incarnation &&
           (view.epoch > ended.epoch || now - ended.reported_at >= settings_.heartbeat_timeout);
  });
}

void HolderWatch::Observe(store::RowVersion version, Time now) {
  if (version != observed_version_) {
    observed_version_ = version;
    observed_at_ = now;
    const Duration timeout = settings_.unrenewed_timeout;
    // Not sooner than the challenge of a holder that becomes unresponsive at that time. When the
    // store loses answers, earlier challenges replaced one holder after another, and each successor
    // waited anew for unresponsive owners.
    unrenewed_due_ =
        now + timeout + settings_.heartbeat_timeout + ChallengeDelay(timeout * kUnrenewedSpread);
  }
}

bool HolderWatch::HolderUnrenewed(Time now) const {
  return holder_ && holder_->row_version != 0 && holder_->row_version == observed_version_ &&
         now - observed_at_ >= settings_.unrenewed_timeout;
}

Time HolderWatch::KnownSince(store::RowVersion version, Time now) const {
  return version != 0 && version == observed_version_ ? observed_at_ : now;
}

HolderWatch::Heartbeat HolderWatch::OnHeartbeat(const LeaseView& view, Time now) {
  if (DisprovesEnd(view, now)) {
    std::erase_if(ended_,
                  [&view](const Ended& ended) { return ended.incarnation == view.incarnation; });
  }
  if (view.incarnation == self_.incarnation || HasEnded(view.incarnation) ||
      (holder_ && view.epoch < holder_->epoch)) {
    return Heartbeat::kIgnored;
  }
  const bool changed = !holder_ || holder_->incarnation != view.incarnation;
  holder_ = view;
  if (view.row_version != 0) {
    Observe(view.row_version, now);
  }
  missing_since_ = now;
  retry_delay_ = absl::ZeroDuration();
  const Duration timeout = settings_.heartbeat_timeout;
  read_due_ = now + timeout + ChallengeDelay(timeout * kMissingSpread);
  if (view.row_version != 0) {
    read_due_ = std::min(read_due_, unrenewed_due_);
  }
  return changed ? Heartbeat::kOfNewHolder : Heartbeat::kOfKnownHolder;
}

void HolderWatch::OnEnded(uint64_t incarnation, Time now) {
  if (HasEnded(incarnation) || incarnation == self_.incarnation) {
    return;
  }
  ended_.push_back({incarnation, holder_ ? holder_->epoch : 0, now});
  if (ended_.size() > kMaxEndedIncarnations) {
    ended_.pop_front();
  }
  if (!holder_ || holder_->incarnation == incarnation) {
    const Time due = now + ChallengeDelay(settings_.heartbeat_timeout * kEndedSpread);
    read_due_ = std::min(read_due_, due);
  }
}

bool HolderWatch::OnRow(const std::optional<LeaseRow>& row, store::RowVersion version, Time now) {
  const bool was_unavailable = std::exchange(store_was_unavailable_, false);
  if (!row || row->incarnation == self_.incarnation || row->peer_address == self_.peer_address ||
      HasEnded(row->incarnation)) {
    // The first read after an outage succeeds at a random time, at a slow machine as at a fast one.
    const bool leaves_to_others =
        was_unavailable && settings_.challenge_delay > absl::ZeroDuration();
    if (leaves_to_others) {
      read_due_ = now + settings_.challenge_delay;
    }
    return !leaves_to_others;
  }
  const Duration timeout = settings_.heartbeat_timeout;
  if (version == observed_version_ && now - observed_at_ >= timeout) {
    if (was_unavailable) {
      read_due_ = now + kStoreRecoveryGrace + ChallengeDelay(kStoreRecoveryGrace * kEndedSpread);
    }
    return !was_unavailable;
  }
  if (!holder_ || holder_->incarnation != row->incarnation) {
    missing_since_ = now;
  }
  holder_ = ViewOf(*row, version);
  if (now - missing_since_ >= timeout * kMaxMissedTimeouts) {
    return true;
  }
  Observe(version, now);
  read_due_ = observed_at_ + timeout + ChallengeDelay(timeout * kMissingSpread);
  return false;
}

void HolderWatch::OnSuperseded(const std::optional<LeaseRow>& row, store::RowVersion version,
                               Time now) {
  holder_.reset();
  missing_since_ = now;
  retry_delay_ = absl::ZeroDuration();
  if (row && row->incarnation != self_.incarnation) {
    holder_ = ViewOf(*row, version);
    Observe(version, now);
  }
  const Duration timeout = settings_.heartbeat_timeout;
  read_due_ = now + timeout + ChallengeDelay(timeout * kMissingSpread);
}

void HolderWatch::Begin(Time now) {
  read_due_ = std::min(read_due_, now + ChallengeDelay(settings_.heartbeat_timeout * kEndedSpread));
}

void HolderWatch::OnFailure(Time now) {
  store_was_unavailable_ = true;
  retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay, kMaxRetryDelay);
  read_due_ = now + retry_delay_ + Jitter(retry_delay_);
  const Duration timeout = settings_.unrenewed_timeout;
  unrenewed_due_ = std::max(unrenewed_due_, now + timeout + Jitter(timeout * kUnrenewedSpread));
}

}  // namespace ladderstream::ownership
