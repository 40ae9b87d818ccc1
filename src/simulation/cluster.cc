#include "simulation/cluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::simulation {
namespace {

constexpr uint16_t kFirstPort = 7000;
constexpr size_t kZones = 3;

ServiceConfiguration MakeService(const std::string& name, uint32_t ranges) {
  ServiceConfiguration service;
  service.name = ServiceName(name);
  service.key_prefixes = {name + "/"};
  service.range_count = ranges;
  service.requests = {{"read", true}, {"book", false}};
  return service;
}

Configuration MakeConfiguration(const ClusterSettings& settings) {
  if (!settings.configuration.services.empty()) {
    return settings.configuration;
  }
  Configuration configuration;
  configuration.revision = Revision(1);
  configuration.services = {MakeService("scripts", settings.ranges),
                            MakeService("boards", settings.ranges)};
  for (size_t i = 0; i < settings.backends; ++i) {
    BackendConfiguration backend;
    backend.service = configuration.services[i % configuration.services.size()].name;
    backend.id = BackendId(absl::StrCat(backend.service.value(), "-", i));
    backend.zone = absl::StrCat("zone-", i % kZones);
    backend.endpoint = {"127.0.0.1", static_cast<uint16_t>(kFirstPort + 1000 + i)};
    configuration.backends.push_back(backend);
  }
  return configuration;
}

}  // namespace

Cluster::Cluster(const ClusterSettings& settings)
    : settings_(settings),
      environment_(settings.seed, settings.authority.replication.max_clock_drift, settings.network),
      table_(environment_),
      configuration_(MakeConfiguration(settings)),
      nodes_(settings.nodes),
      backends_(settings.backends) {
  for (size_t i = 0; i < settings.nodes; ++i) {
    environment_.AddHost(absl::StrCat("node-", i));
  }
  for (const BackendConfiguration& backend : configuration_.backends) {
    environment_.AddHost(backend.id.value());
  }
}

void Cluster::Start() {
  table_.Put(kConfigurationRow, Encode(configuration_));
  for (size_t i = 0; i < nodes_.size(); ++i) {
    RestartNode(i);
  }
  for (size_t i = 0; i < backends_.size(); ++i) {
    RestartBackend(i);
  }
}

void Cluster::CrashNode(size_t node) {
  environment_.Crash(NodeHost(node));
  nodes_[node].reset();
}

void Cluster::RestartNode(size_t node) {
  if (nodes_[node] != nullptr) {
    return;
  }
  authority::AuthoritySettings own = settings_.authority;
  std::vector<NodeDescriptor> seeds(nodes_.size());
  for (size_t i = 0; i < seeds.size(); ++i) {
    seeds[i].peer = {"127.0.0.1", static_cast<uint16_t>(kFirstPort + i)};
  }
  own.self = seeds[node];
  own.self.id = NodeId(environment_.DrawNumber() | 1);
  own.self.name = environment_.NameOf(NodeHost(node));
  own.self.zone = absl::StrCat("zone-", node % kZones);
  own.self.http = own.self.peer;
  own.group = GroupId(1);
  own.seed = environment_.DrawNumber();
  environment_.Restart(NodeHost(node));
  nodes_[node] = std::make_unique<NodeProcess>(environment_, *this, table_, NodeHost(node), own);
  nodes_[node]->Start(seeds);
}

void Cluster::CrashBackend(size_t backend) {
  environment_.Crash(BackendHost(backend));
  backends_[backend].reset();
}

void Cluster::RestartBackend(size_t backend) {
  if (backends_[backend] != nullptr) {
    return;
  }
  environment_.Restart(BackendHost(backend));
  backends_[backend] = std::make_unique<BackendProcess>(environment_, *this, BackendHost(backend),
                                                        configuration_.backends[backend].id);
  backends_[backend]->Start();
}

BackendProcess* Cluster::FindBackendProcess(const BackendId& id) {
  const auto found = std::find_if(backends_.begin(), backends_.end(), [&](const auto& backend) {
    return backend != nullptr && backend->id() == id;
  });
  return found == backends_.end() ? nullptr : found->get();
}

std::optional<size_t> Cluster::Leader() {
  std::optional<size_t> leader;
  std::pair<uint64_t, uint64_t> newest;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i] == nullptr) {
      continue;
    }
    const authority::AuthorityStatus status = nodes_[i]->Status();
    const std::pair term(status.generation, status.term);
    if (status.role == replication::Role::kLeader && term >= newest) {
      newest = term;
      leader = i;
    }
  }
  return leader;
}

bool Cluster::Step(Time end) {
  const bool has_more = environment_.Step(end);
  history_.CountEvent();
  history_.CheckOwners(LiveBackends());
  return has_more;
}

std::vector<const BackendProcess*> Cluster::LiveBackends() const {
  std::vector<const BackendProcess*> live;
  for (const auto& backend : backends_) {
    if (backend != nullptr) {
      live.push_back(backend.get());
    }
  }
  return live;
}

bool Cluster::IsServed(const ShardId& shard) {
  const auto live = LiveBackends();
  return std::any_of(live.begin(), live.end(), [&](const BackendProcess* backend) {
    const auto& grants = backend->held().grants;
    return backend->HasLease() && !environment_.IsPaused(backend->host()) &&
           std::any_of(grants.begin(), grants.end(),
                       [&](const Grant& grant) { return grant.shard == shard; });
  });
}

bool Cluster::AllServed() {
  for (const ServiceConfiguration& service : configuration_.services) {
    for (uint32_t range = 0; range < service.range_count; ++range) {
      if (!IsServed({service.name, RangeIndex(range), ""})) {
        return false;
      }
    }
  }
  return true;
}

void Cluster::AskForLease(HostId backend, uint64_t choice, const LeaseRequest& request,
                          std::function<void(const LeaseResponse&)> answer) {
  const size_t node = (backend + choice) % nodes_.size();
  environment_.Transmit(backend, NodeHost(node), [this, backend, node, request, answer] {
    nodes_[node]->RequestLease(request, [this, backend, node, answer](const auto& response) {
      environment_.Transmit(NodeHost(node), backend, [answer, response] { answer(response); });
    });
  });
}

std::optional<HostId> Cluster::FindNodeHost(const NodeDescriptor& node) const {
  if (node.peer.port != 0) {
    return static_cast<HostId>(node.peer.port - kFirstPort);
  }
  for (const auto& process : nodes_) {
    if (process != nullptr && process->id() == node.id) {
      return process->host();
    }
  }
  return std::nullopt;
}

void Cluster::SendFrame(HostId from, const NodeDescriptor& to, const PeerFrame& frame) {
  const auto host = FindNodeHost(to);
  if (!host) {
    return;
  }
  // Through the wire's bytes, as between real processes.
  environment_.Transmit(from, *host, [this, node = *host, bytes = Encode(frame)] {
    nodes_[node]->Receive(Decode<PeerFrame>(bytes));
  });
}

void Cluster::PushGrants(HostId from, const authority::PushGrants& push) {
  BackendProcess* const target = FindBackendProcess(push.backend.id);
  if (target == nullptr) {
    return;
  }
  const size_t index = target->host() - settings_.nodes;
  environment_.Transmit(from, target->host(), [this, index, grants = push.grants] {
    backends_[index]->ReceivePush(grants);
  });
}

void Cluster::NoteRoutingChanged(HostId node) {
  history_.CheckRevision(nodes_[node]->id(), nodes_[node]->Routing().configuration);
}

}  // namespace ladderstream::simulation
