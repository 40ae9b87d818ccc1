// Plays a trace with the decisions of ladderstream_node over a modelled platform on simulated time:
// the coordinator of every node with the real partitioner, the store, and back ends that hold keys.
// The same trace gives the same outcome every time.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "core/ownership/coordinator.h"
#include "model_backend.h"
#include "model_store.h"
#include "trace.h"

namespace ladderstream::replay {

struct Outcome {
  uint64_t requests = 0;
  uint64_t in_time = 0;
  /// The worst service's most loaded back end, over the mean.
  double imbalance = 0;
  double churn = 0;
  Duration unavailable;
  /// What must never happen, and did.
  std::vector<std::string> violations;
};

/// Gives the bounds that `outcome` misses, a line each; violations among them.
std::vector<std::string> FindMisses(const Expectation& expectation, const Outcome& outcome);

class Replayer {
 public:
  explicit Replayer(const Trace& trace);
  ~Replayer();

  Outcome Run();

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

  struct Node {
    uint64_t incarnation = 0;
    /// Null while the process is down.
    std::unique_ptr<ownership::Coordinator> coordinator;
    /// What the coordinator was told.
    catalog::BackendSet registered;
    Time frozen_until = absl::InfinitePast();
    /// What reached it while it was frozen.
    std::deque<Event> inbox;
    Time wake = absl::InfiniteFuture();
  };

  struct Backend {
    ownership::ModelBackend state;
    size_t starts = 0;
    Time draining_since = absl::InfiniteFuture();
    uint64_t served = 0;
  };

  struct Request {
    std::string service;
    ownership::Key key = 0;
    Time first_try;
  };

  /// The highest fence of keys, and whose it is.
  struct Highest {
    ownership::Fence fence = 0;
    std::string owner;
  };

  void At(Time at, Event event);
  void After(Duration delay, Event event) { At(now_ + delay, std::move(event)); }

  // Nodes (replayed_nodes.cc).
  void StartNode(size_t index);
  void EndNode(size_t index);
  void ToNode(size_t index, uint64_t incarnation, Event event);
  void Thaw(size_t index);
  void Drain(size_t index);
  void Perform(size_t index, const ownership::Action& action);
  void CallStore(size_t index, ownership::CallId call, std::function<store::StoreReply()> work);
  void SendOrder(size_t index, ownership::CallId call, const Endpoint& address,
                 const std::string& id,
                 std::function<ownership::OrderReply(ownership::ModelBackend&)> work);
  void ReplyOrder(size_t index, ownership::CallId call, const ownership::OrderReply& reply,
                  Duration delay);
  void Heartbeat();
  void TellCatalog(size_t index);
  void TellCatalogToAll();
  void TellEnded(uint64_t incarnation);
  /// Null when no node holds the lease.
  Node* Holder();

  // Platform and requests (replayer.cc).
  void Strike(const Fault& fault);
  void StartBackend(Backend* backend);
  void EndBackend(Backend* backend);
  void List(Backend* backend, bool listed);
  void Try(const Request& request);
  void TryAgain(const Request& request, Duration delay);
  void End(const Request& request, Backend* server);
  void Publish(const ownership::OwnershipMap& map);
  void CountChurn(const std::string& service, const ownership::Assignments& before,
                  const ownership::Assignments& after);
  void CheckGrant(const ownership::ModelBackend& backend, const ownership::KeyRange& range,
                  ownership::Fence fence);
  void CountImbalance();
  Backend* BackendAt(const Endpoint& address);
  Backend* BackendWithId(const std::string& id);

  const Trace& trace_;
  Time now_;
  Time end_;
  uint64_t scheduled_ = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> events_;
  std::vector<Node> nodes_;
  std::map<std::string, std::vector<std::unique_ptr<Backend>>> services_;
  ownership::ModelStore store_;
  Time store_down_until_ = absl::InfinitePast();
  ownership::CoordinatorSettings settings_;
  ownership::OwnershipMap map_;
  /// Until when nodes may use the map.
  Time map_until_ = absl::InfinitePast();
  std::map<std::string, std::map<ownership::Key, double>> asked_;
  std::map<std::string, ownership::KeyMap<Highest>> highest_;
  uint64_t last_incarnation_ = 0;
  Outcome outcome_;
};

}  // namespace ladderstream::replay
