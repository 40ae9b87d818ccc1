// Pre-votes, votes and the transfer of leadership.
#include <algorithm>
#include <utility>

#include "core/replication/members.h"
#include "core/replication/replica_impl.h"

namespace ladderstream::replication {

void Replica::Impl::StartPreVote(Time now) {
  role_ = Role::kPreCandidate;
  leader_.reset();
  ResetElectionDeadline(now);
  grants_ = {self_.id};
  if (HasMajorityOfGrants()) {
    StartElection(false, now);
    return;
  }
  AskForVotes(true, false);
}

void Replica::Impl::StartElection(bool transfer, Time now) {
  role_ = Role::kCandidate;
  leader_.reset();
  ++term_;
  voted_for_ = self_.id;
  ResetElectionDeadline(now);
  grants_ = {self_.id};
  earlier_lease_ends_ = promise_.until();
  if (HasMajorityOfGrants()) {
    BecomeLeader(now);
    return;
  }
  AskForVotes(false, transfer);
}

void Replica::Impl::AskForVotes(bool pre_vote, bool transfer) {
  VoteRequest request;
  request.term = pre_vote ? term_ + 1 : term_;
  request.last_log_term = log_.last_term();
  request.last_log_index = log_.last_index();
  request.pre_vote = pre_vote;
  request.leadership_transfer = transfer;
  for (const NodeDescriptor& voter : members().voters) {
    if (voter.id != self_.id) {
      SendTo(voter.id, request);
    }
  }
}

bool Replica::Impl::HasMajorityOfGrants() const {
  const size_t count = std::count_if(grants_.begin(), grants_.end(),
                                     [&](NodeId id) { return IsVoter(members(), id); });
  return count >= MajorityOf(members());
}

bool Replica::Impl::HearsLiveLeader(Time now) const {
  if (role_ == Role::kLeader) {
    return LeaseRemaining(now) > absl::ZeroDuration();
  }
  return last_leader_contact_ + timing_.election_timeout_min > now;
}

bool Replica::Impl::IsUpToDate(const VoteRequest& request) const {
  return std::pair(request.last_log_term, request.last_log_index) >=
         std::pair(log_.last_term(), log_.last_index());
}

void Replica::Impl::Handle(NodeId from, const VoteRequest& request, Time now) {
  if (HearsLiveLeader(now) && !request.leadership_transfer) {
    return;
  }
  if (request.pre_vote) {
    HandlePreVote(from, request);
    return;
  }
  if (request.term > term_) {
    BecomeFollower(request.term, std::nullopt, now);
  }
  VoteResponse response;
  response.term = term_;
  const bool is_free = !voted_for_ || *voted_for_ == from;
  response.granted = request.term == term_ && is_free && IsUpToDate(request);
  if (response.granted) {
    voted_for_ = from;
    ResetElectionDeadline(now);
    response.promise_remaining = promise_.Remaining(now);
  }
  SendTo(from, response);
}

void Replica::Impl::HandlePreVote(NodeId from, const VoteRequest& request) {
  VoteResponse response;
  response.pre_vote = true;
  response.granted = request.term > term_ && IsUpToDate(request);
  response.term = response.granted ? request.term : term_;
  SendTo(from, response);
}

void Replica::Impl::Handle(NodeId from, const VoteResponse& response, Time now) {
  if (response.pre_vote) {
    if (role_ != Role::kPreCandidate) {
      return;
    }
    if (!response.granted && response.term > term_) {
      BecomeFollower(response.term, std::nullopt, now);
    } else if (response.granted && response.term == term_ + 1) {
      grants_.insert(from);
      if (HasMajorityOfGrants()) {
        StartElection(false, now);
      }
    }
    return;
  }
  if (response.term > term_) {
    BecomeFollower(response.term, std::nullopt, now);
    return;
  }
  if (role_ != Role::kCandidate || response.term != term_ || !response.granted) {
    return;
  }
  grants_.insert(from);
  promise_.Include(now, response.promise_remaining);
  earlier_lease_ends_ = promise_.until();
  if (HasMajorityOfGrants()) {
    BecomeLeader(now);
  }
}

void Replica::Impl::Handle(NodeId from, const TransferRequest& request, Time now) {
  if (request.term == term_ && leader_ == from && IsSelfVoter() && role_ == Role::kFollower) {
    StartElection(true, now);
  }
}

bool Replica::Impl::TransferLeadership(Time now) {
  if (role_ != Role::kLeader) {
    return false;
  }
  if (now < transfer_until_) {
    return true;
  }
  for (const auto& [id, progress] : progress_) {
    const bool is_current = progress.match_index == log_.last_index();
    const bool was_heard = progress.last_heard + timing_.election_timeout_min > now;
    if (is_current && was_heard && IsVoter(members(), id)) {
      transfer_until_ = now + timing_.election_timeout_min;
      SendTo(id, TransferRequest{term_});
      return true;
    }
  }
  return false;
}

}  // namespace ladderstream::replication
