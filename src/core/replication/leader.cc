// The leader's duties: rounds, replication to the members, commitment, membership changes.
#include <algorithm>
#include <utility>

#include "core/replication/members.h"
#include "core/replication/replica_impl.h"
#include "wire/codec.h"

namespace ladderstream::replication {
namespace {

/// A snapshot that was not answered is sent again after so many heartbeats.
constexpr int kSnapshotRetryHeartbeats = 5;
/// A learner may lag by so many entries and still be made a voter.
constexpr uint64_t kCaughtUpEntries = 16;

}  // namespace

void Replica::Impl::BecomeLeader(Time now) {
  role_ = Role::kLeader;
  leader_ = self_.id;
  became_leader_ = now;
  transfer_until_ = absl::InfinitePast();
  rounds_.Clear();
  progress_.clear();
  SyncProgressWithMembers();
  leader_start_index_ = AppendOwn(EntryKind::kLeaderStart, "");
  Broadcast(now);
  AdvanceCommit(now);
}

void Replica::Impl::SyncProgressWithMembers() {
  std::erase_if(progress_,
                [&](const auto& item) { return FindMember(members(), item.first) == nullptr; });
  for (const auto* nodes : {&members().voters, &members().learners}) {
    for (const NodeDescriptor& node : *nodes) {
      if (node.id != self_.id && !progress_.contains(node.id)) {
        progress_[node.id].next_index = log_.last_index() + 1;
      }
    }
  }
}

uint64_t Replica::Impl::AppendOwn(EntryKind kind, std::string payload) {
  const uint64_t index = log_.last_index() + 1;
  log_.Append({term_, index, kind, std::move(payload)});
  return index;
}

std::optional<uint64_t> Replica::Impl::Propose(std::string payload, Time now) {
  if (role_ != Role::kLeader || now < transfer_until_) {
    return std::nullopt;
  }
  const uint64_t index = AppendOwn(EntryKind::kCommand, std::move(payload));
  Broadcast(now);
  AdvanceCommit(now);
  return index;
}

bool Replica::Impl::ProposeMembers(const GroupMembers& members, Time now) {
  if (role_ != Role::kLeader || !LeaderIsReady() || MembersChangeUnderWay() ||
      now < transfer_until_ || members.voters.empty() ||
      VotersChanged(log_.members(), members) > 1) {
    return false;
  }
  AppendOwn(EntryKind::kMembers, Encode(members));
  const auto removed = std::exchange(progress_, {});
  for (const auto& [id, progress] : removed) {
    if (FindMember(members, id) != nullptr) {
      progress_[id] = progress;
    }
  }
  SyncProgressWithMembers();
  for (auto& [id, progress] : progress_) {
    if (!removed.contains(id)) {
      progress.next_index = 1;  // A newcomer begins with a snapshot.
    }
  }
  Broadcast(now);
  AdvanceCommit(now);
  return true;
}

void Replica::Impl::Broadcast(Time now) {
  BeginRound(now);
  for (auto& [id, progress] : progress_) {
    SendAppend(id, progress, now);
  }
  next_heartbeat_ = now + timing_.heartbeat_interval;
}

uint64_t Replica::Impl::BeginRound(Time now) {
  // The leader's own acknowledgement counts towards its majority, so it promises like any voter.
  promise_.Renew(now, EarlierLeaseRemaining(now));
  return rounds_.Begin(now);
}

Duration Replica::Impl::EarlierLeaseRemaining(Time now) const {
  return std::max(earlier_lease_ends_ - now, absl::ZeroDuration());
}

bool Replica::Impl::NeedsSnapshot(NodeId member, const Progress& progress, Time now) const {
  if (progress.next_index <= log_.base_index()) {
    return true;
  }
  // A learner that does not know us cannot answer: only a snapshot tells it who we are.
  const Time patience = became_leader_ + kSnapshotRetryHeartbeats * timing_.heartbeat_interval;
  return progress.last_heard == absl::InfinitePast() && now > patience &&
         IsLearner(members(), member);
}

void Replica::Impl::SendAppend(NodeId to, Progress& progress, Time now) {
  const Duration retry = kSnapshotRetryHeartbeats * timing_.heartbeat_interval;
  if (progress.snapshot_index && now < progress.snapshot_sent + retry) {
    SendHeartbeatOnly(to, now);
    return;
  }
  if (progress.snapshot_index || NeedsSnapshot(to, progress, now)) {
    SendSnapshot(to, progress, now);
    return;
  }
  AppendRequest request;
  request.term = term_;
  request.previous_index = progress.next_index - 1;
  request.previous_term = *log_.TermAt(request.previous_index);
  request.commit_index = commit_index_;
  request.round = BeginRound(now);
  request.earlier_lease_remaining = EarlierLeaseRemaining(now);
  request.entries = log_.Slice(progress.next_index);
  progress.next_index += request.entries.size();
  SendTo(to, std::move(request));
}

void Replica::Impl::SendHeartbeatOnly(NodeId to, Time now) {
  AppendRequest request;
  request.term = term_;
  request.previous_index = log_.last_index();
  request.previous_term = log_.last_term();
  request.commit_index = commit_index_;
  request.round = BeginRound(now);
  request.earlier_lease_remaining = EarlierLeaseRemaining(now);
  SendTo(to, std::move(request));
}

void Replica::Impl::SendSnapshot(NodeId to, Progress& progress, Time now) {
  SnapshotRequest request;
  request.term = term_;
  request.round = BeginRound(now);
  request.last_index = handed_out_;
  request.last_term = *log_.TermAt(handed_out_);
  request.members = log_.MembersAt(handed_out_);
  request.state = SnapshotState();
  request.earlier_lease_remaining = EarlierLeaseRemaining(now);
  progress.snapshot_index = handed_out_;
  progress.snapshot_sent = now;
  progress.next_index = handed_out_ + 1;
  SendTo(to, std::move(request));
}

void Replica::Impl::Handle(NodeId from, const AppendResponse& response, Time now) {
  if (response.term > term_) {
    BecomeFollower(response.term, std::nullopt, now);
    return;
  }
  const auto found = progress_.find(from);
  if (role_ != Role::kLeader || response.term < term_ || found == progress_.end()) {
    return;
  }
  NoteProgress(from, found->second, response, now);
  AdvanceCommit(now);
}

void Replica::Impl::NoteProgress(NodeId from, Progress& progress, const AppendResponse& response,
                                 Time now) {
  progress.last_heard = now;
  progress.acknowledged_sent = std::max(progress.acknowledged_sent, rounds_.SentAt(response.round));
  if (!response.success) {
    if (!progress.snapshot_index) {
      progress.next_index =
          std::clamp(response.match_index, progress.match_index + 1, log_.last_index() + 1);
      SendAppend(from, progress, now);
    }
    return;
  }
  progress.match_index = std::max(progress.match_index, response.match_index);
  if (progress.snapshot_index && progress.match_index >= *progress.snapshot_index) {
    progress.snapshot_index.reset();
  }
  progress.next_index = std::max(progress.next_index, progress.match_index + 1);
  if (progress.next_index <= log_.last_index() && !progress.snapshot_index) {
    SendAppend(from, progress, now);
  }
}

uint64_t Replica::Impl::MajorityMatchIndex() const {
  std::vector<uint64_t> matches;
  for (const NodeDescriptor& voter : members().voters) {
    const auto found = progress_.find(voter.id);
    matches.push_back(voter.id == self_.id ? log_.last_index() : found->second.match_index);
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  return matches[matches.size() / 2];
}

void Replica::Impl::AdvanceCommit(Time now) {
  const uint64_t index = MajorityMatchIndex();
  if (index <= commit_index_ || log_.TermAt(index) != term_) {
    return;
  }
  commit_index_ = index;
  if (!IsSelfVoter() && !MembersChangeUnderWay()) {
    Broadcast(now);  // Tells the others of the commitment before leaving.
    BecomeFollower(term_, std::nullopt, now);
  }
}

bool Replica::Impl::LeaderIsReady() const {
  return role_ == Role::kLeader && commit_index_ >= leader_start_index_;
}

Time Replica::Impl::MajorityAcknowledgedSent() const {
  std::vector<Time> moments;
  for (const NodeDescriptor& voter : members().voters) {
    const auto found = progress_.find(voter.id);
    moments.push_back(voter.id == self_.id ? rounds_.newest() : found->second.acknowledged_sent);
  }
  return ReachedByMajority(std::move(moments));
}

Duration Replica::Impl::LeaseRemaining(Time now) const {
  if (role_ != Role::kLeader) {
    return absl::ZeroDuration();
  }
  return std::max(LeaseEnd(timing_, MajorityAcknowledgedSent()) - now, absl::ZeroDuration());
}

Time Replica::Impl::earlier_lease_ends() const {
  return role_ == Role::kLeader ? earlier_lease_ends_ : absl::InfiniteFuture();
}

void Replica::Impl::TickAsLeader(Time now) {
  const Time newest = std::max(MajorityAcknowledgedSent(), became_leader_);
  if (LeaseEnd(timing_, newest) <= now && MajorityOf(members()) > 1) {
    BecomeFollower(term_, std::nullopt, now);
    return;
  }
  if (now >= next_heartbeat_) {
    Broadcast(now);
  }
}

Time Replica::Impl::LastHeard(NodeId member) const {
  const auto found = progress_.find(member);
  return found == progress_.end() ? absl::InfinitePast() : found->second.last_heard;
}

bool Replica::Impl::IsCaughtUp(NodeId member) const {
  const auto found = progress_.find(member);
  if (found == progress_.end() || found->second.snapshot_index) {
    return false;
  }
  const uint64_t match = found->second.match_index;
  return match > 0 && match + kCaughtUpEntries >= log_.last_index();
}

}  // namespace ladderstream::replication
