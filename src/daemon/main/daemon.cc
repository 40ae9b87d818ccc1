#include "daemon/main/daemon.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <httplib.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>

#include "daemon/control/boot_clock.h"
#include "daemon/control/control_loop.h"
#include "daemon/control/grant_pusher.h"
#include "daemon/control/lease_endpoint.h"
#include "daemon/control/store_worker.h"
#include "daemon/http/caller_server.h"
#include "daemon/main/health_routes.h"
#include "daemon/metrics/node_metrics.h"
#include "daemon/operator/operator_server.h"
#include "daemon/peer/forward_dispatcher.h"
#include "daemon/peer/peer_transport.h"
#include "daemon/router/data_path_impl.h"
#include "daemon/store/http_table_client.h"
#include "daemon/store/machine_list.h"
#include "logging/log.h"

namespace ladderstream::daemon {
namespace {

using settings::DaemonSettings;

/// Attempts for other nodes that run at once; each holds a thread while it waits for a back end.
constexpr uint32_t kForwardThreads = 256;

/// How often the data path's observations go to the authority.
constexpr Duration kLoadInterval = absl::Milliseconds(250);

/// What a stop leaves for operators' calls under way.
constexpr Duration kOperatorGrace = absl::Milliseconds(500);

/// A number from the operating system's source of randomness; never zero.
uint64_t DrawIdentity() {
  std::random_device device;
  std::uniform_int_distribution<uint64_t> distribution(1);
  return distribution(device);
}

NodeDescriptor DescribeSelf(const DaemonSettings& settings, NodeId id) {
  NodeDescriptor self;
  self.id = id;
  self.name = settings.name;
  self.region = settings.region;
  self.zone = settings.zone;
  self.peer = settings.peer;
  self.http = settings.http;
  return self;
}

peer::TransportSettings TransportSettingsFor(const DaemonSettings& settings,
                                             const NodeDescriptor& self) {
  peer::TransportSettings transport;
  transport.self = self.id;
  transport.listen = settings.peer_listen;
  return transport;
}

store::TableClientSettings TableSettingsFor(const DaemonSettings& settings) {
  return {settings.table_service.endpoint, settings.table_service.timeout,
          settings.table_service.max_requests_per_second};
}

authority::AuthoritySettings AuthoritySettingsFor(const DaemonSettings& settings,
                                                  const NodeDescriptor& self) {
  authority::AuthoritySettings authority_settings = settings.authority;
  authority_settings.self = self;
  authority_settings.seed = DrawIdentity();
  return authority_settings;
}

DataPathSettings DataPathSettingsFor(const DaemonSettings& settings) {
  DataPathSettings data_path;
  data_path.max_deadline = settings.data_path.max_deadline;
  data_path.seed = DrawIdentity();
  return data_path;
}

CallerServerLimits CallerLimitsFor(const DaemonSettings& settings) {
  CallerServerLimits limits;
  limits.max_connections = settings.data_path.max_connections;
  limits.max_header_bytes = settings.data_path.max_header_bytes;
  limits.read_timeout = settings.data_path.body_timeout;
  limits.idle_timeout = settings.data_path.idle_timeout;
  return limits;
}

}  // namespace

class Daemon::Impl {
 public:
  explicit Impl(const DaemonSettings& settings);

  void Start();
  bool Stop();

 private:
  control::Ports MakePorts();
  peer::Handlers MakeHandlers();
  metrics::Sources MakeSources();
  /// Hands over what others can take; false when `deadline` came first.
  bool HandOver(Time deadline);
  void CloseEverything();

  const DaemonSettings settings_;
  const NodeDescriptor self_;
  const control::BootClock clock_;
  const std::shared_ptr<prometheus::Registry> registry_;
  const std::shared_ptr<peer::PeerTransport> transport_;
  const TableClientPtr table_;
  const std::shared_ptr<control::ControlLoop> control_;
  control::GrantPusher pusher_;
  control::StoreWorker store_worker_;
  metrics::OwnershipMetrics ownership_metrics_;
  const std::shared_ptr<DataPathImpl> data_path_;
  peer::ForwardDispatcher dispatcher_;
  HealthState health_;
  CallerServer caller_server_;
  OperatorServer operator_server_;
  metrics::MetricsServer metrics_server_;
  std::unique_ptr<store::MachineListWatcher> machine_list_;
};

Daemon::Impl::Impl(const DaemonSettings& settings)
    : settings_(settings),
      self_(DescribeSelf(settings, NodeId(DrawIdentity()))),
      registry_(std::make_shared<prometheus::Registry>()),
      transport_(std::make_shared<peer::PeerTransport>(TransportSettingsFor(settings, self_))),
      table_(std::make_shared<store::HttpTableClient>(TableSettingsFor(settings))),
      control_(std::make_shared<control::ControlLoop>(
          std::make_unique<control::RealAuthorityCore>(AuthoritySettingsFor(settings, self_),
                                                       clock_.Now()),
          clock_, kLoadInterval)),
      store_worker_(table_,
                    [this](authority::StoreAnswered answer) { control_->Post(std::move(answer)); }),
      ownership_metrics_(registry_.get()),
      data_path_(std::make_shared<DataPathImpl>(control_, transport_, DataPathSettingsFor(settings),
                                                clock_, self_, registry_)),
      dispatcher_(data_path_, kForwardThreads),
      caller_server_(settings.http, CallerLimitsFor(settings), *data_path_),
      operator_server_(table_, control_, settings.operators),
      metrics_server_(settings.metrics, registry_, MakeSources()) {
  control::MountLeaseEndpoint(&caller_server_.routes(), control_);
  MountHealthRoutes(&caller_server_.routes(), &health_);
}

control::Ports Daemon::Impl::MakePorts() {
  control::Ports ports;
  ports.send = [this](const authority::SendMessage& message) {
    transport_->SendControl(message.to, message.correlation, message.is_response, message.body);
  };
  ports.run_transaction = [this](const authority::RunStoreTransaction& transaction) {
    store_worker_.Run(transaction);
  };
  ports.push_grants = [this](const authority::PushGrants& push) { pusher_.Push(push); };
  ports.take_load = [this] { return data_path_->TakeLoad(); };
  ports.on_lease_request = [this](const LeaseRequest& request, Time now) {
    ownership_metrics_.NoteLeaseRequest(request, now);
  };
  ports.on_routing_changed = [this](const authority::RoutingState& routing, bool leads) {
    ownership_metrics_.Observe(routing, clock_.Now(), leads);
  };
  return ports;
}

peer::Handlers Daemon::Impl::MakeHandlers() {
  peer::Handlers handlers;
  handlers.on_control = [this](authority::MessageArrived message) {
    control_->Post(std::move(message));
  };
  handlers.on_forward = [this](ForwardRequest request, peer::ForwardDispatcher::Respond respond) {
    dispatcher_.Dispatch(std::move(request), std::move(respond));
  };
  handlers.on_cancel = [this](ForwardCancel cancel) { dispatcher_.Cancel(std::move(cancel)); };
  return handlers;
}

metrics::Sources Daemon::Impl::MakeSources() {
  metrics::Sources sources;
  sources.status = [this] { return control_->Status(); };
  sources.routing = [this] { return control_->Routing(); };
  sources.control_processor_time = [this] { return control_->ProcessorTime(); };
  sources.control_events_dropped = [this] { return control_->events_dropped(); };
  sources.control_events_failed = [this] { return control_->events_failed(); };
  sources.traffic = &transport_->traffic();
  return sources;
}

void Daemon::Impl::Start() {
  control_->Start(MakePorts());
  if (!settings_.seeds.empty()) {
    control_->Post(authority::PeersDiscovered{settings_.seeds});
  }
  transport_->Start(MakeHandlers());
  caller_server_.Start();
  if (settings_.machine_list) {
    machine_list_ = std::make_unique<store::MachineListWatcher>(
        *settings_.machine_list, self_, settings_.machine_list_interval,
        [this](std::vector<NodeDescriptor> peers) {
          control_->Post(authority::PeersDiscovered{std::move(peers)});
        });
  }
  health_.ready = true;
  Log(Part::kMain, Severity::kInfo, "Node started.",
      {{"name", self_.name},
       {"node", self_.id.value()},
       {"zone", self_.zone},
       {"peer", FormatEndpoint(self_.peer)},
       {"http", FormatEndpoint(self_.http)}});
}

bool Daemon::Impl::HandOver(Time deadline) {
  if (machine_list_) {
    machine_list_->Leave();
  }
  control_->Post(authority::StopRequested{});
  const bool handed_over = control_->WaitUntilMayStop(deadline - clock_.Now());
  Log(Part::kMain, handed_over ? Severity::kInfo : Severity::kWarning,
      handed_over ? "Handed over." : "Not all could be handed over.");
  return handed_over;
}

bool Daemon::Impl::Stop() {
  Log(Part::kMain, Severity::kInfo, "Stopping.");
  const Time deadline = clock_.Now() + settings_.stop_timeout;
  health_.ready = false;
  caller_server_.BeginDrain();
  bool clean = HandOver(deadline);
  data_path_->Drain(std::max(deadline - clock_.Now(), absl::ZeroDuration()));
  // Nodes whose routing is older than the hand-over are refused here until they know better.
  absl::SleepFor(2 * settings_.authority.pull_interval);
  CloseEverything();
  clean = clean && clock_.Now() <= deadline;
  Log(Part::kMain, Severity::kInfo, "Stopped.");
  return clean;
}

void Daemon::Impl::CloseEverything() {
  operator_server_.Stop(kOperatorGrace);
  caller_server_.Stop();
  dispatcher_.Stop();
  machine_list_.reset();
  transport_->Stop();
  store_worker_.Stop();
  pusher_.Stop();
  control_->Stop();
}

Daemon::Daemon(const DaemonSettings& settings) : impl_(std::make_unique<Impl>(settings)) {}

Daemon::~Daemon() = default;

void Daemon::Start() { impl_->Start(); }

bool Daemon::Stop() { return impl_->Stop(); }

}  // namespace ladderstream::daemon
