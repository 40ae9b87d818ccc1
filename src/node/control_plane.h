// Drives the decisions about configuration, membership and ownership: carries their actions out and
// tells them what came of it. One thread, in the event loop.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/catalog/backend_set.h"
#include "core/catalog/catalog.h"
#include "core/forwarding/dispatcher.h"
#include "core/membership/membership.h"
#include "core/ownership/coordinator.h"
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
#include "node/order_sender.h"
#include "observability/belief_log.h"
#include "observability/node_metrics.h"

namespace ladderstream::node {

/// What the control plane tells the data path.
class ControlPlaneListener {
 public:
  virtual ~ControlPlaneListener() = default;

  virtual void OnConfiguration(std::shared_ptr<const catalog::Configuration> configuration) = 0;
  virtual void OnBackends(const catalog::BackendChanges& changes,
                          const forwarding::RegistrationUpdate& update) = 0;
  virtual void OnOwnership(std::shared_ptr<const ownership::OwnershipMap> map) = 0;
  virtual void OnMapConfirmed(Time until) = 0;
  /// All nodes that take part, this one included, by incarnation.
  virtual void OnMembers(const std::vector<uint64_t>& members) = 0;
  virtual void OnMembersConfirmed(Time until) = 0;
  /// Another node knows of requests that crash back ends.
  virtual void OnSuspects(const std::vector<quarantine::SuspectRecord>& suspects) = 0;
  /// Another node knows of limits of back ends.
  virtual void OnLimits(const std::vector<allowance::LimitRecord>& limits) = 0;
  /// All limits of back ends that this node knows of.
  virtual std::map<std::string, double> LimitsInForce() = 0;
  /// Another node asks for permits.
  virtual allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question) = 0;
  virtual void OnPermitReply(const allowance::PermitReply& reply) = 0;
  /// What the data path counted since the last call.
  virtual std::vector<load::ServiceLoad> TakeLoad() = 0;
};

class ControlPlane {
 public:
  /// Everything handed in outlives the control plane.
  ControlPlane(gateway::LoopResources* resources, const gateway::NodeSettings& settings,
               uint64_t incarnation, interfaces::PlatformAdapterPtr adapter,
               observability::BeliefLog* beliefs, observability::NodeMetrics* metrics,
               ControlPlaneListener* listener);
  ~ControlPlane();

  /// Begins to listen for other nodes and to read the store.
  void Start();
  /// Settings that may change while the process runs.
  void Apply(const gateway::NodeSettings& fresh);
  /// What this node knows of requests that crash back ends, for the others; see
  /// membership::Membership::OnSuspects.
  void PublishSuspects(std::vector<quarantine::SuspectRecord> suspects, bool own);
  /// Limits of back ends that changed lately; see membership::Membership::OnLimits.
  void PublishLimits(std::vector<allowance::LimitRecord> own_limits,
                     std::vector<allowance::LimitRecord> all, bool own);
  void RequestPermits(const std::vector<allowance::PermitQuestion>& questions);
  /// A planned stop: gives the lease up, if this node holds it.
  void Resign();
  /// Whether the lease, if this node held it, has been given up.
  bool HasResigned() const;

  /// Since the start, by kind.
  std::map<std::string, uint64_t> StoreCalls() const;
  bool HasConfiguration() const { return catalog_.configuration() != nullptr; }
  /// Adds what the metrics show of the control plane.
  void Describe(observability::NodeState* state) const;

 private:
  // Events.
  void OnStoreReply(ownership::CallId call, Time sent, const store::StoreReply& reply);
  void OnOrderReply(ownership::CallId call, const ownership::OrderReply& reply);
  void OnFollowerReply(store::TableFollower* follower, uint64_t call,
                       const store::StoreReply& reply);

  // Actions of the coordinator.
  void Execute(const ownership::CommitAction& commit);
  void Execute(const ownership::ReadAction& read);
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

  /// Runs everything that is due until nothing is left to do, then sets the timer.
  void Pump();
  /// Pumps after the present event, once however often it is asked for.
  void SchedulePump();
  void PollFollower(store::TableFollower* follower);
  /// Tells the coordinator, once there is a configuration.
  void ReportCatalog(const catalog::BackendChanges& changes);
  void ReportOwnLoad();
  void PublishLease();
  /// Fits this node's calls into its share of what the store takes.
  void UpdateStoreShare();
  bool ExecuteActions();
  void ArmTimer();
  Time Now() const { return resources_->clock.Now(); }

  gateway::LoopResources* const resources_;
  const gateway::NodeSettings settings_;
  const interfaces::PlatformAdapterPtr adapter_;
  observability::BeliefLog* const beliefs_;
  observability::NodeMetrics* const metrics_;
  ControlPlaneListener* const listener_;

  gateway::HttpClient client_;
  HttpClientExchanger exchanger_;
  gateway::StoreClient store_;
  OrderSender orders_;
  gateway::PeerTransport peers_;

  store::TableFollower configuration_follower_;
  store::TableFollower backend_follower_;
  CatalogTables catalog_;
  /// The coordinator knows all back ends but those that changed since.
  bool catalog_reported_ = false;
  ownership::Coordinator coordinator_;
  membership::Membership membership_;

  /// What membership was last told of this node's lease.
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
