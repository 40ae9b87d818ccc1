// The processes of one simulated deployment, and how they reach each other.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "simulation/backend_process.h"
#include "simulation/environment.h"
#include "simulation/history.h"
#include "simulation/node_process.h"
#include "simulation/table_service.h"

namespace ladderstream::simulation {

struct ClusterSettings {
  uint64_t seed = 1;
  size_t nodes = 5;
  /// Divided among the two services.
  size_t backends = 6;
  uint32_t ranges = 4;
  /// What the table service holds at first, with as many back ends as `backends`; a small
  /// deployment of two services when this one has none.
  Configuration configuration;
  authority::AuthoritySettings authority;
  NetworkSettings network;
};

class Cluster : public BackendPeers, public NodePeers {
 public:
  explicit Cluster(const ClusterSettings& settings);

  /// Starts every process, with the first configuration in the table service.
  void Start();

  void CrashNode(size_t node);
  /// Another, empty process at the same address.
  void RestartNode(size_t node);
  void CrashBackend(size_t backend);
  void RestartBackend(size_t backend);

  Environment& environment() { return environment_; }
  TableService& table() { return table_; }
  History& history() { return history_; }
  const Configuration& first_configuration() const { return configuration_; }

  HostId NodeHost(size_t node) const { return node; }
  HostId BackendHost(size_t backend) const { return settings_.nodes + backend; }
  size_t node_count() const { return settings_.nodes; }
  size_t backend_count() const { return settings_.backends; }
  /// The process that runs there now, or nullptr.
  NodeProcess* Node(size_t node) { return nodes_[node].get(); }
  BackendProcess* Backend(size_t backend) { return backends_[backend].get(); }
  BackendProcess* FindBackendProcess(const BackendId& id);
  /// The node that leads in the highest term.
  std::optional<size_t> Leader();

  /// Runs the next event and checks what must always hold. Gives false at `end`.
  bool Step(Time end);
  /// Whether each range has a back end that would serve it now.
  bool AllServed();
  bool IsServed(const ShardId& shard);

  void AskForLease(HostId backend, uint64_t choice, const LeaseRequest& request,
                   std::function<void(const LeaseResponse&)> answer) override;
  void NoteRun(uint64_t request_id) override { history_.NoteRun(request_id); }
  void SendFrame(HostId from, const NodeDescriptor& to, const PeerFrame& frame) override;
  void PushGrants(HostId from, const authority::PushGrants& push) override;
  void NoteRoutingChanged(HostId node) override;

 private:
  std::vector<const BackendProcess*> LiveBackends() const;
  std::optional<HostId> FindNodeHost(const NodeDescriptor& node) const;

  ClusterSettings settings_;
  Environment environment_;
  TableService table_;
  History history_;
  Configuration configuration_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<std::unique_ptr<BackendProcess>> backends_;
};

}  // namespace ladderstream::simulation
