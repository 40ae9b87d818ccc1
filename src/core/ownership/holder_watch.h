// Tracks the lease holder on a standby, and decides when to challenge it.
//
// A wrong challenge never affects safety. The timing is a trade-off between replacing a missing
// holder soon and not deposing a healthy one.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "core/ownership/coordinator.h"
#include "core/ownership/ownership_rows.h"
#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::ownership {

class HolderWatch {
 public:
  enum class Heartbeat {
    /// The sender is this node, or a holder that was replaced or has ended.
    kIgnored,
    kOfKnownHolder,
    kOfNewHolder,
  };

  HolderWatch(const CoordinatorSettings& settings, const NodeIdentity& self);

  Heartbeat OnHeartbeat(const LeaseView& view, Time now);
  /// Records that this incarnation no longer holds the lease: it resigned or its process has ended.
  void OnEnded(uint64_t incarnation, Time now);
  /// Handles the lease row as read; `row` is empty when there is none. Returns whether to challenge
  /// now; if not, ReadDue() returns the time of the next read.
  bool OnRow(const std::optional<LeaseRow>& row, store::RowVersion version, Time now);
  /// Records that another node acquired the lease, and waits for its heartbeats.
  void OnSuperseded(const std::optional<LeaseRow>& row, store::RowVersion version, Time now);
  /// Schedules the first read of the rows.
  void Begin(Time now);
  /// Schedules a retry with exponential back-off after the rows could not be read or a challenge
  /// was refused.
  void OnFailure(Time now);

  /// Returns the time at which this node first saw this version of the lease row; `now` for a
  /// version not seen before.
  Time KnownSince(store::RowVersion version, Time now) const;
  /// Returns whether the holder sends heartbeats but has not renewed its lease row in time.
  bool HolderUnrenewed(Time now) const;
  /// Returns when to read the rows in order to challenge the holder.
  Time ReadDue() const { return read_due_; }
  const std::optional<LeaseView>& holder() const { return holder_; }
  void SetHolder(const std::optional<LeaseView>& holder) { holder_ = holder; }

 private:
  void Observe(store::RowVersion version, Time now);
  /// Returns a fraction of `span` that differs between nodes and is the same at each call.
  Duration Jitter(Duration span) const;
  /// Returns how long this node leaves a challenge to other nodes.
  Duration ChallengeDelay(Duration span) const;
  bool HasEnded(uint64_t incarnation) const;
  /// Returns whether a heartbeat disproves an earlier report that its sender has ended.
  bool DisprovesEnd(const LeaseView& view, Time now) const;

  const CoordinatorSettings settings_;
  const NodeIdentity self_;
  std::optional<LeaseView> holder_;
  /// An incarnation that was reported to have ended.
  struct Ended {
    uint64_t incarnation = 0;
    /// Newest epoch known at `reported_at`.
    uint64_t epoch = 0;
    Time reported_at;
  };
  /// The most recent reports, oldest first.
  std::deque<Ended> ended_;
  store::RowVersion observed_version_ = 0;
  Time observed_at_ = absl::InfinitePast();
  /// Time of the last heartbeat of the holder that the row names, or of its first sighting.
  Time missing_since_ = absl::InfinitePast();
  Time read_due_ = absl::InfiniteFuture();
  /// When to read the rows although heartbeats of the holder arrive.
  Time unrenewed_due_ = absl::InfiniteFuture();
  Duration retry_delay_ = absl::ZeroDuration();
  /// The last read of the store failed, so the holder may have been unable to write as well.
  bool store_was_unavailable_ = false;
};

}  // namespace ladderstream::ownership
