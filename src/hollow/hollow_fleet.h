// Many control-plane nodes in one process, on simulated time.
//
// Each node is an authority::Authority, the very class that the daemon runs; every message between
// nodes is encoded and decoded by the real codec, and its bytes are counted. Groups are independent
// of each other: each reads a configuration row of its own, and no routing state passes from one to
// another. Not thread-safe.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/authority/authority.h"
#include "emulator/event_queue.h"
#include "hollow/hollow_backend.h"
#include "hollow/hollow_store.h"
#include "hollow/topology.h"
#include "hollow/traffic.h"

namespace ladderstream::hollow {

struct FleetOptions {
  TopologyOptions topology;
  int backends_per_node = 1;
  uint32_t ranges_per_group = 256;
  /// Shards that each node reports load for.
  int reported_shards = 16;
  authority::AuthoritySettings settings;
  /// Transactions a second at the table service, over all groups.
  double store_rate_limit = 1000;
  Duration same_zone_delay = absl::Microseconds(250);
  Duration other_zone_delay = absl::Milliseconds(1);
  Duration store_delay = absl::Milliseconds(5);
  uint64_t seed = 1;
};

struct HollowNode {
  NodeDescriptor descriptor;
  Place place;
  bool alive = true;
  std::unique_ptr<authority::Authority> authority;
  Traffic traffic;
  Time next_tick = absl::InfiniteFuture();
};

class HollowFleet {
 public:
  explicit HollowFleet(const FleetOptions& options);

  void Run(Duration duration) { queue_.RunUntil(queue_.now() + duration); }
  Time now() const { return queue_.now(); }

  /// Nodes end without a word.
  void KillNodes(const std::function<bool(const Place&)>& which);
  void KillNode(size_t node);
  /// Back ends whose place in the list matches end without a word.
  void KillBackend(size_t backend);
  /// Regions lose each other and the table service, which stands in region 0.
  void CutRegions(bool cut) { regions_cut_ = cut; }

  /// Writes a configuration of a new revision to every group's row.
  void ChangeConfiguration();
  /// Whether every live node of a group with a live majority has the newest revision in force.
  bool ConfigurationIsInForce();

  /// Whether live back ends with a lease hold grants for all ranges of the group.
  bool IsServed(uint32_t group) const;
  /// Whether every live node of the group routes every range to a live back end with a live home.
  bool IsRouted(uint32_t group);

  /// Starts counting traffic afresh.
  void ResetTraffic();

  const std::vector<HollowNode>& nodes() const { return nodes_; }
  const std::vector<HollowBackend>& backends() const { return backends_; }
  const Topology& topology() const { return topology_; }
  const HollowStore& store() const { return store_; }
  /// Of the group: the nodes alive.
  size_t LiveNodes(uint32_t group) const;

 private:
  void AddNodes();
  void AddBackends();
  void IntroducePeers();
  std::string StorePrefix(uint32_t group) const;
  ServiceName ServiceOf(uint32_t group) const;
  Configuration ConfigurationOf(uint32_t group) const;

  void Deliver(size_t node, const authority::Event& event);
  void Tick(size_t node);
  void ScheduleTick(size_t node);
  void ReportLoad(size_t node);
  void Take(size_t node, std::vector<authority::Action> actions);
  void TakeOne(size_t node, authority::SendMessage& action);
  void TakeOne(size_t node, authority::AnswerLease& action);
  void TakeOne(size_t node, authority::RunStoreTransaction& action);
  void TakeOne(size_t node, authority::PushGrants& action);
  template <typename Other>
  void TakeOne(size_t node, Other& action) {
    // Nothing to do in a hollow node.
    static_cast<void>(node);
    static_cast<void>(action);
  }
  void Receive(size_t node, const std::string& frame);
  Duration DelayBetween(const Place& from, const Place& to) const;
  bool IsCut(const Place& from, const Place& to) const;
  bool IsCutFromStore(const Place& place) const;

  void AskForLease(size_t backend);
  void OnLease(size_t backend, uint64_t request, const LeaseResponse& response);
  void AskNextNode(size_t backend);

  FleetOptions options_;
  emulator::EventQueue queue_;
  std::mt19937_64 random_;
  Topology topology_;
  HollowStore store_;
  std::vector<HollowNode> nodes_;
  std::vector<HollowBackend> backends_;
  std::vector<std::vector<size_t>> backends_of_group_;
  absl::flat_hash_map<NodeId, size_t> node_index_;
  absl::flat_hash_map<BackendId, size_t> backend_index_;
  absl::flat_hash_map<uint64_t, std::pair<size_t, uint64_t>> lease_requests_;
  uint64_t next_correlation_ = 1;
  Revision revision_{1};
  bool regions_cut_ = false;
};

}  // namespace ladderstream::hollow
