// Messages from other nodes, this node's reports and pulls.
#include <algorithm>
#include <utility>

#include "core/authority/authority_impl.h"
#include "wire/codec.h"

namespace ladderstream::authority {
namespace {

/// Peers asked at once by a node that knows no leader.
constexpr size_t kDiscoveryPeers = 6;
/// Of a node's shards, the busiest that one report names.
constexpr size_t kReportedShards = 16;
/// A leader that has not acknowledged for so many report intervals may be lost: others are asked.
constexpr double kSuspicion = 2.2;
/// How often, and for how long, a node pulls after it learned of another leader: ownership is then
/// likely to change.
constexpr Duration kQuickPullInterval = absl::Milliseconds(100);
constexpr Duration kQuickPullPeriod = absl::Seconds(3);
/// Loads change slowly and take room: they go along with a report this often.
constexpr Duration kLoadReportInterval = absl::Seconds(1);
/// Load seen longer ago than this is not reported any more.
constexpr Duration kLoadAge = absl::Seconds(3);
/// Nodes not heard for this long are forgotten.
constexpr Duration kForgetNodes = absl::Minutes(1);
/// Pulls remembered while they are unanswered.
constexpr size_t kMaxPendingPulls = 8;
/// Known by nobody: asks for the confirmation alone.
constexpr GrantToken kNewestToken{UINT64_MAX, UINT64_MAX, UINT64_MAX};

}  // namespace

void Authority::Impl::OnMessage(const MessageArrived& event, const ReplicationMessage& message) {
  if (message.group != settings_.group || message.generation < lowest_generation_) {
    return;
  }
  if (replica_ != nullptr && message.generation > replica_->generation()) {
    AbandonReplica(message.generation);
  }
  if (replica_ == nullptr) {
    const bool from_leader = std::holds_alternative<AppendRequest>(message.body) ||
                             std::holds_alternative<SnapshotRequest>(message.body);
    if (!from_leader) {
      return;
    }
    replication::Start start;
    start.group = settings_.group;
    start.generation = message.generation;
    start.self = settings_.self;
    StartReplica(std::move(start));
  }
  replica_->Receive(event.from, message, now_);
}

void Authority::Impl::OnMessage(const MessageArrived& event, const NodeReport& message) {
  const bool newcomer = !nodes_.HeardSince(message.node.id, now_ - settings_.node_timeout);
  nodes_.NoteReport(message, now_);
  NodeReportAck ack;
  ack.from_leader = IsReadyLeader();
  if (!ack.from_leader) {
    ack.leader = KnownLeader();
  } else if (newcomer) {
    ack.leader = settings_.self;
  } else {
    // Who reports regularly knows the rest.
    ack.leader.id = settings_.self.id;
  }
  ack.may_stop = ack.from_leader && message.leaving && ReporterMayStop(message.node.id);
  Reply(event, std::move(ack));
}

bool Authority::Impl::ReporterMayStop(NodeId reporter) const {
  const auto is_reporter = [reporter](const NodeDescriptor& node) { return node.id == reporter; };
  const GroupMembers& members = replica_->members();
  const bool is_member = std::any_of(members.voters.begin(), members.voters.end(), is_reporter) ||
                         std::any_of(members.learners.begin(), members.learners.end(), is_reporter);
  const auto& backends = state_.backends();
  const bool is_home = std::any_of(backends.begin(), backends.end(), [reporter](const auto& item) {
    return item.second.home.id == reporter;
  });
  return !is_member && !is_home && !replica_->MembersChangeUnderWay();
}

void Authority::Impl::OnMessage(const MessageArrived& event, const NodeReportAck& message) {
  if (message.leader.id == NodeId()) {
    return;
  }
  founding_.NoteLeader(now_);
  if (message.leader.peer.port != 0) {
    nodes_.NoteDescriptor(message.leader);
  }
  if (message.from_leader) {
    const NodeDescriptor leader = Describe(event.from);
    if (leader.peer.port != 0) {
      if (leader.id != reported_leader_.id) {
        leader_changed_ = now_;
        next_pull_ = now_;
      }
      reported_leader_ = leader;
      leader_acknowledged_ = now_;
    }
  } else if (KnownLeader().id == NodeId() && message.leader.id != settings_.self.id) {
    // Asked at once; it counts as known only when it answers itself.
    Send(message.leader, MakeReport(false), NextCorrelation());
  }
  if (message.may_stop && leaving_ && !may_stop_) {
    may_stop_ = true;
    actions_.emplace_back(MayStop{});
  }
}

void Authority::Impl::OnMessage(const MessageArrived& event, const ForwardedLeaseRequest& message) {
  HandleLease(message.request, message.hops, OriginOf(event));
}

void Authority::Impl::OnMessage(const MessageArrived& event, const LeaseResponse& message) {
  const auto request = relay_.Take(event.correlation);
  if (request && request->kind == RequestKind::kLease) {
    AnswerLeaseTo(request->origin, message);
  }
}

void Authority::Impl::OnMessage(const MessageArrived& /*event*/, const GrantsChanged& message) {
  const Configuration& configuration =
      UsesReplicatedState() ? state_.configuration() : observed_.configuration();
  if (const BackendConfiguration* backend = FindBackend(configuration, message.backend)) {
    actions_.emplace_back(PushGrants{*backend, message.grants});
  }
}

void Authority::Impl::OnMessage(const MessageArrived& event, const Proposal& message) {
  HandleProposal(message.command, message.hops, OriginOf(event));
}

void Authority::Impl::OnMessage(const MessageArrived& event, const ProposalResult& message) {
  const auto request = relay_.Take(event.correlation);
  if (request && request->kind == RequestKind::kProposal) {
    AnswerProposalTo(request->origin, message);
  }
}

void Authority::Impl::OnMessage(const MessageArrived& event, const StatePull& message) {
  if (replica_ == nullptr) {
    // An observer passes nothing on: it could vouch for the revision but not for ownership.
    StatePullResponse nothing;
    nothing.ownership_version = message.known_ownership;
    Reply(event, std::move(nothing));
    return;
  }
  Reply(event, AnswerPull(message, state_, confirmation_.Age(now_)));
}

void Authority::Impl::OnMessage(const MessageArrived& event, const StatePullResponse& message) {
  const auto pull = pulls_.find(event.correlation);
  if (pull == pulls_.end()) {
    return;
  }
  const PendingPull pending = pull->second;
  pulls_.erase(pull);
  if (pending.wants_ownership) {
    observed_.Apply(message);
  }
  if (message.confirmed_age < absl::InfiniteDuration() && CurrentRevision() >= message.revision) {
    const double drift = 1 + settings_.replication.max_clock_drift;
    confirmation_.Confirm(pending.sent - message.confirmed_age * drift);
  }
}

void Authority::Impl::OnEvent(const LeaseRequested& event) {
  HandleLease(event.request, 0, {event.correlation, std::nullopt});
}

void Authority::Impl::OnEvent(const CommandProposed& event) {
  HandleProposal(event.command, 0, {event.correlation, std::nullopt});
}

void Authority::Impl::Reply(const MessageArrived& event, PeerBody body) {
  actions_.emplace_back(
      SendMessage{Describe(event.from), event.correlation, true, std::move(body)});
}

void Authority::Impl::Send(const NodeDescriptor& to, PeerBody body, uint64_t correlation) {
  actions_.emplace_back(SendMessage{to, correlation, false, std::move(body)});
}

NodeReport Authority::Impl::MakeReport(bool with_load) const {
  NodeReport report;
  report.node = settings_.self;
  report.revision_in_force = CurrentRevision();
  report.leaving = leaving_;
  if (with_load && now_ - load_observed_ <= kLoadAge) {
    report.backends = load_.backends;
    report.shards = load_.shards;
    const auto busier = [](const ShardLoad& left, const ShardLoad& right) {
      return left.rate > right.rate;
    };
    std::sort(report.shards.begin(), report.shards.end(), busier);
    report.shards.resize(std::min(report.shards.size(), kReportedShards));
  }
  return report;
}

void Authority::Impl::SendReport() {
  next_report_ = now_ + settings_.report_interval;
  nodes_.SetSelfReport(MakeReport(true));
  nodes_.ForgetBefore(now_ - kForgetNodes);
  if (IsReadyLeader()) {
    return;
  }
  const NodeDescriptor leader = KnownLeader();
  if (leader.id != NodeId() && leader.id != settings_.self.id) {
    const bool with_load = now_ >= next_load_report_;
    if (with_load) {
      next_load_report_ = now_ + kLoadReportInterval;
    }
    Send(leader, MakeReport(with_load), NextCorrelation());
    const bool suspected = leader_acknowledged_ < now_ - kSuspicion * settings_.report_interval;
    if (!suspected) {
      return;
    }
  }
  for (const NodeDescriptor& peer : nodes_.Sample(kDiscoveryPeers, random_)) {
    Send(peer, MakeReport(false), NextCorrelation());
  }
}

void Authority::Impl::SendPull() {
  const bool quick = !UsesReplicatedState() && now_ - leader_changed_ < kQuickPullPeriod;
  next_pull_ = now_ + (quick ? kQuickPullInterval : settings_.pull_interval);
  const NodeDescriptor leader = KnownLeader();
  if (IsReadyLeader() || leader.id == NodeId() || leader.id == settings_.self.id) {
    return;
  }
  // A replica that hears no leader may have been removed from the group: it asks like any other
  // node.
  PendingPull pull{now_, !UsesReplicatedState() || !replica_->leader()};
  StatePull request;
  request.known_revision =
      pull.wants_ownership ? observed_.configuration().revision : CurrentRevision();
  request.known_ownership = pull.wants_ownership ? observed_.version() : kNewestToken;
  if (pulls_.size() >= kMaxPendingPulls) {
    pulls_.erase(pulls_.begin());
  }
  const uint64_t correlation = NextCorrelation();
  pulls_.emplace(correlation, pull);
  Send(leader, request, correlation);
}

}  // namespace ladderstream::authority
