// One replica of a group's log: elections, replication, leader lease, membership changes.
//
// Raft with pre-vote, learners, one-voter-at-a-time membership changes and leader leases. No I/O,
// no thread, no clock: callers bring messages and time, and take away what is to be sent and
// applied. Not thread-safe. Safety rests on two rules beyond Raft's own: a NodeId never returns
// after a crash (diskless processes forget their votes), and a new leader learns from its voters
// how long the earlier leader's lease may still last (`earlier_lease_ends`).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "wire/identifiers.h"
#include "wire/replication.h"
#include "wire/time.h"

namespace ladderstream::replication {

/// Tuning, all checked against each other by CheckTiming at start.
struct Timing {
  Duration heartbeat_interval = absl::Milliseconds(100);
  /// A follower that hears nothing for a random time in [min, max] asks for votes.
  Duration election_timeout_min = absl::Milliseconds(300);
  Duration election_timeout_max = absl::Milliseconds(450);
  /// How long one acknowledged round keeps the leader's lease, from the moment it was sent.
  Duration leader_lease = absl::Milliseconds(1000);
  /// Bound on how much faster or slower one clock may run than another, as a share.
  double max_clock_drift = 0.01;
  /// The log is cut behind a snapshot when it holds more entries than this.
  uint64_t max_log_entries = 4096;
};

/// Throws Error(kInconsistentSettings) naming every pair that does not fit.
void CheckTiming(const Timing& timing);

enum class Role { kIdle, kLearner, kFollower, kPreCandidate, kCandidate, kLeader };

struct OutgoingMessage {
  NodeDescriptor to;
  ReplicationMessage message;
};

/// What the replica wants done, in order of the fields.
struct Output {
  /// Replaces all applied state (before `committed`).
  std::optional<std::string> install_snapshot;
  /// kCommand entries to apply, in order, each exactly once.
  std::vector<LogEntry> committed;
  std::vector<OutgoingMessage> messages;
};

/// Where the replica begins.
struct Start {
  GroupId group;
  uint64_t generation = 0;
  NodeDescriptor self;
  /// The founding members; for a learner that joins, who to expect messages from (may be empty).
  GroupMembers members;
  /// State of a recovered checkpoint that the founders begin with; empty for none.
  std::string initial_state;
  /// False for a node that joins a group already running: it waits for the leader's messages.
  bool founding = false;
};

class Replica {
 public:
  /// `take_snapshot` gives the state after all entries handed out so far as committed.
  Replica(const Timing& timing, Start start, uint64_t seed, Time now,
          std::function<std::string()> take_snapshot);
  ~Replica();

  void Receive(NodeId from, const ReplicationMessage& message, Time now);
  void Tick(Time now);
  /// When Tick is next due.
  Time NextTick() const;
  Output TakeOutput();

  /// Appends a command. Gives its index, or nothing when not leader.
  std::optional<uint64_t> Propose(std::string payload, Time now);
  /// Begins a membership change (one voter at most). False when not leader, when one is under way,
  /// when the leader has not committed in its term, or when it differs by more than one voter.
  bool ProposeMembers(const GroupMembers& members, Time now);
  /// Asks a caught-up voter to take over at once. False when none is.
  bool TransferLeadership(Time now);

  Role role() const;
  uint64_t term() const;
  uint64_t generation() const;
  uint64_t commit_index() const;
  /// The latest members in the log, committed or not.
  const GroupMembers& members() const;
  bool MembersChangeUnderWay() const;
  /// The leader, as long as it is heard. Without one the state here may be out of date: this node
  /// may have been removed from the group.
  std::optional<NodeId> leader() const;
  /// Whether an entry of the leader's own term has committed: its state is then complete.
  bool LeaderIsReady() const;
  /// How much of the majority lease is left; zero when not leader.
  Duration LeaseRemaining(Time now) const;
  /// As leader: the moment on this clock by which every lease of earlier leaders has surely ended.
  Time earlier_lease_ends() const;
  /// As leader: when a member last answered; InfinitePast for never.
  Time LastHeard(NodeId member) const;
  /// As leader: whether the member's log is close enough to be made a voter.
  bool IsCaughtUp(NodeId member) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::replication
