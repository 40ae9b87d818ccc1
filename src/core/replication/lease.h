// Both sides of the leader's lease: what voters promise, and what the leader may count on.
//
// The argument, with its inequality, stands in docs/design/003-replicated-log.md. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/replication/replica.h"

namespace ladderstream::replication {

/// What one replica promised to leaders: that by this moment their leases have ended. It covers all
/// leaders the replica ever answered and is never reset.
class LeasePromise {
 public:
  explicit LeasePromise(const Timing& timing) : timing_(timing) {}

  /// Answering a leader whose request arrived at `now`; `earlier_remaining` is what that leader
  /// knows of the leases before its own.
  void Renew(Time now, Duration earlier_remaining);
  /// Takes over what a voter reported of its own promise.
  void Include(Time now, Duration remaining);

  Duration Remaining(Time now) const;
  Time until() const { return until_; }

 private:
  Timing timing_;
  Time until_ = absl::InfinitePast();
};

/// When the leader sent each of its recent rounds. An acknowledgement of a round counts from its
/// sending, so that any delay only shortens the lease.
class LeaderRounds {
 public:
  explicit LeaderRounds(const Timing& timing) : timing_(timing) {}

  /// Gives the number of a round that is sent at `now`.
  uint64_t Begin(Time now);
  /// When the round was sent; InfinitePast when unknown or too old to matter.
  Time SentAt(uint64_t round) const;
  Time newest() const { return rounds_.empty() ? absl::InfinitePast() : rounds_.back().sent; }
  void Clear() { rounds_.clear(); }

 private:
  struct Round {
    uint64_t number = 0;
    Time sent;
  };

  Timing timing_;
  uint64_t next_ = 1;
  std::deque<Round> rounds_;
};

/// Gives the newest moment that a majority of `moments` reaches; InfinitePast when empty.
Time ReachedByMajority(std::vector<Time> moments);

/// Until when a round sent at `sent` and acknowledged by a majority keeps the lease.
Time LeaseEnd(const Timing& timing, Time sent);

}  // namespace ladderstream::replication
