#include "rehearsal/replay/replayed_cluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/configuration/ownership_command.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr absl::Duration kReportInterval = absl::Milliseconds(250);
// How old a node's routes may be before they are built anew.
constexpr absl::Duration kRouteAge = absl::Milliseconds(5);
constexpr absl::Duration kStartTimeout = absl::Seconds(30);
constexpr absl::Duration kLeavingGrace = absl::Seconds(3);
// Checking all owners takes far longer than most events do.
constexpr uint64_t kStepsPerCheck = 50;
constexpr uint32_t kMinRetryTokens = 10;
// Fewer ranges than a real deployment has, so that a replay takes seconds.
constexpr uint32_t kRanges = 32;
constexpr uint16_t kBackendPort = 8000;
constexpr char kNodePrefix[] = "node-";

Configuration MakeConfiguration(const DeploymentSpec& deployment) {
  Configuration configuration;
  configuration.revision = Revision(1);
  uint16_t port = kBackendPort;
  for (const ServiceSpec& service : deployment.services) {
    configuration.services.push_back(service.configuration);
    configuration.services.back().range_count = kRanges;
    for (uint32_t i = 0; i < service.backend_count; ++i) {
      BackendConfiguration backend;
      backend.id = BackendId(BackendName(service, i));
      backend.service = service.configuration.name;
      backend.zone = deployment.zones[i % deployment.zones.size()];
      backend.endpoint = {"127.0.0.1", port++};
      backend.slots = deployment.slots;
      backend.max_connections = deployment.max_connections;
      configuration.backends.push_back(backend);
    }
  }
  return configuration;
}

simulation::ClusterSettings MakeSettings(const Trace& trace, const DeploymentSpec& deployment) {
  simulation::ClusterSettings settings;
  settings.seed = trace.header.seed;
  settings.nodes = trace.header.nodes;
  settings.configuration = MakeConfiguration(deployment);
  settings.backends = settings.configuration.backends.size();
  settings.network.delay_min = deployment.zone_delay / 4;
  settings.network.delay_max = deployment.zone_delay * 2;
  settings.network.loss = 0;
  settings.network.duplication = 0;
  settings.network.late = 0;
  return settings;
}

}  // namespace

ReplayedCluster::ReplayedCluster(const Trace& trace, const DeploymentSpec& deployment)
    : deployment_(deployment),
      simulation_(MakeSettings(trace, deployment)),
      nodes_(trace.header.nodes) {}

void ReplayedCluster::Start() {
  simulation_.Start();
  for (size_t node = 0; node < nodes_.size(); ++node) {
    ReportLoad(node);
  }
  const absl::Time give_up = now() + kStartTimeout;
  while (!EveryKeyIsServed()) {
    if (!Step(give_up)) {
      throw Error(ResultCode::kNoOwner, "not every key found an owner");
    }
  }
}

bool ReplayedCluster::Step(absl::Time end) {
  const bool checks = ++steps_ % kStepsPerCheck == 0;
  return checks ? simulation_.Step(end) : simulation_.environment().Step(end);
}

bool ReplayedCluster::EveryKeyIsServed() {
  for (const std::string& service : KeyedServices(deployment_)) {
    for (uint32_t range = 0; range < kRanges; ++range) {
      if (!simulation_.IsServed({ServiceName(service), RangeIndex(range), ""})) {
        return false;
      }
    }
  }
  return true;
}

std::shared_ptr<const routing::RouteTable> ReplayedCluster::Routes(size_t node) {
  simulation::NodeProcess* const process = simulation_.Node(node);
  if (process == nullptr) {
    return nullptr;
  }
  Node& known = nodes_[node];
  if (known.process != process->id()) {
    known = Node{.states = std::make_unique<routing::StateRegistry>(kMinRetryTokens),
                 .routes = std::make_shared<const routing::RouteTable>(),
                 .process = process->id(),
                 .built = absl::InfinitePast(),
                 .requests = {},
                 .attempts = {}};
  }
  if (now() < known.built + kRouteAge) {
    return known.routes;
  }
  known.built = now();
  auto state = std::make_shared<const authority::RoutingState>(process->Routing());
  known.routes =
      std::make_shared<const routing::RouteTable>(std::move(state), *known.routes, *known.states);
  return known.routes;
}

void ReplayedCluster::RecordLoad(size_t node, const routing::ServiceRoute& service,
                                 const std::string& key, const BackendId& backend) {
  ShardId shard = service.ShardOf(key);
  Node& known = nodes_[node];
  ++known.requests[shard];
  if (shard.key.empty()) {
    shard.key = key;
    ++known.requests[shard];
  }
  ++known.attempts[backend];
}

// As a node's data path does.
void ReplayedCluster::ReportLoad(size_t node) {
  simulation_.environment().At(now() + kReportInterval, [this, node] { ReportLoad(node); });
  Node& known = nodes_[node];
  simulation::NodeProcess* const process = simulation_.Node(node);
  const double seconds = absl::ToDoubleSeconds(kReportInterval);
  authority::LoadObserved load;
  for (const auto& [shard, count] : std::exchange(known.requests, {})) {
    load.shards.push_back({shard, static_cast<double>(count) / seconds});
  }
  for (const auto& [backend, count] : std::exchange(known.attempts, {})) {
    load.backends.push_back({.backend = backend, .rate = static_cast<double>(count) / seconds});
  }
  if (process != nullptr && !simulation_.environment().IsPaused(process->host())) {
    process->ObserveLoad(load);
  }
}

size_t ReplayedCluster::IndexOf(const BackendId& backend) const {
  size_t index = 0;
  for (const ServiceSpec& service : deployment_.services) {
    for (uint32_t i = 0; i < service.backend_count; ++i, ++index) {
      if (BackendName(service, i) == backend.value()) {
        return index;
      }
    }
  }
  throw Error(ResultCode::kUnknownName, absl::StrCat("no back end is named ", backend.value()));
}

// --- Faults. ------------------------------------------------------------------------------------

void ReplayedCluster::ScheduleFaults(const std::vector<Fault>& faults, absl::Time from) {
  for (const Fault& fault : faults) {
    simulation_.environment().At(from + fault.from, [this, fault] { Begin(fault); });
    if (fault.until > fault.from) {
      simulation_.environment().At(from + fault.until, [this, fault] { End(fault); });
    }
  }
}

size_t ReplayedCluster::NodeIndex(const std::string& name) const {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    if (name == absl::StrCat(kNodePrefix, node)) {
      return node;
    }
  }
  throw Error(ResultCode::kUnknownName, absl::StrCat("no node is named ", name));
}

void ReplayedCluster::Begin(const Fault& fault) {
  const absl::Duration length = fault.until - fault.from;
  const bool at_backend = !fault.target.empty() && !fault.target.starts_with(kNodePrefix);
  if (at_backend && length > absl::ZeroDuration()) {
    absences_.push_back({fault.target, now(), now() + length});
  }
  switch (fault.kind) {
    case FaultKind::kKillBackend:
    case FaultKind::kStopBackend:
      simulation_.CrashBackend(IndexOf(BackendId(fault.target)));
      break;
    case FaultKind::kFreezeBackend:
      simulation_.environment().Pause(simulation_.BackendHost(IndexOf(BackendId(fault.target))),
                                      length);
      break;
    case FaultKind::kDrainBackend:
      Drain(fault.target, true);
      leaving_.push_back({BackendId(fault.target), now() + kLeavingGrace, now() + length});
      break;
    case FaultKind::kKillNode:
    case FaultKind::kStopNode:
      simulation_.CrashNode(NodeIndex(fault.target));
      break;
    case FaultKind::kFreezeNode:
      simulation_.environment().Pause(simulation_.NodeHost(NodeIndex(fault.target)), length);
      break;
    case FaultKind::kTableDown:
    case FaultKind::kTableSlow:
      simulation_.table().SetCondition(simulation::StoreCondition::kDown);
      break;
    case FaultKind::kLoseTableAnswers:
      simulation_.table().SetCondition(simulation::StoreCondition::kAnswersLost);
      break;
    case FaultKind::kMoveKey:
      MoveKey(fault);
      break;
    case FaultKind::kRotateHotKeys:
      break;
  }
}

void ReplayedCluster::End(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillBackend:
    case FaultKind::kStopBackend:
      simulation_.RestartBackend(IndexOf(BackendId(fault.target)));
      break;
    case FaultKind::kDrainBackend:
      Drain(fault.target, false);
      break;
    case FaultKind::kKillNode:
    case FaultKind::kStopNode:
      simulation_.RestartNode(NodeIndex(fault.target));
      break;
    case FaultKind::kTableDown:
    case FaultKind::kTableSlow:
    case FaultKind::kLoseTableAnswers:
      simulation_.table().SetCondition(simulation::StoreCondition::kUp);
      break;
    case FaultKind::kFreezeBackend:
    case FaultKind::kFreezeNode:
    case FaultKind::kMoveKey:
    case FaultKind::kRotateHotKeys:
      break;
  }
}

simulation::NodeProcess* ReplayedCluster::AnyNode() {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    simulation::NodeProcess* const process = simulation_.Node(node);
    if (process != nullptr && !simulation_.environment().IsPaused(process->host())) {
      return process;
    }
  }
  throw Error(ResultCode::kNodeUnreachable, "no node is alive");
}

void ReplayedCluster::Drain(const std::string& backend, bool draining) {
  AnyNode()->Propose(SetDraining{.backend = BackendId(backend), .draining = draining},
                     [](const ProposalResult&) {});
}

void ReplayedCluster::MoveKey(const Fault& fault) {
  const size_t name_end = fault.target.rfind('-');
  const configuration::KeyMove move{ServiceName(fault.target.substr(0, name_end)), fault.key,
                                    BackendId(fault.target)};
  simulation::NodeProcess* const node = AnyNode();
  for (const Command& command : configuration::PlanMove(node->Routing(), move)) {
    node->Propose(command, [](const ProposalResult&) {});
  }
}

void ReplayedCluster::AddPresenceTo(Evidence& evidence, absl::Time from, absl::Time until) const {
  for (const ServiceSpec& service : deployment_.services) {
    for (uint32_t i = 0; i < service.backend_count; ++i) {
      const std::string name = BackendName(service, i);
      Presence presence{.backend = BackendId(name),
                        .service = service.configuration.name.value(),
                        .slots = deployment_.slots,
                        .from = from,
                        .until = until};
      for (const Absence& absence : absences_) {
        if (absence.backend == name) {
          presence.until = absence.from;
          evidence.presence.push_back(presence);
          presence.from = absence.until;
          presence.until = until;
        }
      }
      evidence.presence.push_back(presence);
    }
  }
  evidence.leaving = leaving_;
}

}  // namespace ladderstream::rehearsal
