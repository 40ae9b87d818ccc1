// A standby's view of the lease's holder, and when it seems to be missing.
//
// Whether a challenge is right never matters for safety; here it is only weighed how soon a missing
// holder is replaced, against deposing one that is well.
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
    /// It is this node's own, or that of a holder that was replaced or has ended.
    kIgnored,
    kOfKnownHolder,
    kOfNewHolder,
  };

  HolderWatch(const CoordinatorSettings& settings, const NodeIdentity& self);

  Heartbeat OnHeartbeat(const LeaseView& view, Time now);
  /// This incarnation does not hold the lease any more: it said so, or its process has ended.
  void OnEnded(uint64_t incarnation, Time now);
  /// The lease row as read; `row` is empty when there is none. Gives whether to challenge now; if
  /// not, ReadDue() says when to look again.
  bool OnRow(const std::optional<LeaseRow>& row, store::RowVersion version, Time now);
  /// Another node won: waits for its heartbeats.
  void OnSuperseded(const std::optional<LeaseRow>& row, store::RowVersion version, Time now);
  /// The first look is due now.
  void Begin(Time now);
  /// The rows could not be read, or a challenge was refused: tries again later, ever more rarely.
  void OnFailure(Time now);

  /// Since when this node has known that the lease row had this version; `now` if it just learned
  /// so.
  Time KnownSince(store::RowVersion version, Time now) const;
  /// Whether the holder is heard of while its lease row stands still.
  bool HolderUnrenewed(Time now) const;
  /// When the rows are to be read, with the aim of challenging.
  Time ReadDue() const { return read_due_; }
  const std::optional<LeaseView>& holder() const { return holder_; }
  void SetHolder(const std::optional<LeaseView>& holder) { holder_ = holder; }

 private:
  void Observe(store::RowVersion version, Time now);
  /// A share of `span` that differs from node to node, and is the same at each call.
  Duration Jitter(Duration span) const;
  /// For how long this node leaves a challenge to others.
  Duration ChallengeDelay(Duration span) const;
  bool HasEnded(uint64_t incarnation) const;
  /// Whether a heartbeat shows that its sender has not ended, whatever was told.
  bool DisprovesEnd(const LeaseView& view, Time now) const;

  const CoordinatorSettings settings_;
  const NodeIdentity self_;
  std::optional<LeaseView> holder_;
  /// An incarnation that is said to have ended.
  struct Ended {
    uint64_t incarnation = 0;
    /// The newest epoch known then.
    uint64_t epoch = 0;
    Time reported_at;
  };
  /// The newest ones.
  std::deque<Ended> ended_;
  store::RowVersion observed_version_ = 0;
  Time observed_at_ = absl::InfinitePast();
  /// Since when the holder that the row names was not heard of.
  Time missing_since_ = absl::InfinitePast();
  Time read_due_ = absl::InfiniteFuture();
  /// When the rows are to be read although the holder is heard of.
  Time unrenewed_due_ = absl::InfiniteFuture();
  Duration retry_delay_ = absl::ZeroDuration();
  /// The store could not be read lately, and perhaps not written by the holder either.
  bool store_was_unavailable_ = false;
};

}  // namespace ladderstream::ownership
