// The state of Replica and its handlers. Split over files by duty: replica.cc (the public face and
// time), election.cc, follower.cc (what a leader's messages change) and leader.cc.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/replication/lease.h"
#include "core/replication/log.h"
#include "core/replication/replica.h"

namespace ladderstream::replication {

/// What the leader knows of one other member.
struct Progress {
  uint64_t match_index = 0;
  uint64_t next_index = 1;
  Time last_heard = absl::InfinitePast();
  /// When the newest round it acknowledged was sent.
  Time acknowledged_sent = absl::InfinitePast();
  /// Set while a snapshot is on its way.
  std::optional<uint64_t> snapshot_index;
  Time snapshot_sent = absl::InfinitePast();
};

class Replica::Impl {
 public:
  Impl(const Timing& timing, Start start, uint64_t seed, Time now,
       std::function<std::string()> take_snapshot);

  void Receive(NodeId from, const ReplicationMessage& message, Time now);
  void Tick(Time now);
  Time NextTick() const;
  Output TakeOutput();
  std::optional<uint64_t> Propose(std::string payload, Time now);
  bool ProposeMembers(const GroupMembers& members, Time now);
  bool TransferLeadership(Time now);

  Role role() const { return role_; }
  uint64_t term() const { return term_; }
  uint64_t generation() const { return generation_; }
  uint64_t commit_index() const { return commit_index_; }
  const GroupMembers& members() const { return log_.members(); }
  bool MembersChangeUnderWay() const { return log_.members_index() > commit_index_; }
  std::optional<NodeId> leader() const { return leader_; }
  bool LeaderIsReady() const;
  Duration LeaseRemaining(Time now) const;
  Time earlier_lease_ends() const;
  Time LastHeard(NodeId member) const;
  bool IsCaughtUp(NodeId member) const;

 private:
  // Common.
  bool IsSelfVoter() const;
  void SendTo(NodeId to, ReplicationBody body);
  void BecomeFollower(uint64_t term, std::optional<NodeId> leader, Time now);
  Role RoleWithoutLeading() const;
  void ResetElectionDeadline(Time now);
  void NoteSilence(Time now);
  void CompactIfLong();
  std::string SnapshotState() const;

  // Elections.
  void StartPreVote(Time now);
  void StartElection(bool transfer, Time now);
  void AskForVotes(bool pre_vote, bool transfer);
  bool HasMajorityOfGrants() const;
  bool HearsLiveLeader(Time now) const;
  bool IsUpToDate(const VoteRequest& request) const;
  void Handle(NodeId from, const VoteRequest& request, Time now);
  void HandlePreVote(NodeId from, const VoteRequest& request);
  void Handle(NodeId from, const VoteResponse& response, Time now);
  void Handle(NodeId from, const TransferRequest& request, Time now);

  // Following.
  void Handle(NodeId from, const AppendRequest& request, Time now);
  void Handle(NodeId from, const SnapshotRequest& request, Time now);
  bool AcceptLeader(NodeId from, uint64_t term, uint64_t round, Duration earlier, Time now);
  bool PreviousMatches(const AppendRequest& request) const;
  void AppendFromLeader(const std::vector<LogEntry>& entries);

  // Leading.
  void BecomeLeader(Time now);
  void SyncProgressWithMembers();
  uint64_t AppendOwn(EntryKind kind, std::string payload);
  uint64_t BeginRound(Time now);
  void Broadcast(Time now);
  void SendAppend(NodeId to, Progress& progress, Time now);
  void SendSnapshot(NodeId to, Progress& progress, Time now);
  void SendHeartbeatOnly(NodeId to, Time now);
  bool NeedsSnapshot(NodeId member, const Progress& progress, Time now) const;
  void Handle(NodeId from, const AppendResponse& response, Time now);
  void NoteProgress(NodeId from, Progress& progress, const AppendResponse& response, Time now);
  void AdvanceCommit(Time now);
  uint64_t MajorityMatchIndex() const;
  Time MajorityAcknowledgedSent() const;
  void TickAsLeader(Time now);
  Duration EarlierLeaseRemaining(Time now) const;

  const Timing timing_;
  const GroupId group_;
  const uint64_t generation_;
  const NodeDescriptor self_;
  const std::function<std::string()> take_snapshot_;
  std::mt19937_64 random_;

  Role role_ = Role::kIdle;
  uint64_t term_ = 0;
  std::optional<NodeId> voted_for_;
  std::optional<NodeId> leader_;
  Log log_;
  uint64_t commit_index_ = 0;
  /// The last entry handed out in Output.
  uint64_t handed_out_ = 0;
  std::optional<std::string> pending_install_;
  std::vector<OutgoingMessage> outgoing_;

  Time election_deadline_ = absl::InfiniteFuture();
  Time last_leader_contact_ = absl::InfinitePast();
  LeasePromise promise_;
  std::set<NodeId> grants_;

  // As leader.
  std::map<NodeId, Progress> progress_;
  LeaderRounds rounds_;
  Time became_leader_ = absl::InfinitePast();
  Time next_heartbeat_ = absl::InfiniteFuture();
  Time earlier_lease_ends_ = absl::InfiniteFuture();
  Time transfer_until_ = absl::InfinitePast();
  uint64_t leader_start_index_ = 0;
};

}  // namespace ladderstream::replication
