// What a leader's messages change at a voter or learner.
#include <algorithm>

#include "core/replication/members.h"
#include "core/replication/replica_impl.h"

namespace ladderstream::replication {

bool Replica::Impl::AcceptLeader(NodeId from, uint64_t term, uint64_t round, Duration earlier,
                                 Time now) {
  if (term < term_) {
    AppendResponse refusal;
    refusal.term = term_;
    refusal.round = round;
    SendTo(from, refusal);
    return false;
  }
  BecomeFollower(term, from, now);
  last_leader_contact_ = now;
  promise_.Renew(now, earlier);
  return true;
}

void Replica::Impl::Handle(NodeId from, const AppendRequest& request, Time now) {
  if (!AcceptLeader(from, request.term, request.round, request.earlier_lease_remaining, now)) {
    return;
  }
  AppendResponse response;
  response.term = term_;
  response.round = request.round;
  response.success = PreviousMatches(request);
  if (response.success) {
    AppendFromLeader(request.entries);
    response.match_index = request.previous_index + request.entries.size();
    commit_index_ = std::max(commit_index_, std::min(request.commit_index, response.match_index));
  } else {
    // Committed entries match the leader's log for sure; those behind them may not.
    const bool is_short = log_.last_index() < request.previous_index;
    response.match_index = (is_short ? log_.last_index() : commit_index_) + 1;
  }
  SendTo(from, response);
}

bool Replica::Impl::PreviousMatches(const AppendRequest& request) const {
  if (request.previous_index < log_.base_index()) {
    return true;  // Behind the snapshot: committed, so it matches.
  }
  return log_.TermAt(request.previous_index) == request.previous_term;
}

void Replica::Impl::AppendFromLeader(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (entry.index <= log_.base_index()) {
      continue;
    }
    if (const auto held = log_.TermAt(entry.index)) {
      if (*held == entry.term) {
        continue;
      }
      log_.TruncateFrom(entry.index);
    }
    log_.Append(entry);
  }
  role_ = RoleWithoutLeading();
}

void Replica::Impl::Handle(NodeId from, const SnapshotRequest& request, Time now) {
  if (!AcceptLeader(from, request.term, request.round, request.earlier_lease_remaining, now)) {
    return;
  }
  if (request.last_index > commit_index_) {
    log_.Reset(request.last_index, request.last_term, request.members);
    commit_index_ = request.last_index;
    handed_out_ = request.last_index;
    pending_install_ = request.state;
    role_ = RoleWithoutLeading();
  }
  AppendResponse response;
  response.term = term_;
  response.round = request.round;
  response.success = true;
  response.match_index = request.last_index;
  SendTo(from, response);
}

}  // namespace ladderstream::replication
