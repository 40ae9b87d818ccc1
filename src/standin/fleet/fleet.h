// A whole platform in one process: the store, services of back ends, an operator and callers.
//
// The nodes under test are processes of their own (see node_processes.h) or, in tests of the
// stand-in itself, none.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "standin/fleet/backend.h"
#include "standin/fleet/callers.h"
#include "standin/fleet/config_writer.h"
#include "standin/fleet/event_loop.h"
#include "standin/fleet/judge.h"
#include "standin/fleet/node_pool.h"
#include "standin/fleet/registry.h"
#include "standin/fleet/store_server.h"

namespace ladderstream::fleet {

struct FleetSettings {
  std::vector<std::string> zones = {"a", "b", "c"};
  std::vector<ServiceSpec> services;
  catalog::Configuration configuration;
  StoreSettings store;
  Duration heartbeat = absl::Milliseconds(500);
  Duration readiness_interval = absl::Milliseconds(500);
  JudgeBounds bounds;
  /// Of one node, in megabytes; 0: what the node takes when it is told none.
  uint32_t node_memory_mb = 0;
  uint64_t seed = 1;
};

class Fleet {
 public:
  /// Starts the store and the back ends, and writes the first configuration.
  explicit Fleet(const FleetSettings& settings);

  EventLoop& loop() { return loop_; }
  StoreServer& store() { return *store_; }
  ConfigWriter& operators() { return *config_writer_; }
  NodePool& nodes() { return *nodes_; }
  Callers& callers() { return *callers_; }
  History& history() { return history_; }
  const FleetSettings& settings() const { return settings_; }
  /// Interval at which back ends renew their registrations.
  Duration heartbeat() const { return registry_->heartbeat(); }

  /// Starts one more back end, at an address of its own.
  Backend& AddBackend(const std::string& service, const std::string& zone);
  Backend& AddBackend(const std::string& service, const std::string& zone, const Endpoint& listen);
  /// A new incarnation at the address of one that has ended, perhaps of another service.
  Backend& Replace(const Backend& ended, const std::string& service);
  /// A new incarnation at the address and under the name of one that has ended.
  Backend& Restart(const Backend& ended);
  /// All that have not ended.
  std::vector<Backend*> backends(const std::string& service);
  /// The back end that holds a key; null when none does.
  Backend* OwnerOf(const std::string& service, ownership::Key key);
  /// Whether every key of every sharded service is held by somebody.
  bool AllKeysHeld();

  /// Sets the source address of a node's connections to back ends.
  void SetSource(size_t node, const std::string& source) { sources_[node] = source; }
  /// Cuts these nodes off from all back ends, and no others; an empty set ends that.
  void CutOffFromBackends(const std::set<size_t>& nodes, CutMode mode);

  /// From now until Calm(), bounds of time do not bind.
  void Disturb();
  /// The same for a time, for one node or, if empty, for all.
  void DisturbFor(Duration time, std::optional<size_t> node,
                  DisturbanceKind kind = DisturbanceKind::kNode);
  /// A process of a node starts now.
  void NoteStart(size_t node) { history_.starts.push_back({node, EventLoop::Now()}); }
  void Calm();

  /// Stops the callers and waits for the calls under way, and then for the work of back ends: what
  /// is judged before may still be answered, or end, in time.
  void FinishCalls();
  Verdict Judge() const { return fleet::Judge(history_, settings_.bounds); }

 private:
  const ServiceSpec& Spec(const std::string& service) const;
  BackendContext MakeContext();
  Backend& AddBackend(const BackendContext& context, const std::string& service,
                      const std::string& zone, const Endpoint& listen);
  /// Another back end comes in the place of one that ended under a request.
  void OnEndedByRequest(const Backend& ended, RequestedEnd end);

  EventLoop loop_;
  FleetSettings settings_;
  std::mt19937_64 random_;
  History history_;
  std::unique_ptr<StoreServer> store_;
  std::unique_ptr<Registry> registry_;
  std::unique_ptr<ConfigWriter> config_writer_;
  std::unique_ptr<NodePool> nodes_;
  std::unique_ptr<Callers> callers_;
  std::map<std::string, HandoverLedger> ledgers_;
  std::map<size_t, std::string> sources_;
  /// Of the nodes that are cut off.
  std::set<std::string> cut_sources_;
  CutMode cut_mode_ = CutMode::kSilent;
  /// Ended ones stay: the loop may still call them.
  std::vector<std::unique_ptr<Backend>> backends_;
};

}  // namespace ladderstream::fleet
