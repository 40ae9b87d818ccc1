// Which nodes take part, who coordinates them, and the exchange between the coordinator and the
// others: reports and heartbeats, the ownership map and how long it may be used.
//
// Pure: events and time in, actions out; no I/O, no thread, no clock. docs/design/014 describes the
// exchange. A map or row that is older than the one held is never taken.
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
#include "core/membership/whole_copies.h"
#include "core/store/table_follower.h"
#include "wire/time.h"

namespace ladderstream::membership {

struct MembershipSettings {
  /// Addresses known from the start; they may be stale.
  std::vector<Endpoint> seeds;
  Duration shortest_report_interval = absl::Milliseconds(300);
  /// All nodes together report at most so often, as long as the longest interval allows.
  double reports_per_second = 200;
  /// Below what one report confirms a map for, so that the next one comes in time.
  Duration longest_report_interval = absl::Milliseconds(1500);
  /// A coordinator that was silent for so long may have a successor: other nodes are asked.
  Duration coordinator_timeout = absl::Seconds(1);
  Duration member_lifetime = absl::Seconds(3);
  /// A changed list of members, and a changed map, go to all nodes at most once in this time for
  /// each member; the first change after a pause goes at once.
  Duration members_interval_per_member = absl::Milliseconds(10);
  Duration push_interval_per_member = absl::Milliseconds(2);
  /// An answered report confirms the map for at most this, counted from its send.
  Duration confirmation = absl::Milliseconds(3000);
  /// A pushed heartbeat was sent at an unknown time: it confirms the map for at most this.
  Duration pushed_confirmation = absl::Milliseconds(600);
  /// An answered report confirms the list of members for this, counted from its send.
  Duration members_confirmation = absl::Seconds(2);
  /// The list is not confirmed in this last part of the coordinator's lease: another may lead by
  /// then, and nodes that rely on either list send to cold back ends. What the lease lasts beyond
  /// the time after which a coordinator whose lease is not renewed is challenged.
  Duration members_lease_reserve = absl::ZeroDuration();
  /// Taken off every confirmation.
  Duration confirmation_margin = absl::Milliseconds(100);
  /// Counts of keys, and of back ends, that all nodes together report in one interval at most, but
  /// for the fewest that each may report.
  size_t reported_counts = 16'384;
  size_t min_reported_counts = 16;
  SnapshotSettings snapshot = {};
  RelaySettings relay = {};
  /// Of jitter and of whom to ask first.
  uint64_t seed = 0;
};

/// Send `message` to each of `to`. Reports may be dropped when too much waits.
struct SendAction {
  std::vector<Destination> to;
  Message message;
};
/// A report to the coordinator is due: call SendReport with the loads since the last one.
struct ReportDueAction {};
/// The coordinator is alive: for Coordinator::OnHeartbeat.
struct HeartbeatReceivedAction {
  ownership::LeaseView lease;
};
/// The coordinator gave up or its process has ended: for Coordinator::OnCoordinatorEnded.
struct CoordinatorEndedAction {
  uint64_t incarnation = 0;
};
/// A newer map than the one held.
struct MapChangedAction {
  std::shared_ptr<const ownership::OwnershipMap> map;
};
/// The map held may be used until then; a time in the past forbids its use.
struct MapConfirmedAction {
  Time until;
};
struct MembersChangedAction {
  /// This node included.
  uint32_t count = 0;
};
/// The list of members is the newest, and may be relied upon until then.
struct MembersConfirmedAction {
  Time until;
};
/// At the coordinator: what another node saw.
struct ReportReceivedAction {
  PeerIdentity sender;
  std::vector<LoadReport> loads;
  std::vector<std::string> refused_backends;
};
/// Another node knows of requests that crash back ends: for CrashSuspects::Merge.
struct SuspectsReceivedAction {
  std::vector<quarantine::SuspectRecord> suspects;
};
/// Another node knows of limits of back ends: for Dispatcher::OnLimitsHeard.
struct LimitsReceivedAction {
  std::vector<allowance::LimitRecord> limits;
};
/// Another node asks for permits: to be answered with SendPermitAnswer.
struct PermitRequestedAction {
  Destination from;
  allowance::PermitQuestion question;
};
/// The answer to a question of this node.
struct PermitAnsweredAction {
  allowance::PermitReply reply;
};
/// Rows of another node went into a follower.
struct TablesMergedAction {};
using MembershipAction =
    std::variant<SendAction, ReportDueAction, HeartbeatReceivedAction, CoordinatorEndedAction,
                 MapChangedAction, MapConfirmedAction, MembersChangedAction, MembersConfirmedAction,
                 ReportReceivedAction, SuspectsReceivedAction, LimitsReceivedAction,
                 PermitRequestedAction, PermitAnsweredAction, TablesMergedAction>;

class Membership {
 public:
  /// The followers outlive this.
  Membership(MembershipSettings settings, PeerIdentity self, store::TableFollower* configuration,
             store::TableFollower* backends);

  /// A message arrived on this connection of the transport.
  void OnMessage(uint64_t connection, Message message, Time now);
  /// A connection to `address` could not be made. `refused`: nobody listens there.
  void OnConnectFailed(const Endpoint& address, bool refused, Time now);

  /// A connection that this node had opened to `address` has ended.
  void OnConnectionLost(const Endpoint& address, Time now);

  /// The holder of the lease as this node's coordinator part knows it, from the lease row too.
  void OnHolderKnown(const ownership::LeaseView& lease, Time now);
  /// This node holds the lease until `until`; to be told at each renewal.
  void OnLeaseHeld(const ownership::LeaseView& lease, Time until, Time now);
  /// This node no longer holds the lease.
  void OnLeaseLost(Time now);
  /// This node gave its lease up for good.
  void OnResigned(Time now);
  /// This node committed or read a map; the coordinator sends it to all.
  void OnMap(const ownership::OwnershipMap& map, Time now);
  /// The store answered a call that this node's coordinator part had sent then.
  void OnStoreAnswered(Time sent) { relay_.OnStoreAnswered(sent); }
  /// What this node knows of requests that crash back ends. `own`: learned here, and told at once;
  /// otherwise heard of.
  void OnSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own, Time now);
  /// Limits of back ends that changed lately: heard by this node itself, and by anybody. `own`: the
  /// last one was heard here, and is told at once.
  void OnLimits(std::vector<allowance::LimitRecord> own_limits,
                std::vector<allowance::LimitRecord> all, bool own, Time now);
  /// Dropped when the node that it is for is no member.
  void SendPermitQuestion(const allowance::PermitQuestion& question);
  void SendPermitAnswer(const Destination& to, const allowance::PermitReply& reply);
  void OnResumed() { relay_.OnResumed(); }
  void OnStoreUnanswered() { relay_.OnStoreUnanswered(); }

  /// Answers ReportDueAction.
  void SendReport(std::vector<LoadReport> loads, std::vector<std::string> refused_backends,
                  Time now);
  /// Replaces the addresses to ask when no other node is known.
  void SetSeeds(std::vector<Endpoint> seeds) { settings_.seeds = std::move(seeds); }
  /// To be called at or soon after NextWake().
  void OnTick(Time now);
  Time NextWake() const;

  /// Actions since the last call, in order.
  std::vector<MembershipAction> TakeActions();

  /// The holder of the lease with the highest epoch heard of.
  const std::optional<ownership::LeaseView>& holder() const { return holder_; }
  bool IsCoordinator(Time now) const { return now < lease_until_; }
  /// Null before any is known.
  const std::shared_ptr<const ownership::OwnershipMap>& map() const { return maps_.map(); }
  Time map_confirmed_until() const { return confirmed_until_; }
  const std::vector<PeerIdentity>& members() const { return members_.members(); }

 private:
  void Handle(const Destination& from, Report report, Time now);
  void Handle(const Destination& from, Heartbeat heartbeat, Time now);
  void Handle(const Destination& from, const Resignation& resignation, Time now);
  void Handle(const Destination& from, const SnapshotRequest& request, Time now);
  void Handle(const Destination& from, const Snapshot& snapshot, Time now);
  void Handle(const Destination& from, const PermitRequest& request, Time now);
  void Handle(const Destination& from, const PermitAnswer& answer, Time now);

  void ReceiveSuspects(const std::vector<SharedSuspect>& suspects, Time now);
  void ReceiveLimits(const std::vector<SharedLimit>& limits, Time now);
  /// This node learned something that others are to hear soon.
  /// Brings the next report forward.
  void ReportSoon(Time now);
  void PublishSoon(bool own, Time now);
  void EndLeading();
  /// False when a holder of a later epoch is known.
  bool UpdateHolder(const ownership::LeaseView& lease, Time now);
  /// What the heartbeat of a coordinator that holds its lease says, beyond who it is.
  void HandleCoordinatorHeartbeat(Heartbeat& heartbeat, const std::optional<SentReport>& report,
                                  Time now);
  void ConfirmBy(const Heartbeat& heartbeat, const std::optional<SentReport>& report, Time now);
  void SetConfirmed(Time until);
  void ConfirmMembersBy(const Heartbeat& heartbeat, const std::optional<SentReport>& report);
  Report NewReport(uint64_t holder, Time now);
  size_t MaxReportedCounts() const;
  /// Asks some other node who the coordinator is.
  void SeekCoordinator(Time now);
  Heartbeat NewHeartbeat(Time now) const;
  void PushHeartbeat(Time now);
  /// Keeps many nodes, which report rarely, from taking the coordinator for dead.
  void SendKeepAlive(Time now);
  /// Puts the map and the list into the answer to a report, as far as the reporter lacks them.
  void AddCopies(const Report& report, const Destination& back, Time now, Heartbeat* answer);
  void SendFullCopies(Time now);
  void AskForSnapshot(Time now);
  std::vector<Destination> OthersAndSeeds() const;
  /// At which all nodes together keep to `reports_per_second`.
  Duration SharedReportInterval() const;
  /// Over which nodes that learn something at the same time spread their reports.
  Duration ReportSpread() const;
  Duration ReportInterval() const;
  Duration LongestHeartbeatGap() const;
  /// In [0, 1).
  double RandomShare();
  void Send(std::vector<Destination> to, Message message);

  MembershipSettings settings_;
  PeerIdentity self_;
  MemberTable members_;
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
  /// What the last push brought all nodes to.
  uint64_t pushed_members_ = 0;
  /// The coordinator that answered that it knows this node's identity; 0 for none.
  uint64_t identity_known_by_ = 0;
  Time confirmed_until_ = absl::InfinitePast();

  SentReports sent_reports_;
  Time next_report_ = absl::InfinitePast();
  uint64_t seek_turn_;

  /// This node's own lease.
  Time lease_until_ = absl::InfinitePast();
  bool push_wanted_ = false;
  Time next_push_ = absl::InfinitePast();
  Time next_keep_alive_ = absl::InfinitePast();
  Time next_refresh_ = absl::InfinitePast();
};

}  // namespace ladderstream::membership
