// The chain of conditional writes by which a node holds the lease.
//
// Every transaction is conditioned on the version of the lease row written by the previous one, and
// rewrites that row. So at most one of several unanswered transactions is ever applied, a late one
// fails its condition once another was applied, and a deposed holder commits nothing. LeaseChain
// does no I/O and does not decide when to write.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ownership/coordinator.h"
#include "core/ownership/ownership_rows.h"
#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::ownership {

/// One change of a service's assignment.
struct OwnershipChange {
  std::string service;
  KeyRange range;
  std::string owner;
  Fence fence = 0;
};

/// A transaction that was sent and whose outcome is unknown or was just reported.
struct LeaseAttempt {
  CallId call = 0;
  uint64_t nonce = 0;
  uint64_t epoch = 0;
  Time sent;
  /// No answer arrived before the time-out, or the store call failed with an unknown outcome. The
  /// transaction may still be applied.
  bool timed_out = false;
  std::vector<OwnershipChange> changes;
  /// The service rows that the transaction writes, by key.
  std::map<std::string, std::string> rows;
};

struct ChainOutcome {
  enum class Kind {
    /// No outcome yet: the call is unknown to this chain, or its result is still unknown.
    kOpen,
    /// `attempt` was applied; no other attempt ever will be.
    kApplied,
    /// The attempt was definitely not applied. The chain is unchanged.
    kNotApplied,
    /// The attempt was not applied and never can be: `attempt` is malformed or too large.
    kRejected,
    /// The store holds this chain's last write under versions other than assumed; the chain now has
    /// the right ones.
    kCorrected,
    /// Another node wrote the lease row or a service row: the lease is lost.
    kLost,
  };
  Kind kind = Kind::kOpen;
  /// The attempt whose outcome is now known.
  LeaseAttempt attempt;
  /// With kLost: the current lease row, unless it was removed or cannot be decoded.
  std::optional<LeaseRow> other;
  store::RowVersion other_version = 0;
};

class LeaseChain {
 public:
  LeaseChain(const CoordinatorSettings& settings, const NodeIdentity& self);

  /// Restarts the chain from rows as read. `lease_version` is 0 when there is no lease row; `rows`
  /// are the versions of the service rows, by key. Attempts on the same lease version stay open.
  void Restart(store::RowVersion lease_version,
               const std::map<std::string, store::RowVersion>& rows);

  /// Returns the transaction that writes `rows` (service rows, by key) and the lease row, and
  /// records it as an open attempt.
  store::Transaction Begin(CallId call, uint64_t epoch, std::map<std::string, std::string> rows,
                           std::vector<OwnershipChange> changes, Time now);
  /// Handles the store's reply to an attempt and returns the outcome.
  ChainOutcome OnReply(CallId call, const store::StoreReply& reply);
  /// Marks the attempts that timed out and returns their number.
  size_t MarkTimedOut(Time now);
  /// Drops all attempts and the confirmed write, as the holder steps down.
  void Forfeit();

  /// Returns whether an attempt waits for its answer.
  bool InFlight() const;
  const std::vector<LeaseAttempt>& attempts() const { return attempts_; }
  /// Returns whether an open attempt commits this change.
  bool Commits(const std::string& service, Fence fence) const;
  /// Returns when the oldest attempt in flight times out; InfiniteFuture without one.
  Time NextTimeout() const;
  /// Returns the send time of the newest confirmed write; InfinitePast without one.
  Time confirmed_sent() const { return confirmed_sent_; }
  /// Returns whether the lease is valid at `now`.
  bool Valid(Time now) const { return now < confirmed_sent_ + settings_.lease; }
  store::RowVersion lease_version() const { return lease_version_; }

 private:
  struct KnownRow {
    store::RowVersion version = 0;
    /// Value last written by this chain; empty when the row was only read.
    std::string value;
  };

  store::RowKey KeyOf(const std::string& key) const;
  ChainOutcome Applied(size_t index, store::RowVersion version);
  ChainOutcome OnConflict(CallId call, const store::StoreReply& reply);
  ChainOutcome OnOtherRows(CallId call, const store::StoreReply& reply);

  const CoordinatorSettings settings_;
  const NodeIdentity self_;
  uint64_t last_nonce_ = 0;
  uint64_t confirmed_nonce_ = 0;
  store::RowVersion lease_version_ = 0;
  std::map<std::string, KnownRow> rows_;
  std::vector<LeaseAttempt> attempts_;
  Time confirmed_sent_ = absl::InfinitePast();
};

}  // namespace ladderstream::ownership
