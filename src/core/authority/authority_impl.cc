#include "core/authority/authority_impl.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace ladderstream::authority {
namespace {

/// Rounds of committing and planning within one call; a single voter commits at once.
constexpr int kMaxRounds = 16;

}  // namespace

Authority::Impl::Impl(const AuthoritySettings& settings, Time now)
    : settings_(settings),
      now_(now),
      random_(settings.seed),
      confirmation_(settings),
      nodes_(settings.self),
      founding_(settings, now),
      leases_(settings),
      duties_(settings),
      next_report_(now),
      next_pull_(now),
      next_scan_(now),
      next_poll_(now),
      next_checkpoint_(now),
      next_transfer_(now) {}

std::vector<Action> Authority::Impl::Handle(const Event& event, Time now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& one) { OnEvent(one); }, event);
  Advance();
  return TakeActions();
}

std::vector<Action> Authority::Impl::Tick(Time now) {
  now_ = std::max(now_, now);
  if (replica_ != nullptr) {
    replica_->Tick(now_);
  }
  Advance();
  if (now_ >= next_report_) {
    SendReport();
  }
  if (now_ >= next_pull_) {
    SendPull();
  }
  ExpireRequests();
  FoundIfDue();
  PollStoreIfDue();
  CheckStop();
  return TakeActions();
}

std::vector<Action> Authority::Impl::TakeActions() { return std::exchange(actions_, {}); }

Time Authority::Impl::NextTick() const {
  Time next = std::min({next_report_, next_pull_, relay_.NextDeadline()});
  if (replica_ != nullptr) {
    next = std::min(next, replica_->NextTick());
  }
  if (IsReadyLeader()) {
    next = std::min({next, next_scan_, next_poll_});
  } else {
    next = std::min(next, founding_.NextRead());
  }
  return next;
}

void Authority::Impl::OnEvent(const MessageArrived& event) {
  nodes_.NoteHeard(event.from, now_);
  std::visit([&](const auto& message) { OnMessage(event, message); }, event.body);
}

void Authority::Impl::OnEvent(const PeersDiscovered& event) {
  nodes_.NoteListing(event.peers, now_);
}

void Authority::Impl::OnEvent(const LoadObserved& event) {
  load_ = event;
  load_observed_ = now_;
}

void Authority::Impl::OnEvent(const StopRequested& /*event*/) {
  if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now_;
    next_report_ = now_;
    must_plan_ = true;
  }
}

void Authority::Impl::Advance() {
  for (int round = 0; round < kMaxRounds; ++round) {
    DrainReplica();
    FollowLeadership();
    if (!LeadWork()) {
      break;
    }
  }
  ResendLeases();
  ConfirmSelf();
  const GrantToken routing =
      UsesReplicatedState() ? state_.routing_changed_at() : observed_.version();
  if (routing != routing_seen_) {
    routing_seen_ = routing;
    actions_.emplace_back(RoutingChanged{});
  }
}

void Authority::Impl::DrainReplica() {
  if (replica_ == nullptr) {
    return;
  }
  replication::Output output = replica_->TakeOutput();
  if (output.install_snapshot && !output.install_snapshot->empty()) {
    state_.Restore(*output.install_snapshot);
    must_plan_ = true;
  }
  for (const LogEntry& entry : output.committed) {
    ApplyEntry(entry);
  }
  for (replication::OutgoingMessage& message : output.messages) {
    Send(message.to, std::move(message.message));
  }
}

void Authority::Impl::ApplyEntry(const LogEntry& entry) {
  const GrantToken token{replica_->generation(), entry.term, entry.index};
  const auto command = Decode<Command>(entry.payload);
  const ResultCode result = state_.Apply(token, command);
  must_plan_ = true;
  if (const auto* admitted = std::get_if<AdmitBackend>(&command)) {
    leases_.NoteAdmitted(admitted->backend, now_);
  } else if (const auto* expired = std::get_if<ExpireBackend>(&command)) {
    leases_.NoteExpired(expired->backend);
  } else if (const auto* assigned = std::get_if<AssignShards>(&command)) {
    assignments_changed_ += assigned->items.size();
  }
  const auto waiter = waiters_.find(entry.index);
  if (waiter != waiters_.end()) {
    const bool own = waiter->second.term == entry.term;
    const ProposalResult answer{own ? result : ResultCode::kPeerTimeout, token};
    AnswerProposalTo(waiter->second.origin, answer);
    waiters_.erase(waiter);
  }
}

void Authority::Impl::CheckStop() {
  if (!leaving_ || may_stop_) {
    return;
  }
  const bool others = !nodes_.ReportedSince(now_ - settings_.node_timeout).empty();
  const bool leads_alone = IsReadyLeader() && !others;
  const bool knows_nobody = replica_ == nullptr && KnownLeader().id == NodeId();
  if ((leads_alone || knows_nobody) && now_ >= leaving_since_ + settings_.node_timeout) {
    may_stop_ = true;
    actions_.emplace_back(MayStop{});
  }
}

void Authority::Impl::StartReplica(replication::Start start) {
  replica_started_ = now_;
  lowest_generation_ = start.generation;
  founders_ = start.founding ? start.members.voters : std::vector<NodeDescriptor>();
  replica_ =
      std::make_unique<replication::Replica>(settings_.replication, std::move(start), random_(),
                                             now_, [this] { return state_.TakeSnapshot(); });
}

void Authority::Impl::AbandonReplica(uint64_t newer_generation) {
  if (replica_ != nullptr) {
    AddNotice(absl::StrCat("leaves generation ", replica_->generation(), ": generation ",
                           newer_generation, " exists"));
    if (UsesReplicatedState()) {
      observed_.Apply(AnswerPull({}, state_, absl::InfiniteDuration()));
    }
    replica_.reset();
    FollowLeadership();
    state_ = OwnershipState();
  }
  lowest_generation_ = std::max(lowest_generation_, newer_generation);
}

bool Authority::Impl::UsesReplicatedState() const {
  // A generation that began from a checkpoint may lack revisions that were in force here. Until its
  // leader has adopted them again from the table service, what was observed stays in force.
  return replica_ != nullptr && state_.version() >= observed_.version() &&
         state_.configuration().revision >= observed_.configuration().revision;
}

NodeDescriptor Authority::Impl::Describe(NodeId node) const {
  if (node == settings_.self.id) {
    return settings_.self;
  }
  if (replica_ != nullptr) {
    for (const NodeDescriptor& voter : replica_->members().voters) {
      if (voter.id == node) {
        return voter;
      }
    }
  }
  if (const NodeRecord* const record = nodes_.Find(node)) {
    return record->descriptor;
  }
  NodeDescriptor unknown;
  unknown.id = node;
  return unknown;
}

NodeDescriptor Authority::Impl::KnownLeader() const {
  if (replica_ != nullptr && replica_->leader()) {
    NodeDescriptor leader = Describe(*replica_->leader());
    if (leader.peer.port != 0) {
      return leader;
    }
  }
  const bool fresh = leader_acknowledged_ >= now_ - settings_.node_timeout;
  return fresh ? reported_leader_ : NodeDescriptor();
}

Revision Authority::Impl::CurrentRevision() const {
  return UsesReplicatedState() ? state_.configuration().revision
                               : observed_.configuration().revision;
}

void Authority::Impl::AddNotice(std::string text) {
  actions_.emplace_back(Notice{std::move(text)});
}

RoutingState Authority::Impl::routing_state() const {
  RoutingState routing;
  if (UsesReplicatedState()) {
    routing.configuration = state_.configuration();
    routing.homes = state_.Homes();
    for (const auto& [shard, assignment] : state_.assignments()) {
      routing.assignments.push_back(assignment);
    }
  } else {
    routing = observed_.ToRoutingState();
  }
  routing.confirmed_until = confirmation_.Until();
  return routing;
}

AuthorityStatus Authority::Impl::status(Time now) const {
  AuthorityStatus status;
  if (replica_ != nullptr) {
    status.role = replica_->role();
    status.generation = replica_->generation();
    status.term = replica_->term();
    status.commit_index = replica_->commit_index();
    status.members = replica_->members();
  }
  status.leader = KnownLeader();
  status.revision = CurrentRevision();
  status.confirmed_age = confirmation_.Age(now);
  if (IsReadyLeader()) {
    status.nodes = nodes_.ReportsSince(now - settings_.node_timeout);
  }
  status.assignments_changed = assignments_changed_;
  return status;
}

}  // namespace ladderstream::authority
