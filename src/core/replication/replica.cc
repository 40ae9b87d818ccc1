#include "core/replication/replica.h"

#include <utility>

#include "core/replication/members.h"
#include "core/replication/replica_impl.h"

namespace ladderstream::replication {
namespace {

/// Founders begin behind a snapshot of the initial state, so that joiners are always sent it.
constexpr uint64_t kFoundingIndex = 1;
constexpr uint64_t kFoundingTerm = 1;

}  // namespace

Replica::Impl::Impl(const Timing& timing, Start start, uint64_t seed, Time now,
                    std::function<std::string()> take_snapshot)
    : timing_(timing),
      group_(start.group),
      generation_(start.generation),
      self_(start.self),
      take_snapshot_(std::move(take_snapshot)),
      random_(seed),
      log_(start.founding ? kFoundingIndex : 0, start.founding ? kFoundingTerm : 0, start.members),
      promise_(timing),
      rounds_(timing) {
  commit_index_ = log_.base_index();
  handed_out_ = log_.base_index();
  if (!start.founding) {
    return;
  }
  term_ = kFoundingTerm;
  role_ = RoleWithoutLeading();
  if (!start.initial_state.empty()) {
    pending_install_ = std::move(start.initial_state);
  }
  ResetElectionDeadline(now);
  if (IsSelfVoter() && MajorityOf(members()) == 1) {
    election_deadline_ = now;
  }
}

void Replica::Impl::Receive(NodeId from, const ReplicationMessage& message, Time now) {
  if (message.group != group_ || message.generation != generation_ || from == self_.id) {
    return;
  }
  std::visit([&](const auto& body) { Handle(from, body, now); }, message.body);
  CompactIfLong();
}

void Replica::Impl::Tick(Time now) {
  if (role_ == Role::kLeader) {
    TickAsLeader(now);
  } else if (now >= election_deadline_) {
    NoteSilence(now);
  }
  CompactIfLong();
}

Time Replica::Impl::NextTick() const {
  if (role_ == Role::kLeader) {
    return next_heartbeat_;
  }
  return IsSelfVoter() || leader_ ? election_deadline_ : absl::InfiniteFuture();
}

void Replica::Impl::NoteSilence(Time now) {
  if (IsSelfVoter()) {
    StartPreVote(now);
  } else {
    leader_.reset();  // So that the caller does not take this state for a current one.
  }
}

Output Replica::Impl::TakeOutput() {
  Output output;
  output.install_snapshot = std::exchange(pending_install_, std::nullopt);
  while (handed_out_ < commit_index_) {
    const LogEntry& entry = log_.At(++handed_out_);
    if (entry.kind == EntryKind::kCommand) {
      output.committed.push_back(entry);
    }
  }
  output.messages = std::exchange(outgoing_, {});
  return output;
}

bool Replica::Impl::IsSelfVoter() const { return IsVoter(members(), self_.id); }

void Replica::Impl::SendTo(NodeId to, ReplicationBody body) {
  const NodeDescriptor* known = FindMember(members(), to);
  NodeDescriptor target;
  target.id = to;
  if (known != nullptr) {
    target = *known;
  }
  outgoing_.push_back({std::move(target), {group_, generation_, std::move(body)}});
}

void Replica::Impl::BecomeFollower(uint64_t term, std::optional<NodeId> leader, Time now) {
  if (term > term_) {
    term_ = term;
    voted_for_.reset();
  }
  leader_ = leader;
  grants_.clear();
  progress_.clear();
  rounds_.Clear();
  earlier_lease_ends_ = absl::InfiniteFuture();
  role_ = RoleWithoutLeading();
  ResetElectionDeadline(now);
}

Role Replica::Impl::RoleWithoutLeading() const {
  if (IsSelfVoter()) {
    return Role::kFollower;
  }
  return IsLearner(members(), self_.id) ? Role::kLearner : Role::kIdle;
}

void Replica::Impl::ResetElectionDeadline(Time now) {
  std::uniform_real_distribution<double> share(0, 1);
  const Duration spread = timing_.election_timeout_max - timing_.election_timeout_min;
  election_deadline_ = now + timing_.election_timeout_min + spread * share(random_);
}

void Replica::Impl::CompactIfLong() {
  if (log_.size() <= timing_.max_log_entries || pending_install_) {
    return;
  }
  // Half is kept, so that a member slightly behind needs no snapshot.
  const uint64_t keep = timing_.max_log_entries / 2;
  if (handed_out_ > log_.base_index() + keep) {
    log_.CompactTo(std::min(handed_out_, log_.last_index() - keep));
  }
}

std::string Replica::Impl::SnapshotState() const {
  return pending_install_ ? *pending_install_ : take_snapshot_();
}

// The public face.

Replica::Replica(const Timing& timing, Start start, uint64_t seed, Time now,
                 std::function<std::string()> take_snapshot)
    : impl_(std::make_unique<Impl>(timing, std::move(start), seed, now, std::move(take_snapshot))) {
}
Replica::~Replica() = default;

void Replica::Receive(NodeId from, const ReplicationMessage& message, Time now) {
  impl_->Receive(from, message, now);
}
void Replica::Tick(Time now) { impl_->Tick(now); }
Time Replica::NextTick() const { return impl_->NextTick(); }
Output Replica::TakeOutput() { return impl_->TakeOutput(); }
std::optional<uint64_t> Replica::Propose(std::string payload, Time now) {
  return impl_->Propose(std::move(payload), now);
}
bool Replica::ProposeMembers(const GroupMembers& members, Time now) {
  return impl_->ProposeMembers(members, now);
}
bool Replica::TransferLeadership(Time now) { return impl_->TransferLeadership(now); }
Role Replica::role() const { return impl_->role(); }
uint64_t Replica::term() const { return impl_->term(); }
uint64_t Replica::generation() const { return impl_->generation(); }
uint64_t Replica::commit_index() const { return impl_->commit_index(); }
const GroupMembers& Replica::members() const { return impl_->members(); }
bool Replica::MembersChangeUnderWay() const { return impl_->MembersChangeUnderWay(); }
std::optional<NodeId> Replica::leader() const { return impl_->leader(); }
bool Replica::LeaderIsReady() const { return impl_->LeaderIsReady(); }
Duration Replica::LeaseRemaining(Time now) const { return impl_->LeaseRemaining(now); }
Time Replica::earlier_lease_ends() const { return impl_->earlier_lease_ends(); }
Time Replica::LastHeard(NodeId member) const { return impl_->LastHeard(member); }
bool Replica::IsCaughtUp(NodeId member) const { return impl_->IsCaughtUp(member); }

}  // namespace ladderstream::replication
