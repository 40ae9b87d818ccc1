// The parts of a Coordinator and how they work together. Used only by the coordinator's own files:
//   coordinator.cc          events in, actions out, when to wake
//   coordinator_lease.cc    the lease: challenge, take over, renew, step down
//   coordinator_commits.cc  changes of owners and fences, from proposal to store
//   coordinator_moves.cc    what should move, releases, waiting silent owners out
//   coordinator_orders.cc   grants and releases, and their answers
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
  void OnBackendEnded(const std::string& backend, Time now);
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
    /// The newest confirmed write of the lease row is this node's. The lease may have lapsed.
    kHolder,
    /// Has given the lease up, and never takes it again.
    kResigned,
  };

  /// An earlier owner whose hold was waited out. A grant that it never answered may still reach it;
  /// the release is repeated so that it refuses one.
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
    /// As in the store, and which rows hold it.
    AssignmentTable committed;
    ServiceRows rows{""};
    /// No row and no proposal yet.
    bool unpartitioned = false;
    Time unpartitioned_since = absl::InfinitePast();
    /// A node was asked for its keys.
    bool has_requests = false;
    std::unique_ptr<partition::Partitioner> partitioner;
    Time partition_due = absl::InfinitePast();
    /// Not asked sooner than this, also when something is urgent.
    Time partition_not_before = absl::InfinitePast();
    Time merge_due = absl::InfinitePast();
    std::vector<RepeatedRelease> repeated_releases;
  };

  struct OrderCandidate {
    int urgency = 0;
    Time due;
    ServiceState* service = nullptr;
    /// Null for a lingering release, which then is `lingering`.
    const RangeState* state = nullptr;
    RepeatedRelease* repeated_release = nullptr;
  };

  // coordinator.cc

  /// Does everything that is due.
  void Advance(Time now);
  /// Advances before actions are taken next. Many answers come in one turn of the event loop, and a
  /// look at all ranges for each would cost more than the machine has.
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
  /// Reads the lease row among the rows read; empty when there is none. False: unreadable.
  bool FindLeaseRow(std::optional<LeaseRow>* lease, store::RowVersion* version);
  void UpdateMapFromRows(const std::optional<LeaseRow>& lease);
  void Challenge(const std::optional<LeaseRow>& lease, store::RowVersion version, Time now);
  void OnChainOutcome(const ChainOutcome& outcome, const store::StoreReply& reply, Time now);
  void OnWriteFailed(const std::string& detail, Time now);
  void TakeOver(const LeaseAttempt& attempt, Time now);
  ServiceState& AddService(const std::string& name);
  void AdoptService(const std::string& name, const StoredService& stored, Time now);
  /// Nobody knows who owns these keys: only waiting helps.
  void WaitOutUnreadable(ServiceState& service, const KeyRange& range, Time now);
  void StepDown(std::string_view event, std::string detail, Time now);
  /// Sends the next write of the chain if one is due and none is in flight.
  void WriteStep(Time now);
  bool WriteDue(Time now) const;
  void ReportLeaseValidity(Time now);
  void RenewIfStoreDegraded(Time now);
  /// Gives whether the lease was given up.
  bool ResignIfDone(Time now);
  Time StandbyWake() const;

  // coordinator_commits.cc

  Fence NextFence();
  /// Changes that are ready, as many as one transaction takes; `rows` gets what they write.
  std::vector<OwnershipChange> CollectChanges(Time now, std::map<std::string, std::string>* rows);
  void CollectChanges(ServiceState& service, Time now, std::vector<OwnershipChange>* changes);
  /// The rows that `changes`, which are in order of services, write.
  std::map<std::string, std::string> EncodeRows(const std::vector<OwnershipChange>& changes) const;
  bool HasReadyChanges(Time now) const;
  bool IsReady(const ServiceState& service, const RangeState& state, Time now) const;
  void ApplyCommitted(const LeaseAttempt& attempt, Time now);
  /// The store refused a transaction for what it holds: it is never sent again as it is.
  void OnCommitRejected(const LeaseAttempt& attempt, const std::string& detail, Time now);
  /// Leaves a change that no transaction can hold alone for a while.
  void DeferChange(const OwnershipChange& change, Time now);
  void ApplyChange(ServiceState& service, const OwnershipChange& change, Time now);
  void MergeFencesIfSettled(ServiceState& service, Time now);
  bool IsSettled(const ServiceState& service, Time now) const;
  bool KeepsAllOwners(const ServiceState& service) const;

  // coordinator_moves.cc

  void EnsureServices(Time now);
  void ReportUnresponsiveBackends(Time now);
  void MarkBackendEnded(const std::string& backend, Time now);
  void FinishReleases(ServiceState& service, Time now);
  Time WaitOutEnd(const RangeState& state) const;
  /// No back end holds the range any more.
  void OnReleased(ServiceState& service, RangeState& state, Time now);
  void RunPartitioner(ServiceState& service, Time now);
  /// `under_way` counts the planned moves.
  void ApplyProposal(ServiceState& service, const partition::ProposedMove& move, Time now,
                     size_t* under_way);
  void StartMove(ServiceState& service, RangeState& state, const std::string& to, Time now);
  void MarkMoving(RangeState& state, Time now);
  bool IsBusy(const RangeState& state) const;
  /// Whether a commit begun now may stay unanswered for long. Keys that were released for it would
  /// be without an owner until then, so moves that are not needed wait.
  bool CommitsInDoubt(Time now) const;
  /// Tells so once, until a write is confirmed.
  void ReportMovesDeferred(Time now);
  size_t CountMoves(const ServiceState& service) const;
  /// Moves whose owner might as well keep its keys. Keys of owners that are lost wait for seconds
  /// without an order or a commit; counted among the moves under way, those of 16 lost owners would
  /// stop all balancing until their holds end, when the others need it most.
  size_t CountPlannedMoves(const ServiceState& service) const;
  void ListMoves(const ServiceState& service, Assignments* view, std::vector<KeyRange>* busy) const;
  std::set<std::string> OwnersOf(const ServiceState& service) const;
  void RunPartitionerSoon(ServiceState& service, Time now);
  void RunAllPartitionersSoon(Time now);

  // coordinator_orders.cc

  void SendOrders(Time now);
  void CollectOrders(ServiceState& service, Time now, std::vector<OrderCandidate>* candidates);
  bool MayGrant(const RangeState& state) const;
  /// Gives whether an order was sent.
  bool SendOrder(const OrderCandidate& candidate, Time now);
  void SendGrant(ServiceState& service, RangeState& state, const Endpoint& address, Time now);
  void SendRelease(ServiceState& service, const std::string& backend, const Endpoint& address,
                   const KeyRange& range, Fence fence, Time now);
  Duration RenewalInterval(Time now) const;
  /// For how long a grant sent now may hold.
  Duration HoldOf(Time now) const;
  /// The longest that a grant sent at the very end of a lease may hold.
  Duration LastHold() const;
  /// Holds are cut short by the end of the lease.
  bool LeaseEnds(Time now) const;
  size_t CountRanges() const;
  /// A successor's owners have not all been asked yet to go on.
  bool AwaitsFirstRenewals(const ServiceState& service, Time now) const;
  bool StoreDegraded(Time now) const;
  void GiveUpOrders(Time now);
  void OnGrantReply(const Order& order, const OrderReply& reply, Time now);
  void OnGrantDone(ServiceState& service, const Order& order, Time now);
  void OnGrantFenced(ServiceState& service, const Order& order, Time now);
  void OnGrantFailed(ServiceState& service, const Order& order, OrderStatus status, Time now);
  void OnReleaseReply(const Order& order, const OrderReply& reply, Time now);
  void OnBackendAnswered(const std::string& backend, Time now);
  ServiceState* FindService(const std::string& name);
  void RenewAll(Time now);

  const CoordinatorSettings settings_;
  const NodeIdentity self_;
  Role role_ = Role::kStandby;
  std::vector<Action> actions_;
  CallId last_call_ = 0;
  Time next_wake_ = absl::InfiniteFuture();
  std::optional<Time> advance_due_;

  // What is known from others.
  bool has_catalog_ = false;
  std::set<std::string> listed_;
  BackendDirectory directory_;
  Time backends_changed_at_ = absl::InfinitePast();
  OwnershipMap map_;
  /// What was published last is not what holds now.
  bool map_changed_ = false;

  // The lease.
  HolderWatch watch_;
  LeaseChain chain_;
  /// The read in flight.
  std::optional<CallId> read_call_;
  Time read_sent_;
  std::vector<store::Row> read_rows_;
  /// This node challenges, and its write is not settled.
  bool challenging_ = false;
  uint64_t challenge_epoch_ = 0;
  /// Since when this node has known the version of the lease row that it challenges; InfinitePast
  /// when nobody ever held the lease, so that there is no predecessor to wait for.
  Time challenged_known_since_ = absl::InfinitePast();
  /// After a failure the next write waits until then.
  Time write_not_before_ = absl::InfinitePast();
  Duration write_backoff_ = absl::ZeroDuration();
  bool lapse_reported_ = false;
  bool renewed_for_degraded_store_ = false;
  bool moves_deferred_reported_ = false;
  bool write_failure_reported_ = false;
  /// Smaller after the store refused a transaction for what it held.
  CommitLimits commit_limits_;
  std::optional<Time> resign_by_;

  // While holding.
  uint64_t epoch_ = 0;
  Time took_over_at_ = absl::InfinitePast();
  /// The predecessor may go on granting and confirming its map while its own lease runs.
  Time predecessor_until_ = absl::InfinitePast();
  uint64_t fences_drawn_ = 0;
  uint64_t sequence_ = 0;
  std::map<std::string, ServiceState> services_;
  OrderBook orders_;
  /// Orders that were due in the last step, and were left for the next one.
  bool orders_deferred_ = false;
  /// Back ends with orders that wait for an answer to an earlier one.
  std::set<std::string, std::less<>> blocked_;
};

}  // namespace ladderstream::ownership
