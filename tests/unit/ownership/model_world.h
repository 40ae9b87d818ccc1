// A seeded simulation of coordinators, a store and back ends in simulated time.
//
// The seed determines the whole run. Faults are injected until faults_end_; afterwards the system
// must settle. Invariants are checked at each event, and the first violation ends the run.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/ownership/coordinator.h"
#include "core/ownership/order_relay.h"
#include "core/ownership/ownership_rows.h"
#include "model_backend.h"
#include "model_store.h"

namespace ladderstream::ownership {

/// Executes an order at a back end; `late` if it arrived long after it was decided.
using OrderWork = std::function<OrderReply(ModelBackend&, bool late)>;

/// An order of the holder that may go directly or through another node.
struct ModelOrder {
  Endpoint address;
  std::string backend;
  Duration hold;
  Time decided;
  OrderWork work;
};

struct ModelOptions {
  CommitLimits commit_limits = {};
  /// Orders go through other nodes when they get no answer directly, and nodes lose the path to all
  /// back ends now and then.
  bool relays_orders = false;
  /// No other faults happen, and no key may be without its owner.
  bool only_path_cuts = false;
  /// A cut link holds up orders: they arrive once it is whole, unless they were given up before.
  /// Cuts come in pairs. Orders that are taken within the time that the coordinator adds to the end
  /// of a hold count in full.
  bool links_hold_orders = false;
  /// Registrations appear of back ends that have ended and of back ends that never ran, at the
  /// addresses of back ends that run.
  bool stray_rows = false;
};

struct ModelNode {
  size_t index = 0;
  uint64_t incarnation = 0;
  Endpoint address;
  /// Null while the process is down.
  std::unique_ptr<Coordinator> coordinator;
  OrderRelay relay;
  std::map<CallId, ModelOrder> orders;
  /// The registered back ends last passed to the coordinator.
  catalog::BackendSet registered;
  /// End of a pause of the process; events that arrive meanwhile wait in `inbox`.
  Time frozen_until = absl::InfinitePast();
  std::deque<std::function<void()>> inbox;
  /// Actions decided at `decided` that a pause of the process kept from being performed.
  std::vector<Action> unsent;
  Time decided;
  Time store_cut_until = absl::InfinitePast();
  Time peers_cut_until = absl::InfinitePast();
  Time backends_cut_until = absl::InfinitePast();
  bool stopping = false;
  Time wake = absl::InfiniteFuture();
  // The map used for routing, and its expiry.
  std::shared_ptr<const OwnershipMap> map;
  Time map_until = absl::InfinitePast();
};

struct ModelCounts {
  uint64_t requests = 0;
  uint64_t denied = 0;
  uint64_t unroutable = 0;
  uint64_t grants = 0;
  uint64_t commits = 0;
  uint64_t takeovers = 0;
  uint64_t wakes = 0;
  /// Grants that were received late while another back end held some of their keys.
  uint64_t late_overlaps = 0;
};

class ModelWorld {
 public:
  explicit ModelWorld(uint64_t seed, const ModelOptions& options = {});
  ~ModelWorld();

  /// Runs the model. Returns the first violation, or an empty string.
  std::string Run();
  /// Returns the last trace lines.
  std::string TraceTail() const;
  const ModelCounts& counts() const { return counts_; }

 private:
  using Event = std::function<void()>;
  struct Scheduled {
    Time at;
    uint64_t order = 0;
    Event event;
    bool operator>(const Scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  // Randomness and simulated time.
  uint64_t Draw(uint64_t bound) { return random_() % bound; }
  bool Chance(uint32_t percent) { return Draw(100) < percent; }
  Duration DrawMs(uint64_t least, uint64_t most);
  void At(Time at, Event event);
  void After(Duration delay, Event event) { At(now_ + delay, std::move(event)); }
  void RunUntil(Time end);
  void Trace(const std::string& line);
  void ReportViolation(const std::string& what);

  // Nodes (model_nodes.cc).
  void StartNode(size_t index);
  void KillNode(size_t index);
  void StopNode(size_t index);
  /// Runs `event` at the node once it is not paused, unless its incarnation has ended.
  void ToNode(size_t index, uint64_t incarnation, Event event);
  void Resume(size_t index);
  void Drain(ModelNode& node);
  /// Performs actions decided at `decided`, unless the process pauses in between.
  void PerformAll(ModelNode& node, std::vector<Action> actions, Time decided);
  void Perform(ModelNode& node, const Action& action, Time decided);
  void PauseBefore(ModelNode& node, std::vector<Action> rest, Time decided);
  void SendToStore(ModelNode& node, CallId call, std::function<store::StoreReply()> work);
  /// Delivers the reply to an order after `delay`.
  using OrderReplier = std::function<void(const OrderReply& reply, Duration delay)>;

  void SendOrder(ModelNode& node, CallId call, ModelOrder order);
  /// Sends an order from node `from`.
  void Deliver(size_t from, const ModelOrder& order, const OrderReplier& reply);
  bool IsCut(size_t from, const ModelBackend& backend) const;
  /// The link holds the order up until it is whole. Nothing comes back.
  void HoldUp(size_t from, const ModelOrder& order);
  /// Whether an order that is taken now is taken later than the coordinator waits for.
  bool IsLate(const ModelOrder& order) const;
  void ReplyOrder(size_t index, uint64_t incarnation, CallId call, const OrderReply& reply,
                  Duration delay);
  // Orders through other nodes (model_relays.cc).
  void PerformRelayActions(ModelNode& node);
  void Perform(ModelNode& node, const SendDirectAction& send);
  void Perform(ModelNode& node, const SendThroughPeerAction& send);
  void Perform(ModelNode& node, const OrderOutcomeAction& outcome);
  void Perform(ModelNode& node, const OrderPathChangeAction& change);
  void ReplyThroughRelay(size_t index, uint64_t incarnation, CallId call, uint64_t peer,
                         const OrderReply& reply);
  void RelayTick(size_t index, uint64_t incarnation);
  ModelNode* NodeWith(uint64_t incarnation);
  /// Some nodes, but not all, lose the path to all back ends.
  void PathFault();
  /// Registers a back end that does not run, and deregisters it later.
  void StrayRowFault();
  /// Reports keys that the lease holder's map assigns and that their owner does not hold.
  void CheckNoKeyUnowned();
  void Broadcast(ModelNode& node);
  void PublishCatalog(ModelNode& node);
  void PublishCatalogToAll();
  void HeartbeatLoop();
  /// Reports the requests since the last call to every node.
  void PublishLoad();

  // Requests and invariants (model_invariants.cc).
  void RequestLoop();
  void StartRequest(ModelBackend& backend, Key key);
  void CheckGrant(const ModelNode& node, const GrantAction& grant, Time decided);
  void CheckHolds(const ModelBackend& backend, const KeyRange& range);
  /// Counts a late grant if another back end holds some of its keys. This is not a violation unless
  /// both execute requests for the same key.
  void CountLateOverlap(const ModelBackend& backend, const KeyRange& range);
  void CheckFences(const ModelBackend& backend, const KeyRange& range, Fence fence);
  void CheckCommits(const store::Transaction& transaction);
  /// Records for each node which keys are held by their owner and not moving.
  void RecordServedKeys();
  std::string CheckSettled();
  ModelBackend* BackendAt(const Endpoint& address);
  ModelBackend* BackendWithId(const std::string& id);

  // Faults (model_faults.cc).
  void StartBackend(const std::string& service, uint16_t port);
  void EndBackend(const std::string& id, bool orderly);
  void FaultLoop();
  void NodeFault();
  void BackendFault();
  /// Disconnects a node from the other nodes and the store and leaves it as the only one that
  /// reaches some back end.
  void Isolate(ModelNode& node);
  void StoreFault();
  /// Evacuates a zone and ends the evacuation later, when its back ends are cold.
  void EvacuateZone();
  /// Reports to a node, falsely, that the lease holder has ended.
  void ReportFalseEnd();
  std::string RandomBackend();
  /// Returns a port for a new back end, possibly one freed by another back end, also of another
  /// service.
  uint16_t TakePort();
  size_t CountUp(const std::string& service) const;

  std::mt19937_64 random_;
  Time now_;
  uint64_t scheduled_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> events_;
  std::deque<std::string> trace_;
  std::string violation_;
  ModelCounts counts_;

  const ModelOptions options_;
  CoordinatorSettings settings_;
  std::vector<std::string> services_;
  ModelStore store_;
  Time store_down_until_ = absl::InfinitePast();
  /// Calls sent during the outage may be executed after this time.
  Time store_executes_late_until_ = absl::InfinitePast();
  Time store_slow_until_ = absl::InfinitePast();
  Time store_loses_calls_until_ = absl::InfinitePast();
  std::vector<ModelNode> nodes_;
  uint64_t last_incarnation_ = 0;
  std::vector<std::unique_ptr<ModelBackend>> backends_;
  /// Registrations of back ends that do not run, beside those of `backends_`.
  std::vector<catalog::Backend> stray_rows_;
  uint64_t last_stray_ = 0;
  std::set<std::string> evacuated_;
  uint64_t last_backend_ = 0;
  uint16_t last_port_ = 0;
  std::vector<uint16_t> freed_ports_;
  std::vector<Key> keys_;
  std::map<std::string, std::vector<partition::KeyCount>> load_;
  std::map<std::pair<size_t, std::string>, KeyMap<bool>> observed_served_;
  Time faults_end_;

  struct HighestFence {
    Fence fence = 0;
    std::string owner;
    /// The highest fence of any other owner.
    Fence others = 0;
  };
  std::map<std::string, KeyMap<HighestFence>> highest_;
  std::set<std::tuple<std::string, Fence, std::string>> committed_;
  std::map<std::string, KeyMap<std::pair<Fence, std::string>>> committed_before_;
};

}  // namespace ladderstream::ownership
