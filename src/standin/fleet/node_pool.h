// The platform's entry: asks each node whether it is ready, and hands out nodes to new connections.
#pragma once

#include <random>
#include <vector>

#include "standin/fleet/event_loop.h"
#include "standin/fleet/http_client.h"
#include "wire/identifiers.h"

namespace ladderstream::fleet {

struct NodeAddress {
  /// Where callers connect.
  Endpoint front;
  /// Where readiness is asked.
  Endpoint readiness;
};

class NodePool {
 public:
  NodePool(EventLoop* loop, std::mt19937_64* random, Duration interval);

  /// Asks the nodes from now on, the first time at once. No node is in before it answered.
  void SetNodes(const std::vector<NodeAddress>& nodes);

  size_t size() const { return nodes_.size(); }
  const NodeAddress& node(size_t index) const { return nodes_[index].address; }
  bool IsReady(size_t index) const { return nodes_[index].ready; }
  size_t ready_count() const;

  /// A node for a new connection, preferably another one than `avoid` (size() for none). All nodes
  /// are used while fewer than half are ready.
  size_t Pick(size_t avoid) const;

 private:
  struct Node {
    NodeAddress address;
    bool ready = false;
    int misses = 0;
  };

  void AskAll();
  void OnAnswer(size_t index, bool good);

  EventLoop* loop_;
  std::mt19937_64* random_;
  Duration interval_;
  std::vector<Node> nodes_;
  bool asking_ = false;
};

}  // namespace ladderstream::fleet
