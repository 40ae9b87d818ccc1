// Cluster membership: which nodes take part, which one coordinates, and the exchange between the
// coordinator and the others (reports, heartbeats, the ownership map and how long it may be used).
//
// A deterministic state machine: events and time in, actions out; no I/O, no thread, no clock. A
// map or row that is older than the one held is never adopted.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <variant>
#include <vector>

#include "core/allowance/permits.h"
#include "core/membership/limit_exchange.h"
#include "core/membership/map_exchange.h"
#include "core/membership/member_table.h"
#include "core/membership/messages.h"
#include "core/membership/sent_reports.h"
#include "core/membership/snapshot_exchange.h"
#include "core/membership/suspect_exchange.h"
#include "core/membership/table_relay.h"
#include "core/membership/transit_clock.h"
#include "core/membership/whole_copies.h"
#include "core/store/table_follower.h"
#include "wire/time.h"

namespace ladderstream::membership {

struct MembershipSettings {
  /// Addresses known from the start; they may be stale.
  std::vector<Endpoint> seeds;
  Duration shortest_report_interval = absl::Milliseconds(300);
  /// Limit of reports per second of all nodes together, as far as the longest interval allows.
  double reports_per_second = 200;
  /// Shorter than the time one report confirms a map for, so that the next report is in time.
  Duration longest_report_interval = absl::Milliseconds(1500);
  /// Other nodes are asked for a successor when the coordinator was unresponsive for this long.
  Duration coordinator_timeout = absl::Seconds(1);
  Duration member_lifetime = absl::Seconds(3);
  /// A changed list of members and a changed map are pushed to all nodes at most once in this time
  /// multiplied by the number of members; the first change after a pause is pushed at once.
  Duration members_interval_per_member = absl::Milliseconds(10);
  Duration push_interval_per_member = absl::Milliseconds(2);
  /// An answered report confirms the map for at most this, counted from its send.
  Duration confirmation = absl::Milliseconds(3000);
  /// A pushed heartbeat confirms the map for at most this, because its send time is unknown.
  Duration pushed_confirmation = absl::Milliseconds(600);
  /// An answered report confirms the list of members for this, counted from its send.
  Duration members_confirmation = absl::Seconds(2);
  /// The list is not confirmed in this last part of the coordinator's lease: another node may
  /// coordinate by then, and nodes that rely on either list would send to cold back ends. It is the
  /// part of the lease after the time at which a coordinator that does not renew is challenged.
  Duration members_lease_reserve = absl::ZeroDuration();
  /// Subtracted from every confirmation.
  Duration confirmation_margin = absl::Milliseconds(100);
  /// Limit of the counts of keys, and of back ends, that all nodes together report in one interval.
  /// Each node may report at least `min_reported_counts`.
  size_t reported_counts = 16'384;
  size_t min_reported_counts = 16;
  SnapshotSettings snapshot = {};
  RelaySettings relay = {};
  /// Seed of the jitter and of the choice of the node to ask first.
  uint64_t seed = 0;
};

/// Send `message` to each of `to`. Reports may be dropped when too much is queued.
struct SendAction {
  std::vector<Destination> to;
  Message message;
};
/// A report to the coordinator is due: call SendReport with the loads since the last one.
struct ReportDueAction {};
/// The coordinator sent a heartbeat: input of Coordinator::OnHeartbeat.
struct HeartbeatReceivedAction {
  ownership::LeaseView lease;
};
/// The coordinator resigned or its process ended: input of Coordinator::OnCoordinatorEnded.
struct CoordinatorEndedAction {
  uint64_t incarnation = 0;
};
/// A newer map was adopted.
struct MapChangedAction {
  std::shared_ptr<const ownership::OwnershipMap> map;
};
/// The held map may be used until this time; a time in the past forbids its use.
struct MapConfirmedAction {
  Time until;
};
struct MembersChangedAction {
  /// This node included.
  uint32_t count = 0;
};
/// The list of members is current and may be relied upon until this time.
struct MembersConfirmedAction {
  Time until;
};
/// At the coordinator: loads and refused connections observed by another node.
struct ReportReceivedAction {
  PeerIdentity sender;
  std::vector<LoadReport> loads;
  std::vector<std::string> refused_backends;
};
/// Another node reported requests that crash back ends: input of CrashSuspects::Merge.
struct SuspectsReceivedAction {
  std::vector<quarantine::SuspectRecord> suspects;
  /// They are all that were held before this node started.
  bool are_all = false;
};
/// Another node reported limits of back ends: input of Dispatcher::OnLimitsReceived.
struct LimitsReceivedAction {
  std::vector<allowance::LimitRecord> limits;
};
/// Another node requests permits; answer with SendPermitAnswer.
struct PermitRequestedAction {
  Destination from;
  allowance::PermitQuestion question;
};
/// The answer to a permit request of this node.
struct PermitAnsweredAction {
  allowance::PermitReply reply;
};
/// Rows of another node were merged into a follower.
struct TablesMergedAction {};
/// At the coordinator: watches had not reported a change that the store's version showed, and are
/// sent anew.
struct WatchesRestartedAction {};
using MembershipAction =
    std::variant<SendAction, ReportDueAction, HeartbeatReceivedAction, CoordinatorEndedAction,
                 MapChangedAction, MapConfirmedAction, MembersChangedAction, MembersConfirmedAction,
                 ReportReceivedAction, SuspectsReceivedAction, LimitsReceivedAction,
                 PermitRequestedAction, PermitAnsweredAction, TablesMergedAction,
                 WatchesRestartedAction>;

class Membership {
 public:
  /// The followers outlive this.
  Membership(MembershipSettings settings, PeerIdentity self, store::TableFollower* configuration,
             store::TableFollower* backends);

  /// Handles a message received on a connection of the transport. Relayed orders and requests are
  /// not its concern and are ignored.
  void OnMessage(uint64_t connection, Message message, Time now);
  /// Reports that connecting to `address` failed. `refused`: no process listens there.
  void OnConnectFailed(const Endpoint& address, bool refused, Time now);

  /// Reports that a connection opened by this node to `address` has ended.
  void OnConnectionLost(const Endpoint& address, Time now);

  /// Reports the lease holder known to this node's Coordinator, also from the lease row.
  void OnHolderKnown(const ownership::LeaseView& lease, Time now);
  /// Reports that this node holds the lease until `until`; called at each renewal.
  void OnLeaseHeld(const ownership::LeaseView& lease, Time until, Time now);
  /// Reports that this node no longer holds the lease.
  void OnLeaseLost(Time now);
  /// Reports that this node gave up its lease for good.
  void OnResigned(Time now);
  /// Reports a map that this node committed or read; the coordinator sends it to all nodes.
  void OnMap(const ownership::OwnershipMap& map, Time now);
  /// Reports that the store answered a call of this node's Coordinator.
  void OnStoreAnswered(const store::StoreAnswer& answer, Time now) {
    relay_.OnStoreAnswered(answer, now);
  }
  /// Sets the known requests that crash back ends. `own`: the change was observed by this node and
  /// is reported at once; otherwise it was received from another node.
  void OnSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own, Time now);
  /// This node knows the requests that were held before it started, and may tell others so.
  void OnSuspectsKnown() { suspects_.SetKnown(); }
  /// Sets the recently changed limits of back ends: received by this node itself, and by any node.
  /// `own`: the last change was received here and is reported at once.
  void OnLimits(std::vector<allowance::LimitRecord> own_limits,
                std::vector<allowance::LimitRecord> all, bool own, Time now);
  /// Sends a permit request; drops it when the receiving node is not a member.
  void SendPermitRequest(const allowance::PermitQuestion& question);
  void SendPermitAnswer(const Destination& to, const allowance::PermitReply& reply);
  void OnResumed() { relay_.OnResumed(); }
  /// See TableRelay::SetOwnWatchWait.
  void SetOwnWatchWait(Duration wait) { relay_.SetOwnWatchWait(wait); }
  void OnStoreUnanswered() { relay_.OnStoreUnanswered(); }

  /// Answers ReportDueAction.
  void SendReport(std::vector<LoadReport> loads, std::vector<std::string> refused_backends,
                  Time now);
  /// Sets the addresses that are asked in addition to the known members.
  void SetSeeds(std::vector<Endpoint> seeds) { settings_.seeds = std::move(seeds); }
  /// Must be called at or soon after NextWake().
  void OnTick(Time now);
  Time NextWake() const;

  /// Returns the actions since the last call, in order.
  std::vector<MembershipAction> TakeActions();

  /// The holder of the lease with the highest known epoch.
  const std::optional<ownership::LeaseView>& holder() const { return holder_; }
  bool IsCoordinator(Time now) const { return now < lease_until_; }
  /// Null until a map is known.
  const std::shared_ptr<const ownership::OwnershipMap>& map() const { return maps_.map(); }
  Time map_confirmed_until() const { return confirmed_until_; }
  const std::vector<PeerIdentity>& members() const { return members_.members(); }
  /// Returns nothing when no member has this incarnation.
  std::optional<Destination> FindMember(uint64_t incarnation) const;

 private:
  void Handle(const Destination& from, Report report, Time now);
  void Handle(const Destination& from, Heartbeat heartbeat, Time now);
  void Handle(const Destination& from, const Resignation& resignation, Time now);
  void Handle(const Destination& from, const SnapshotRequest& request, Time now);
  void Handle(const Destination& from, const Snapshot& snapshot, Time now);
  void Handle(const Destination& from, const PermitRequest& request, Time now);
  void Handle(const Destination& from, const PermitAnswer& answer, Time now);
  void Handle(const Destination& /*from*/, const RelayedOrder& /*order*/, Time /*now*/) {}
  void Handle(const Destination& /*from*/, const RelayedOrderResult& /*result*/, Time /*now*/) {}
  void Handle(const Destination& /*from*/, const RelayedRequest& /*request*/, Time /*now*/) {}
  void Handle(const Destination& /*from*/, const RelayedAnswer& /*answer*/, Time /*now*/) {}
  void Handle(const Destination& /*from*/, const RelayCancel& /*cancel*/, Time /*now*/) {}

  void ReceiveSuspects(const std::vector<SharedSuspect>& suspects, bool are_all, Time sent_at);
  /// When another node sent the message that is read now. What a node reads after it stood still is
  /// as old as that: losses that others have cleared meanwhile must not seem to be newer ones.
  Time SentAt(uint64_t sender, int64_t sent_us, Time now);
  void ReceiveLimits(const std::vector<SharedLimit>& limits, Time now);
  /// Brings the next report forward.
  void ReportSoon(Time now);
  /// Schedules a push at the coordinator; elsewhere an early report of an `own` change.
  void PublishSoon(bool own, Time now);
  void EndLeading(Time now);
  /// Returns false when a holder of a later epoch is known.
  bool UpdateHolder(const ownership::LeaseView& lease, Time now);
  /// Processes the content of a heartbeat from a coordinator that holds its lease.
  void HandleCoordinatorHeartbeat(Heartbeat& heartbeat, const std::optional<SentReport>& report,
                                  Time now);
  void ConfirmBy(const Heartbeat& heartbeat, const std::optional<SentReport>& report, Time now);
  void SetConfirmed(Time until);
  void ConfirmMembersBy(const Heartbeat& heartbeat, const std::optional<SentReport>& report);
  Report NewReport(uint64_t holder, Time now);
  size_t MaxReportedCounts() const;
  /// Asks another node for the coordinator.
  void SeekCoordinator(Time now);
  Heartbeat NewHeartbeat(Time now) const;
  void PushHeartbeat(Time now);
  /// Sends a heartbeat to nodes that report infrequently, so that they do not assume that the
  /// coordinator has failed.
  void SendKeepAlive(Time now);
  /// Adds to the answer to a report what the reporter lacks of the map and the list of members.
  void AddCopies(const Report& report, const Destination& back, Time now, Heartbeat* answer);
  void SendFullCopies(Time now);
  void RequestSnapshot(Time now);
  std::vector<Destination> OthersAndSeeds() const;
  /// Returns the interval at which all nodes together send `reports_per_second`.
  Duration SharedReportInterval() const;
  /// Returns the time over which nodes spread reports that the same event triggers on all of them.
  Duration ReportSpread() const;
  Duration ReportInterval() const;
  Duration LongestHeartbeatGap() const;
  /// Returns a random number in [0, 1).
  double RandomShare();
  void Send(std::vector<Destination> to, Message message);

  MembershipSettings settings_;
  PeerIdentity self_;
  MemberTable members_;
  /// By incarnation of the sender.
  TransitClock transit_;
  SnapshotExchange snapshots_;
  TableRelay relay_;
  MapExchange maps_;
  FullCopies full_copies_;
  SuspectExchange suspects_;
  LimitExchange limits_;
  std::mt19937_64 random_;
  std::vector<MembershipAction> actions_;

  std::optional<ownership::LeaseView> holder_;
  Time last_heartbeat_ = absl::InfinitePast();
  /// The version of the member list that the last push brought all nodes to.
  uint64_t pushed_members_ = 0;
  /// Incarnation of the coordinator that knows this node's identity; 0 for none.
  uint64_t identity_known_by_ = 0;
  Time confirmed_until_ = absl::InfinitePast();

  SentReports sent_reports_;
  Time next_report_ = absl::InfinitePast();
  uint64_t seek_turn_;

  /// End of this node's own lease; infinite past when it holds none.
  Time lease_until_ = absl::InfinitePast();
  bool push_wanted_ = false;
  Time next_push_ = absl::InfinitePast();
  Time next_keep_alive_ = absl::InfinitePast();
  Time next_refresh_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
