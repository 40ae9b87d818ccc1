// The parts of one node's authority and how they are joined. Internal to this directory.
//
// Every public call sets the time, handles its event, and then advances: what the replica has
// committed is applied, the leader's duties are proposed, timers that are due are run.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "core/authority/founding.h"
#include "core/authority/group_membership.h"
#include "core/authority/leader_duties.h"
#include "core/authority/lease_table.h"
#include "core/authority/node_table.h"
#include "core/authority/ownership_state.h"
#include "core/authority/request_relay.h"
#include "core/authority/state_pull.h"

namespace ladderstream::authority {

class Authority::Impl {
 public:
  Impl(const AuthoritySettings& settings, Time now);

  std::vector<Action> Handle(const Event& event, Time now);
  std::vector<Action> Tick(Time now);
  Time NextTick() const;
  RoutingState routing_state() const;
  Time confirmed_until() const { return confirmation_.Until(); }
  AuthorityStatus status(Time now) const;

 private:
  /// What the one store transaction under way is for.
  enum class StoreUse { kNone, kFounding, kLeader };

  struct PendingPull {
    Time sent;
    /// Whether ownership was asked for, or only the confirmation.
    bool wants_ownership = false;
  };

  // authority_impl.cc: events and the replica. authority_leader.cc: what is named after leading.
  void OnEvent(const MessageArrived& event);
  void OnEvent(const LeaseRequested& event);
  void OnEvent(const CommandProposed& event);
  void OnEvent(const StoreAnswered& event);
  void OnEvent(const PeersDiscovered& event);
  void OnEvent(const LoadObserved& event);
  void OnEvent(const StopRequested& event);
  std::vector<Action> TakeActions();
  void Advance();
  void DrainReplica();
  void ApplyEntry(const LogEntry& entry);
  void FollowLeadership();
  void BeginTerm();
  void EndTerm();
  bool LeadWork();
  void PlanMembership();
  std::vector<MemberCandidate> Candidates() const;
  void HandLeadershipOver();
  void ConfirmSelf();
  void PushChangedGrants();
  void PushTo(const BackendId& backend);
  void CheckStop();
  void StartReplica(replication::Start start);
  /// A newer generation of the group exists: this replica of an older one must not act any more.
  void AbandonReplica(uint64_t newer_generation);
  /// Replicated state is used as soon as it is at least as new as what was pulled.
  bool UsesReplicatedState() const;
  bool IsReadyLeader() const;
  /// Id zero when none is known.
  NodeDescriptor KnownLeader() const;
  NodeDescriptor Describe(NodeId node) const;
  Revision CurrentRevision() const;
  void AddNotice(std::string text);
  uint64_t NextCorrelation() { return ++last_correlation_; }

  // authority_messages.cc: other nodes' messages. authority_requests.cc: leases and proposals.
  void OnMessage(const MessageArrived& event, const ReplicationMessage& message);
  void OnMessage(const MessageArrived& event, const NodeReport& message);
  void OnMessage(const MessageArrived& event, const NodeReportAck& message);
  void OnMessage(const MessageArrived& event, const ForwardedLeaseRequest& message);
  void OnMessage(const MessageArrived& event, const LeaseResponse& message);
  void OnMessage(const MessageArrived& event, const GrantsChanged& message);
  void OnMessage(const MessageArrived& event, const Proposal& message);
  void OnMessage(const MessageArrived& event, const ProposalResult& message);
  void OnMessage(const MessageArrived& event, const StatePull& message);
  void OnMessage(const MessageArrived& event, const StatePullResponse& message);
  template <typename DataPathMessage>
  void OnMessage(const MessageArrived& event, const DataPathMessage& message) {
    // The data path's own messages do not come here.
    static_cast<void>(event);
    static_cast<void>(message);
  }
  void HandleLease(const LeaseRequest& request, uint32_t hops, const RequestOrigin& origin);
  void HandleProposal(const Command& command, uint32_t hops, RequestOrigin origin);
  void AnswerLeaseTo(const RequestOrigin& origin, const LeaseResponse& response);
  void AnswerProposalTo(const RequestOrigin& origin, const ProposalResult& result);
  void PassLeaseOn(RelayedRequest request);
  /// Another leader is known: what waits for an answer or for a leader is sent to it.
  void ResendLeases();
  /// False when there is no leader to pass it to.
  bool PassProposalOn(const Command& command, uint32_t hops, const RequestOrigin& origin);
  RequestOrigin OriginOf(const MessageArrived& event) const;
  void Reply(const MessageArrived& event, PeerBody body);
  void Send(const NodeDescriptor& to, PeerBody body, uint64_t correlation = 0);
  void SendReport();
  NodeReport MakeReport(bool with_load) const;
  bool ReporterMayStop(NodeId reporter) const;
  void SendPull();
  void ExpireRequests();

  // authority_store.cc: the table service.
  void FoundIfDue();
  FoundingView ViewForFounding();
  void OnFoundingAnswer(const StoreAnswered& answer);
  void PollStoreIfDue();
  void OnLeaderAnswer(const StoreAnswered& answer);
  void OnGroupRow(const StoreRow& row);
  void OnConfigurationRow(const StoreRow& row);
  void AddCheckpoint(StoreTransaction& transaction);
  void RunStore(StoreUse use, StoreTransaction transaction);

  const AuthoritySettings settings_;
  Time now_;
  std::vector<Action> actions_;
  std::mt19937_64 random_;
  uint64_t last_correlation_ = 0;

  std::unique_ptr<replication::Replica> replica_;
  Time replica_started_ = absl::InfinitePast();
  /// Replicas of earlier generations are not run (any more).
  uint64_t lowest_generation_ = 1;
  OwnershipState state_;
  ObservedState observed_;
  Confirmation confirmation_;
  NodeTable nodes_;
  Founding founding_;
  RequestRelay relay_;
  std::map<uint64_t, PendingPull> pulls_;
  GrantToken routing_seen_;

  // As leader.
  LeaseTable leases_;
  LeaderDuties duties_;
  uint64_t leading_term_ = 0;
  Time term_began_ = absl::InfinitePast();
  uint64_t planned_index_ = 0;
  bool must_plan_ = false;
  std::map<uint64_t, ProposalWaiter> waiters_;
  std::optional<uint64_t> group_row_version_;
  GroupMembers checkpointed_members_;
  uint64_t leader_writes_ = 0;
  std::vector<NodeDescriptor> founders_;
  Revision proposed_revision_;

  // The leader as others named it, for a node whose replica does not know.
  NodeDescriptor reported_leader_;
  Time leader_acknowledged_ = absl::InfinitePast();
  Time leader_changed_ = absl::InfinitePast();
  NodeId leases_sent_to_;

  LoadObserved load_;
  Time load_observed_ = absl::InfinitePast();
  bool leaving_ = false;
  Time leaving_since_ = absl::InfiniteFuture();
  bool may_stop_ = false;
  uint64_t assignments_changed_ = 0;

  StoreUse store_use_ = StoreUse::kNone;
  uint64_t store_correlation_ = 0;
  Time store_sent_ = absl::InfinitePast();

  Time next_report_;
  Time next_pull_;
  Time next_scan_;
  Time next_poll_;
  Time next_checkpoint_;
  Time next_transfer_;
  Time next_load_report_ = absl::InfinitePast();
};

}  // namespace ladderstream::authority
