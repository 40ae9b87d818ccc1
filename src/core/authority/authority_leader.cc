// What this node does while it leads: terms, planning, membership, grants that changed.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/authority/authority_impl.h"
#include "wire/codec.h"

namespace ladderstream::authority {
namespace {

/// How often the leader looks for expired leases, lost nodes and membership changes.
constexpr Duration kScanInterval = absl::Milliseconds(25);
/// How often a leaving leader asks again for a successor.
constexpr Duration kTransferInterval = absl::Milliseconds(200);

}  // namespace

bool Authority::Impl::IsReadyLeader() const {
  return replica_ != nullptr && replica_->role() == replication::Role::kLeader &&
         replica_->LeaderIsReady();
}

void Authority::Impl::FollowLeadership() {
  const uint64_t term = IsReadyLeader() ? replica_->term() : 0;
  if (term == leading_term_) {
    return;
  }
  if (leading_term_ != 0) {
    EndTerm();
  }
  leading_term_ = term;
  if (term != 0) {
    BeginTerm();
  }
}

void Authority::Impl::BeginTerm() {
  term_began_ = now_;
  planned_index_ = 0;
  must_plan_ = true;
  next_scan_ = now_;
  next_poll_ = now_;
  group_row_version_.reset();
  proposed_revision_ = Revision();
  state_.TakeChangedGrants();
  // Leases of an earlier generation are unknown to this one's voters; they have ended when the
  // longest that the earlier leader could have given has.
  const double drift = 1 + settings_.replication.max_clock_drift;
  const Duration longest = settings_.replication.leader_lease * drift * drift;
  const Time earliest =
      replica_->generation() > 1 ? replica_started_ + longest : absl::InfinitePast();
  leases_.BeginTerm(now_, replica_->earlier_lease_ends(), earliest);
  duties_.BeginTerm(now_, earliest);
  AddNotice(absl::StrCat("leads group ", settings_.group.value(), " in generation ",
                         replica_->generation(), ", term ", replica_->term()));
}

void Authority::Impl::EndTerm() {
  for (const auto& [index, waiter] : waiters_) {
    // The entry may still be committed by the next leader.
    AnswerProposalTo(waiter.origin, {ResultCode::kPeerTimeout, GrantToken()});
  }
  waiters_.clear();
  AddNotice(absl::StrCat("leads group ", settings_.group.value(), " no more"));
}

bool Authority::Impl::LeadWork() {
  if (!IsReadyLeader()) {
    state_.TakeChangedGrants();
    return false;
  }
  PushChangedGrants();
  must_plan_ = leases_.TakeDirty() || must_plan_;
  const bool scan = now_ >= next_scan_;
  if ((!must_plan_ && !scan) || replica_->commit_index() < planned_index_) {
    return false;
  }
  must_plan_ = false;
  if (scan) {
    next_scan_ = now_ + kScanInterval;
    PlanMembership();
    HandLeadershipOver();
  }
  const auto commands = duties_.Plan(state_, leases_, nodes_, leaving_, now_);
  for (const Command& command : commands) {
    planned_index_ = replica_->Propose(Encode(command), now_).value_or(planned_index_);
  }
  return !commands.empty();
}

std::vector<MemberCandidate> Authority::Impl::Candidates() const {
  std::map<NodeId, MemberCandidate> candidates;
  const Time since = now_ - settings_.node_timeout;
  const bool new_leader = term_began_ > since;
  const auto add_member = [&](const NodeDescriptor& node) {
    const NodeId id = node.id;
    const bool live = id == settings_.self.id || new_leader || replica_->LastHeard(id) >= since;
    candidates[id] = {node, live, false, replica_->IsCaughtUp(id)};
  };
  const GroupMembers& members = replica_->members();
  std::for_each(members.voters.begin(), members.voters.end(), add_member);
  std::for_each(members.learners.begin(), members.learners.end(), add_member);
  for (const NodeRecord* node : nodes_.ReportedSince(since)) {
    MemberCandidate& candidate = candidates[node->descriptor.id];
    candidate.node = node->descriptor;
    candidate.live = true;
    candidate.leaving = node->report->leaving;
  }
  candidates[settings_.self.id].node = settings_.self;
  candidates[settings_.self.id].live = true;
  candidates[settings_.self.id].leaving = leaving_;
  std::vector<MemberCandidate> all;
  all.reserve(candidates.size());
  for (auto& [id, candidate] : candidates) {
    all.push_back(std::move(candidate));
  }
  return all;
}

void Authority::Impl::PlanMembership() {
  if (replica_->MembersChangeUnderWay()) {
    return;
  }
  MembershipInput input;
  input.members = replica_->members();
  input.nodes = Candidates();
  input.leader = settings_.self.id;
  input.voter_count = settings_.voter_count;
  if (const auto next = NextMembers(input)) {
    replica_->ProposeMembers(*next, now_);
  }
}

void Authority::Impl::HandLeadershipOver() {
  if (leaving_ && now_ >= next_transfer_) {
    next_transfer_ = now_ + kTransferInterval;
    replica_->TransferLeadership(now_);
  }
}

void Authority::Impl::ConfirmSelf() {
  if (!IsReadyLeader()) {
    return;
  }
  founding_.NoteLeader(now_);
  if (replica_->LeaseRemaining(now_) > absl::ZeroDuration()) {
    confirmation_.Confirm(now_);
  }
}

void Authority::Impl::PushChangedGrants() {
  for (const BackendId& backend : state_.TakeChangedGrants()) {
    PushTo(backend);
  }
}

void Authority::Impl::PushTo(const BackendId& backend) {
  const BackendConfiguration* const configuration = FindBackend(state_.configuration(), backend);
  const BackendRecord* const record = state_.FindBackendRecord(backend);
  if (configuration == nullptr || record == nullptr || !record->admitted) {
    return;
  }
  GrantSet grants = state_.GrantsOf(backend);
  const NodeId home = record->home.id;
  const bool home_answers =
      home != settings_.self.id && nodes_.HeardSince(home, now_ - 2 * settings_.report_interval);
  if (home_answers) {
    Send(record->home, GrantsChanged{backend, std::move(grants)});
  } else {
    actions_.emplace_back(PushGrants{*configuration, std::move(grants)});
  }
}

}  // namespace ladderstream::authority
