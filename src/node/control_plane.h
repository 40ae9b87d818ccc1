// Drives the configuration, membership and ownership logic: executes its actions and passes the
// results back to it. Single-threaded; runs in the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/catalog/backend_set.h"
#include "core/catalog/catalog.h"
#include "core/forwarding/dispatcher.h"
#include "core/membership/membership.h"
#include "core/membership/transit_clock.h"
#include "core/ownership/coordinator.h"
#include "core/quarantine/suspect_store.h"
#include "core/store/table_follower.h"
#include "gateway/http/event_loop.h"
#include "gateway/http/http_client.h"
#include "gateway/peer/peer_transport.h"
#include "gateway/settings/node_settings.h"
#include "gateway/store/store_client.h"
#include "gateway/suspension_watch.h"
#include "interfaces/platform_adapter.h"
#include "node/catalog_tables.h"
#include "node/http_client_exchanger.h"
#include "node/order_client.h"
#include "node/order_sender.h"
#include "observability/belief_log.h"
#include "observability/node_metrics.h"

namespace ladderstream::node {

/// Receives the control plane's updates for the data path and answers its queries.
class ControlPlaneListener {
 public:
  virtual ~ControlPlaneListener() = default;

  virtual void OnConfiguration(std::shared_ptr<const catalog::Configuration> configuration) = 0;
  virtual void OnBackends(const catalog::BackendChanges& changes,
                          const forwarding::RegistrationUpdate& update) = 0;
  virtual void OnOwnership(std::shared_ptr<const ownership::OwnershipMap> map) = 0;
  virtual void OnMapConfirmed(Time until) = 0;
  /// `members` are all member nodes, including this one.
  virtual void OnMembers(const std::vector<membership::PeerIdentity>& members) = 0;
  virtual void OnMembersConfirmed(Time until) = 0;
  /// A request that another node wants carried, and for how long it was under way.
  virtual void OnRelayedRequest(uint64_t connection, membership::RelayedRequest request,
                                Duration age) = 0;
  /// The end of one.
  virtual void OnRelayCancel(uint64_t connection, const membership::RelayCancel& cancel) = 0;
  /// A connection that another node had opened has ended.
  virtual void OnIncomingClosed(uint64_t connection) = 0;
  /// Another node, or the store, told of requests that crash back ends.
  virtual void OnSuspects(const std::vector<quarantine::SuspectRecord>& suspects) = 0;
  /// Of these, an earlier process of this node had told the store.
  virtual void OnSuspectsInherited(const std::vector<quarantine::SuspectRecord>& suspects) = 0;
  /// All requests that were held before this node started have been told.
  virtual void OnSuspectsKnown() = 0;
  /// The store has recorded that this node tries a held request once more.
  virtual void OnTrialGranted(const quarantine::Fingerprint& request) = 0;
  virtual void OnTrialDenied(const quarantine::Fingerprint& request) = 0;
  /// The store shows that a held request was served at another node, or released.
  virtual void OnSuspectCleared(const quarantine::Fingerprint& request) = 0;
  /// Another node reported rate limits of back ends.
  virtual void OnLimits(const std::vector<allowance::LimitRecord>& limits) = 0;
  /// Returns all back-end rate limits known to this node, by back-end id.
  virtual std::map<std::string, double> LimitsInForce() = 0;
  /// Answers another node's request for permits.
  virtual allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question) = 0;
  virtual void OnPermitReply(const allowance::PermitReply& reply) = 0;
  /// Returns the load that the data path counted since the last call.
  virtual std::vector<load::ServiceLoad> TakeLoad() = 0;
};

class ControlPlane {
 public:
  /// All arguments passed by pointer must outlive the control plane.
  ControlPlane(gateway::LoopResources* resources, const gateway::NodeSettings& settings,
               uint64_t incarnation, interfaces::PlatformAdapterPtr adapter,
               observability::BeliefLog* beliefs, observability::NodeMetrics* metrics,
               ControlPlaneListener* listener);
  ~ControlPlane();

  /// Starts listening for other nodes and reading the store.
  void Start();
  /// Applies the settings that may change while the process runs.
  void Apply(const gateway::NodeSettings& fresh);
  /// Publishes to the other nodes the known requests that crash back ends; see
  /// membership::Membership::OnSuspects.
  void PublishSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own);
  /// Writes to the store what must outlive all nodes; see CrashSuspects::TakeStoredChanges.
  void SaveSuspects(const std::vector<quarantine::StoredChange>& changes);
  /// The same for what concerns this node only so far; see CrashSuspects::Witnessed.
  void SaveWitnessed(std::vector<quarantine::SuspectRecord> records);
  /// Asks the store for trials; see CrashSuspects::TakeTrialsWanted.
  void RequestTrials(const std::vector<quarantine::SuspectRecord>& records);
  /// Publishes recently changed rate limits of back ends; see membership::Membership::OnLimits.
  void PublishLimits(std::vector<allowance::LimitRecord> own_limits,
                     std::vector<allowance::LimitRecord> all, bool own);
  /// Answers OnRelayedRequest.
  void SendRelayedAnswer(uint64_t connection, const membership::RelayedAnswer& answer) {
    peers_.Send({{{}, connection}}, answer);
  }
  void RequestPermits(const std::vector<allowance::PermitQuestion>& questions);
  /// Releases the coordinator lease, if this node holds it, for a planned stop.
  void Resign();
  /// Returns whether Resign() was called and this node holds no lease any more.
  bool HasResigned() const;

  /// Returns the number of store calls since the start, by kind.
  std::map<std::string, uint64_t> StoreCalls() const;
  bool HasConfiguration() const { return catalog_.configuration() != nullptr; }
  /// Whether the requests that were held before this node started are known.
  bool KnowsSuspects() const { return suspects_known_; }
  /// See CatalogTables::LogConfigurationAge.
  void LogConfigurationAge() { catalog_.LogConfigurationAge(Now()); }
  /// Fills in the control plane's part of the metrics.
  void Describe(observability::NodeState* state) const;

 private:
  // Events.
  void OnStoreReply(ownership::CallId call, const store::StoreAnswer& answer,
                    const store::StoreReply& reply);
  void OnOrderReply(ownership::CallId call, const ownership::OrderReply& reply);
  void OnFollowerReply(store::TableFollower* follower, uint64_t call,
                       const store::StoreReply& reply);

  // Actions of the coordinator.
  void Execute(const ownership::CommitAction& commit);
  void Execute(const ownership::ReadAction& read);
  /// Handles a message from another node.
  void OnMessage(uint64_t connection, membership::Message message);
  /// Returns for how long the message was under way; nullopt when that is unknown.
  std::optional<Duration> AgeOf(uint64_t connection, const membership::Message& message);
  void OnOrderPathChange(const ownership::OrderPathChangeAction& change);
  void Execute(const ownership::GrantAction& grant) { orders_.Send(grant); }
  void Execute(const ownership::ReleaseAction& release) { orders_.Send(release); }
  void Execute(const ownership::PublishAction& publish);
  void Execute(const ownership::StateChangeAction& change) {
    beliefs_->OnCoordinatorBelief(change);
  }

  // Actions of the membership.
  void Execute(const membership::SendAction& send);
  void Execute(const membership::ReportDueAction& due);
  void Execute(const membership::HeartbeatReceivedAction& received);
  void Execute(const membership::CoordinatorEndedAction& ended);
  void Execute(const membership::MapChangedAction& changed);
  void Execute(const membership::MapConfirmedAction& confirmed);
  void Execute(const membership::MembersChangedAction& changed);
  void Execute(const membership::MembersConfirmedAction& confirmed);
  void Execute(const membership::ReportReceivedAction& report);
  void Execute(const membership::SuspectsReceivedAction& received);
  void Execute(const membership::LimitsReceivedAction& received);
  void Execute(const membership::PermitRequestedAction& request);
  void Execute(const membership::PermitAnsweredAction& answered);
  void Execute(const membership::TablesMergedAction& merged);
  void Execute(const membership::WatchesRestartedAction& restarted);

  /// Runs all due work until no actions are left, then arms the timer.
  void Pump();
  /// Posts one Pump() to run after the current event; repeated calls before then have no effect.
  void SchedulePump();
  void PollFollower(store::TableFollower* follower);
  void PollSuspectStore();
  /// Tells the listener what the store holds of suspects.
  void ApplySuspectStore();
  /// Reports the changes to the coordinator, once there is a configuration.
  void ReportCatalog(const catalog::BackendChanges& changes);
  void ReportOwnLoad();
  void PublishLease();
  /// Limits this node's store calls to its share of the store's capacity.
  void UpdateStoreShare();
  bool ExecuteActions();
  void ArmTimer();
  Time Now() const { return resources_->clock.Now(); }

  gateway::LoopResources* const resources_;
  const gateway::NodeSettings settings_;
  const uint64_t incarnation_;
  const interfaces::PlatformAdapterPtr adapter_;
  observability::BeliefLog* const beliefs_;
  observability::NodeMetrics* const metrics_;
  ControlPlaneListener* const listener_;

  gateway::HttpClient client_;
  HttpClientExchanger exchanger_;
  gateway::StoreClient store_;
  OrderClient order_client_;
  OrderSender orders_;
  OrderCarrier order_carrier_;
  gateway::PeerTransport peers_;
  /// By connection of `peers_`.
  membership::TransitClock transit_;

  store::TableFollower configuration_follower_;
  store::TableFollower backend_follower_;
  CatalogTables catalog_;
  /// Whether the coordinator has received the full set of back ends, so that it needs only changes.
  bool catalog_reported_ = false;
  quarantine::SuspectStore suspect_store_;
  bool suspects_known_ = false;
  ownership::Coordinator coordinator_;
  membership::Membership membership_;

  /// This node's lease as last reported to `membership_`.
  ownership::LeaseView published_lease_;
  Time published_lease_until_ = absl::InfinitePast();
  bool holds_lease_ = false;
  uint64_t known_holder_ = 0;
  Time next_own_load_ = absl::InfinitePast();

  gateway::SuspensionWatch suspension_;
  gateway::Timer timer_;
  Time armed_for_ = absl::InfiniteFuture();
  bool pump_posted_ = false;
  bool resigned_ = false;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace ladderstream::node
