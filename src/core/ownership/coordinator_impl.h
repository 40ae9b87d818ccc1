// Implementation of Coordinator. Included only by the coordinator's own files:
//   coordinator.cc          event handlers, actions, wake-up times
//   coordinator_lease.cc    the lease: challenge, take over, renew, step down
//   coordinator_commits.cc  changes of owners and fences, from proposal to store
//   coordinator_moves.cc    choice of moves, releases, waiting out unresponsive owners
//   coordinator_orders.cc   grants and releases, and their answers
//   coordinator_ends.cc     owners that may have ended: how they are asked, what answers mean
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/ownership/backend_directory.h"
#include "core/ownership/coordinator.h"
#include "core/ownership/holder_watch.h"
#include "core/ownership/lease_chain.h"
#include "core/ownership/order_book.h"
#include "core/ownership/ownership_rows.h"
#include "core/ownership/range_table.h"
#include "core/ownership/service_rows.h"
#include "core/partition/partitioner.h"

namespace ladderstream::ownership {

class Coordinator::Impl {
 public:
  Impl(const CoordinatorSettings& settings, const NodeIdentity& self);

  void OnCatalog(const std::vector<catalog::Service>& sharded_services,
                 const catalog::BackendChanges& changes, Time now);
  void OnHeartbeat(const LeaseView& view, Time now);
  void OnCoordinatorEnded(uint64_t incarnation, Time now);
  void OnLoad(const std::string& service, const std::vector<partition::KeyCount>& counts,
              const std::vector<partition::ServiceTimeSample>& samples, Time now);
  void OnOwnerDeclined(const std::string& service, const std::string& backend, Duration backoff,
                       Time now);
  void SetRateLimits(const std::map<std::string, double>& limits, Time now) {
    directory_.SetRateLimits(limits, now);
  }
  void OnNotOwner(const std::string& service, Key key, Time now);
  void OnStoreReply(CallId call, const store::StoreReply& reply, Time now);
  void OnOrderReply(CallId call, const OrderReply& reply, Time now);
  void OnTick(Time now) { Advance(now); }
  void Resign(Time now);

  std::vector<Action> TakeActions();
  Time NextWake() const { return advance_due_ ? *advance_due_ : next_wake_; }
  bool Holds(Time now) const { return role_ == Role::kHolder && chain_.Valid(now); }
  Time LeaseUntil() const {
    return role_ == Role::kHolder ? chain_.confirmed_sent() + settings_.lease
                                  : absl::InfinitePast();
  }
  LeaseView View() const;
  const std::optional<LeaseView>& KnownHolder() const { return watch_.holder(); }
  const OwnershipMap& Map() const { return map_; }

 private:
  enum class Role {
    kStandby,
    /// The newest confirmed write of the lease row is this node's. The lease may have expired.
    kHolder,
    /// Has given up the lease and never acquires it again.
    kResigned,
  };

  /// Release of an earlier owner whose hold was waited out. An unanswered grant may still reach
  /// that owner; the release is repeated so that the owner rejects such a grant.
  struct RepeatedRelease {
    std::string backend;
    KeyRange range;
    Fence fence = 0;
    Time due;
    Time until;
  };

  struct ServiceState {
    std::string name;
    RangeTable table;
    /// Assignments in the store, and the rows that hold them.
    AssignmentTable committed;
    ServiceRows rows{""};
    /// The service has neither a stored row nor a proposal yet.
    bool unpartitioned = false;
    Time unpartitioned_since = absl::InfinitePast();
    /// A node has received requests for keys of this service.
    bool has_requests = false;
    std::unique_ptr<partition::Partitioner> partitioner;
    Time partition_due = absl::InfinitePast();
    /// The partitioner does not run sooner than this, even for an urgent change.
    Time partition_not_before = absl::InfinitePast();
    /// Until then the partitioner waits for an owner that is asked if it still runs.
    Time answer_awaited_until = absl::InfinitePast();
    Time merge_due = absl::InfinitePast();
    std::vector<RepeatedRelease> repeated_releases;
  };

  struct OrderCandidate {
    int urgency = 0;
    Time due;
    ServiceState* service = nullptr;
    /// Null for a repeated release, which `repeated_release` then points to.
    const RangeState* state = nullptr;
    RepeatedRelease* repeated_release = nullptr;
  };

  // coordinator.cc

  /// Performs all due work.
  void Advance(Time now);
  /// Schedules Advance for the next TakeActions. One turn of the event loop delivers many answers;
  /// scanning all ranges for each of them would take too much processor time.
  void AdvanceSoon(Time now) { advance_due_ = now; }
  void ForgetUnneededBackends();
  void HolderStep(Time now);
  void HoldAndMove(Time now);
  void PublishIfChanged();
  Time ComputeWake(Time now) const;
  Time HolderWake(Time now) const;
  Time ServiceWake(const ServiceState& service, Time now) const;
  void ReportStateChange(std::string_view event, std::string detail);
  CallId NextCall() { return ++last_call_; }
  bool IsListed(const std::string& service) const { return listed_.contains(service); }

  // coordinator_lease.cc

  void StandbyStep(Time now);
  void StartRead(const std::string& from_key, Time now);
  void OnRead(const store::StoreReply& reply, Time now);
  void OnRowsRead(Time now);
  void ReadFailed(Time now);
  /// Decodes the lease row among the rows read; `lease` stays empty when there is none. Returns
  /// false if the row is unreadable.
  bool FindLeaseRow(std::optional<LeaseRow>* lease, store::RowVersion* version);
  void UpdateMapFromRows(const std::optional<LeaseRow>& lease);
  void Challenge(const std::optional<LeaseRow>& lease, store::RowVersion version, Time now);
  void OnChainOutcome(const ChainOutcome& outcome, const store::StoreReply& reply, Time now);
  void OnWriteFailed(const std::string& detail, Time now);
  void TakeOver(const LeaseAttempt& attempt, Time now);
  ServiceState& AddService(const std::string& name);
  void AdoptService(const std::string& name, const StoredService& stored, Time now);
  /// Waits for the end of every hold in `range`, whose owner is unknown as its row is unreadable.
  void WaitOutUnreadable(ServiceState& service, const KeyRange& range, Time now);
  void StepDown(std::string_view event, std::string detail, Time now);
  /// Sends the next write of the chain if one is due and none is in flight.
  void WriteStep(Time now);
  bool WriteDue(Time now) const;
  void ReportLeaseValidity(Time now);
  void RenewIfStoreDegraded(Time now);
  /// Returns whether the lease was given up.
  bool ResignIfDone(Time now);
  Time StandbyWake() const;

  // coordinator_commits.cc

  Fence NextFence();
  /// Returns the ready changes that fit into one transaction, and sets `rows` to the rows they
  /// write.
  std::vector<OwnershipChange> CollectChanges(Time now, std::map<std::string, std::string>* rows);
  void CollectChanges(ServiceState& service, Time now, std::vector<OwnershipChange>* changes);
  /// Returns the rows that `changes`, sorted by service, write.
  std::map<std::string, std::string> EncodeRows(const std::vector<OwnershipChange>& changes) const;
  bool HasReadyChanges(Time now) const;
  bool IsReady(const ServiceState& service, const RangeState& state, Time now) const;
  void ApplyCommitted(const LeaseAttempt& attempt, Time now);
  /// Handles a transaction that the store rejected for its content; it is never resent unchanged.
  void OnCommitRejected(const LeaseAttempt& attempt, const std::string& detail, Time now);
  /// Delays a change that the store rejects even when it is sent alone.
  void DeferChange(const OwnershipChange& change, Time now);
  void ApplyChange(ServiceState& service, const OwnershipChange& change, Time now);
  void MergeFencesIfSettled(ServiceState& service, Time now);
  bool IsSettled(const ServiceState& service, Time now) const;
  bool KeepsAllOwners(const ServiceState& service) const;

  // coordinator_moves.cc

  void EnsureServices(Time now);
  void ReportUnresponsiveBackends(Time now);
  void FinishReleases(ServiceState& service, Time now);
  Time WaitOutEnd(const RangeState& state) const;
  /// Advances the move of a range that no back end holds any more.
  void OnReleased(ServiceState& service, RangeState& state, Time now);
  void RunPartitioner(ServiceState& service, Time now);
  /// `under_way` is the number of planned moves and is updated.
  void ApplyProposal(ServiceState& service, const partition::ProposedMove& move, Time now,
                     size_t* under_way);
  void StartMove(ServiceState& service, RangeState& state, const std::string& to, Time now);
  void MarkMoving(RangeState& state, Time now);
  bool IsBusy(const RangeState& state) const;
  /// Returns whether a commit begun now may stay unanswered for long. Keys released for it would
  /// have no owner until it is answered, so optional moves are deferred.
  bool CommitsInDoubt(Time now) const;
  /// Reports deferred moves, at most once until a write is confirmed.
  void ReportMovesDeferred(Time now);
  size_t CountMoves(const ServiceState& service) const;
  /// Returns the number of moves whose current owner could keep its keys. Keys of lost owners wait
  /// for seconds without an order or a commit. If they counted, 16 lost owners would stop all
  /// balancing until their holds end, when the remaining owners need it most.
  size_t CountPlannedMoves(const ServiceState& service) const;
  void ListMoves(const ServiceState& service, Assignments* view, std::vector<KeyRange>* busy) const;
  std::set<std::string> OwnersOf(const ServiceState& service) const;
  void RunPartitionerSoon(ServiceState& service, Time now);
  void RunAllPartitionersSoon(Time now);

  // coordinator_orders.cc

  void SendOrders(Time now);
  void CollectOrders(ServiceState& service, Time now, std::vector<OrderCandidate>* candidates);
  bool MayGrant(const RangeState& state) const;
  /// Returns whether an order was sent.
  bool SendOrder(const OrderCandidate& candidate, Time now);
  void SendGrant(ServiceState& service, RangeState& state, const Endpoint& address, Time now);
  void SendRelease(ServiceState& service, const std::string& backend, const Endpoint& address,
                   const KeyRange& range, Fence fence, Time now);
  Duration RenewalInterval(Time now) const;
  /// Returns the hold of a grant sent now.
  Duration HoldOf(Time now) const;
  /// Returns when a grant that was sent and not answered may be taken at the latest, but for the
  /// slack: it leaves within that, and its connection is reset when its time-out is over. A back
  /// end that stands still may take it later; the release under the next fence ends such a hold.
  Time LatestArrival(Time sent) const;
  /// Returns the longest hold of a grant sent at the very end of a lease.
  Duration LastHold() const;
  /// Returns whether holds granted now are shortened by the end of the lease.
  bool LeaseEnds(Time now) const;
  size_t CountRanges() const;
  /// Returns whether this node acquired the lease recently and some owners have not yet answered
  /// its first grants.
  bool AwaitsFirstRenewals(const ServiceState& service, Time now) const;
  bool StoreDegraded(Time now) const;
  void HandleTimedOutOrders(Time now);
  void OnGrantReply(const Order& order, const OrderReply& reply, Time now);
  void OnGrantDone(ServiceState& service, const Order& order, Time now);
  void OnGrantFenced(ServiceState& service, const Order& order, Time now);
  void OnGrantFailed(ServiceState& service, const Order& order, OrderStatus status, Time now);
  void OnReleaseReply(const Order& order, const OrderReply& reply, Time now);
  void OnBackendAnswered(const Order& order, Time now);
  ServiceState* FindService(const std::string& name);
  void RenewAll(Time now);

  // coordinator_ends.cc

  /// Sends orders at once to the owners among `replaced`; the answers tell whether they still run.
  void AskReplacedOwners(const std::vector<ReplacedBackend>& replaced, Time now);
  /// Returns whether the back end owns keys of the service and so is asked.
  bool AskOwner(ServiceState& service, const ReplacedBackend& replaced, Time now);
  /// Lets the partitioners run at once if every owner that was asked has answered.
  void OnQuestionAnswered(Time now);
  /// Handles the answer of another instance at the address of an order's back end.
  void OnOtherInstance(const Order& order, Time now);
  /// Marks the incarnations as ended that the order's back end, which has answered, has replaced.
  void EndEarlierIncarnations(const Order& order, Time now);
  /// `observed` is the send time of the order whose answer is the evidence.
  void MarkBackendEnded(const std::string& backend, Time observed, const std::string& evidence,
                        Time now);

  const CoordinatorSettings settings_;
  const NodeIdentity self_;
  Role role_ = Role::kStandby;
  std::vector<Action> actions_;
  CallId last_call_ = 0;
  Time next_wake_ = absl::InfiniteFuture();
  std::optional<Time> advance_due_;

  // Input from the catalog, and the current map.
  bool has_catalog_ = false;
  std::set<std::string> listed_;
  BackendDirectory directory_;
  Time backends_changed_at_ = absl::InfinitePast();
  OwnershipMap map_;
  /// The current state differs from the map last published.
  bool map_changed_ = false;

  // The lease.
  HolderWatch watch_;
  LeaseChain chain_;
  /// The read in flight.
  std::optional<CallId> read_call_;
  Time read_sent_;
  std::vector<store::Row> read_rows_;
  /// This node has challenged the lease, and the outcome of its write is unknown.
  bool challenging_ = false;
  uint64_t challenge_epoch_ = 0;
  /// Time at which this node first saw the version of the lease row that it challenges;
  /// InfinitePast when the lease was never held, so that there is no predecessor to wait for.
  Time challenged_known_since_ = absl::InfinitePast();
  /// Earliest time of the next write after a failure.
  Time write_not_before_ = absl::InfinitePast();
  Duration write_backoff_ = absl::ZeroDuration();
  bool expiry_reported_ = false;
  bool renewed_for_degraded_store_ = false;
  bool moves_deferred_reported_ = false;
  bool write_failure_reported_ = false;
  /// Reduced after the store rejected a transaction for its content.
  CommitLimits commit_limits_;
  std::optional<Time> resign_by_;

  // While holding.
  uint64_t epoch_ = 0;
  Time took_over_at_ = absl::InfinitePast();
  /// Latest expiry of the predecessor's lease; until then it may grant keys and confirm its map.
  Time predecessor_until_ = absl::InfinitePast();
  uint64_t fences_drawn_ = 0;
  uint64_t sequence_ = 0;
  std::map<std::string, ServiceState> services_;
  OrderBook orders_;
  /// The last step left due orders for the next one.
  bool orders_deferred_ = false;
  /// Back ends whose due orders wait for the answer to an earlier one.
  std::set<std::string, std::less<>> blocked_;
};

}  // namespace ladderstream::ownership
