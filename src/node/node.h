// One node: its parts, put together, started and stopped in order. One thread.
#pragma once

#include <boost/asio/signal_set.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "core/forwarding/dispatcher.h"
#include "gateway/http/data_path.h"
#include "gateway/http/event_loop.h"
#include "gateway/http/readiness_server.h"
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
  /// `settings` were read from `file`, which outlives the node and is read again when it changes or
  /// on SIGHUP. Listens at once; throws Error(kInvalidSetting) when an address cannot be had.
  Node(const gateway::NodeSettings& settings, interfaces::PlatformAdapterPtr adapter,
       gateway::SettingsFile* file);
  ~Node() override;

  /// Serves until a stop signal has been obeyed. False when requests were left when the time to
  /// stop was up.
  bool Run();

 private:
  // ControlPlaneListener
  void OnConfiguration(std::shared_ptr<const catalog::Configuration> configuration) override;
  void OnBackends(const catalog::BackendChanges& changes,
                  const forwarding::RegistrationUpdate& update) override;
  void OnOwnership(std::shared_ptr<const ownership::OwnershipMap> map) override;
  void OnMapConfirmed(Time until) override;
  void OnMembers(const std::vector<uint64_t>& members) override;
  void OnMembersConfirmed(Time until) override;
  void OnSuspects(const std::vector<quarantine::SuspectRecord>& suspects) override;
  void OnLimits(const std::vector<allowance::LimitRecord>& limits) override;
  std::map<std::string, double> LimitsInForce() override;
  allowance::PermitReply OnPermitQuestion(const allowance::PermitQuestion& question) override;
  void OnPermitReply(const allowance::PermitReply& reply) override;
  std::vector<load::ServiceLoad> TakeLoad() override;

  /// Without the address, the node runs on without metrics.
  void ServeMetrics(const Endpoint& listen);
  void WaitForSignal();
  void OnSignal(int signal);
  /// Takes up what may change while the process runs; the log tells what waits for the next start.
  /// Settings at fault change nothing.
  void Reload(std::string_view cause);
  void Apply(const gateway::NodeSettings& fresh);
  void BeginStop(std::string_view cause);
  /// Ends the event loop once callers have gone elsewhere and nothing is left to answer.
  /// When the process ends at the latest.
  Time StopDeadline() const;
  void TryStop();
  void EndStop(bool timed_out);
  bool IsReady();
  /// Once a second: what changed without an event.
  void OnHousekeeping();
  /// Tells the other nodes what is known here of requests that crash back ends.
  void PublishSuspects(bool own);
  /// Takes to other nodes what the dispatcher learned of limits, and asks for permits.
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
  ControlPlane control_plane_;
  std::unique_ptr<gateway::ReadinessServer> readiness_;
  std::unique_ptr<gateway::ReadinessServer> metrics_server_;

  boost::asio::signal_set signals_;
  gateway::Timer housekeeping_;
  gateway::Timer stop_timer_;
  bool stopping_ = false;
  bool stop_timed_out_ = false;
  bool drained_ = false;
  Time stop_began_;
  uint64_t housekeeping_turns_ = 0;
  std::string stop_cause_;
};

}  // namespace ladderstream::node
