// Owns the components of a node and starts and stops them in order. Single-threaded.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "core/forwarding/dispatcher.h"
#include "gateway/http/data_path.h"
#include "gateway/http/event_loop.h"
#include "gateway/http/readiness_server.h"
#include "gateway/relay/request_carrier.h"
#include "gateway/relay/request_relay.h"
#include "gateway/settings/node_settings.h"
#include "gateway/settings/settings_file.h"
#include "interfaces/platform_adapter.h"
#include "node/control_plane.h"
#include "observability/belief_log.h"
#include "observability/event_log.h"
#include "observability/log_output.h"
#include "observability/node_metrics.h"
#include "observability/request_observer.h"
#include "wire/boot_clock.h"

namespace ladderstream::node {

class Node : private ControlPlaneListener {
 public:
  /// `settings` were read from `file`, which must outlive the node and is read again when it
  /// changes or on SIGHUP. Starts listening; throws Error(kInvalidSetting) if it cannot bind an
  /// address.
  Node(const gateway::NodeSettings& settings, interfaces::PlatformAdapterPtr adapter,
       gateway::SettingsFile* file);
  ~Node() override;

  /// Serves until a planned stop, begun by a signal, is complete. Returns false if requests were
  /// still in flight at the stop deadline.
  bool Run();

 private:
  // ControlPlaneListener
  void OnConfiguration(std::shared_ptr<const catalog::Configuration> configuration) override;
  void OnBackends(const catalog::BackendChanges& changes,
                  const forwarding::RegistrationUpdate& update) override;
  void OnOwnership(std::shared_ptr<const ownership::OwnershipMap> map) override;
  void OnMapConfirmed(Time until) override;
  void OnMembers(const std::vector<membership::PeerIdentity>& members) override;
  void OnRelayedRequest(uint64_t connection, membership::RelayedRequest request,
                        Duration age) override;
  void OnRelayCancel(uint64_t connection, const membership::RelayCancel& cancel) override;
  void OnIncomingClosed(uint64_t connection) override;
  void OnMembersConfirmed(Time until) override;
  void OnSuspects(const std::vector<quarantine::SuspectRecord>& suspects) override;
  void OnSuspectsInherited(const std::vector<quarantine::SuspectRecord>& suspects) override;
  void OnSuspectsKnown() override;
  void OnTrialGranted(const quarantine::Fingerprint& request) override;
  void OnTrialDenied(const quarantine::Fingerprint& request) override;
  void OnSuspectCleared(const quarantine::Fingerprint& request) override;
  void OnLimits(const std::vector<allowance::LimitRecord>& limits) override;
  std::map<std::string, double> LimitsInForce() override;
  allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question) override;
  void OnPermitReply(const allowance::PermitReply& reply) override;
  std::vector<load::ServiceLoad> TakeLoad() override;

  /// If the address cannot be bound, the node runs without metrics.
  void ServeMetrics(const Endpoint& listen);
  void WaitForSignal();
  void OnSignal(int signal);
  /// Applies the settings that may change while the process runs and logs those that need a
  /// restart. Invalid settings change nothing.
  void Reload(std::string_view cause);
  void Apply(const gateway::NodeSettings& fresh);
  void BeginStop(std::string_view cause);
  /// Requests of callers, and of other nodes, without an end.
  size_t RequestsInFlight() const;
  /// Returns the latest time at which the event loop ends.
  Time StopDeadline() const;
  /// Ends the event loop once callers have had time to switch to other nodes and no request is in
  /// flight, or at the stop deadline.
  void TryStop();
  void EndStop(bool timed_out);
  bool IsReady();
  /// Runs once a second for changes that no event reports.
  void OnHousekeeping();
  /// Publishes the known requests that crash back ends to the other nodes.
  void PublishSuspects(bool own);
  /// Passes on to the store what it has to know of suspects, and what is wanted of it.
  void SyncSuspectStore();
  /// The same for the losses that this node saw.
  void SaveWitnessed();
  /// Publishes the dispatcher's changed limits to the other nodes and sends its permit requests.
  void SyncLimits();
  void PublishLimits(bool own);
  void LogBeliefs();
  std::string MetricsText();
  Time Now() const { return clock_.Now(); }

  BootTimeSource clock_;
  gateway::EventLoop loop_{1};
  gateway::NodeSettings settings_;
  const interfaces::PlatformAdapterPtr adapter_;
  gateway::SettingsFile* const file_;
  const uint64_t incarnation_;

  observability::EventLog log_;
  observability::LogOutput log_output_;
  observability::NodeMetrics metrics_;
  observability::BeliefLog beliefs_;
  observability::RequestObserver request_observer_;

  std::unique_ptr<gateway::LoopResources> resources_;
  forwarding::Dispatcher dispatcher_;
  gateway::DataPath data_path_;
  gateway::RequestRelay request_relay_;
  gateway::RequestCarrier request_carrier_;
  ControlPlane control_plane_;
  std::unique_ptr<gateway::ReadinessServer> readiness_;
  std::unique_ptr<gateway::ReadinessServer> metrics_server_;

  boost::asio::signal_set signals_;
  gateway::Timer housekeeping_;
  gateway::Timer stop_timer_;
  bool stopping_ = false;
  bool stop_timed_out_ = false;
  Time stop_began_;
  /// SaveWitnessed is not called before by SyncSuspectStore.
  Time next_witnessed_ = absl::InfinitePast();
  uint64_t housekeeping_turns_ = 0;
  std::string stop_cause_;
};

}  // namespace ladderstream::node
