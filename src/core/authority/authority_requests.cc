// Lease requests and proposals, from this process or another node, on their way to the leader and
// back.
#include <utility>

#include "core/authority/authority_impl.h"
#include "wire/codec.h"

namespace ladderstream::authority {
namespace {

/// How often a request is passed on at most while nodes disagree about who leads.
constexpr uint32_t kMaxHops = 3;
/// How long a proposal that was passed on waits for its answer.
constexpr Duration kProposalTimeout = absl::Seconds(1);
/// Whether anyone may propose it. The others rest on what the leader alone knows, such as that a
/// lease has ended.
bool IsOperatorCommand(const Command& command) {
  return std::holds_alternative<AdoptConfiguration>(command) ||
         std::holds_alternative<SetDraining>(command) ||
         std::holds_alternative<RevokeShards>(command) ||
         std::holds_alternative<SplitKey>(command) || std::holds_alternative<MergeKey>(command);
}

}  // namespace

void Authority::Impl::HandleLease(const LeaseRequest& request, uint32_t hops,
                                  const RequestOrigin& origin) {
  if (!IsReadyLeader()) {
    const Time deadline = now_ + settings_.backend_lease / 4;
    PassLeaseOn({RequestKind::kLease, origin, deadline, request, hops});
    return;
  }
  if (request.applied_version.generation > replica_->generation()) {
    AbandonReplica(request.applied_version.generation);
    AnswerLeaseTo(origin, LeaseResponse());
    return;
  }
  AnswerLeaseTo(origin, leases_.Answer(request, state_, replica_->LeaseRemaining(now_), now_));
}

void Authority::Impl::HandleProposal(const Command& command, uint32_t hops, RequestOrigin origin) {
  if (!IsReadyLeader()) {
    if (!PassProposalOn(command, hops, origin)) {
      AnswerProposalTo(origin, ProposalResult());
    }
    return;
  }
  if (!IsOperatorCommand(command)) {
    AnswerProposalTo(origin, {ResultCode::kMoveRefused, GrantToken()});
    return;
  }
  const auto index = replica_->Propose(Encode(command), now_);
  if (!index) {
    AnswerProposalTo(origin, ProposalResult());
    return;
  }
  waiters_[*index] = {replica_->term(), std::move(origin)};
}

void Authority::Impl::PassLeaseOn(RelayedRequest request) {
  if (request.hops >= kMaxHops) {
    AnswerLeaseTo(request.origin, LeaseResponse());
    return;
  }
  const NodeDescriptor leader = KnownLeader();
  const ForwardedLeaseRequest message{request.lease, request.hops + 1};
  const uint64_t correlation = NextCorrelation();
  relay_.Add(correlation, std::move(request));
  // Without a leader it waits a moment for the election to end.
  if (leader.id != NodeId() && leader.id != settings_.self.id) {
    Send(leader, message, correlation);
  }
}

void Authority::Impl::ResendLeases() {
  const NodeId leader = IsReadyLeader() ? settings_.self.id : KnownLeader().id;
  const bool usable = leader != NodeId() && (leader != settings_.self.id || IsReadyLeader());
  if (!usable || leader == leases_sent_to_) {
    return;
  }
  leases_sent_to_ = leader;
  for (RelayedRequest& request : relay_.TakeLeases()) {
    if (IsReadyLeader()) {
      HandleLease(request.lease, request.hops, request.origin);
    } else {
      PassLeaseOn(std::move(request));
    }
  }
}

bool Authority::Impl::PassProposalOn(const Command& command, uint32_t hops,
                                     const RequestOrigin& origin) {
  const NodeDescriptor leader = KnownLeader();
  if (hops >= kMaxHops || leader.id == NodeId() || leader.id == settings_.self.id) {
    return false;
  }
  const uint64_t correlation = NextCorrelation();
  relay_.Add(correlation, {RequestKind::kProposal, origin, now_ + kProposalTimeout, {}, 0});
  Send(leader, Proposal{command, hops + 1}, correlation);
  return true;
}

void Authority::Impl::ExpireRequests() {
  for (const RelayedRequest& request : relay_.TakeExpired(now_)) {
    if (request.kind == RequestKind::kLease) {
      AnswerLeaseTo(request.origin, LeaseResponse());
    } else {
      AnswerProposalTo(request.origin, {ResultCode::kPeerTimeout, GrantToken()});
    }
  }
}

void Authority::Impl::AnswerLeaseTo(const RequestOrigin& origin, const LeaseResponse& response) {
  if (origin.peer) {
    actions_.emplace_back(SendMessage{*origin.peer, origin.correlation, true, response});
  } else {
    actions_.emplace_back(AnswerLease{origin.correlation, response});
  }
}

void Authority::Impl::AnswerProposalTo(const RequestOrigin& origin, const ProposalResult& result) {
  if (origin.peer) {
    actions_.emplace_back(SendMessage{*origin.peer, origin.correlation, true, result});
  } else {
    actions_.emplace_back(AnswerCommand{origin.correlation, result});
  }
}

RequestOrigin Authority::Impl::OriginOf(const MessageArrived& event) const {
  return {event.correlation, Describe(event.from)};
}

}  // namespace ladderstream::authority
