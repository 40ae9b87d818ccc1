#include "standin/fleet/node_pool.h"

#include <algorithm>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr int kMissesToLeave = 2;
constexpr int kOk = 200;

}  // namespace

NodePool::NodePool(EventLoop* loop, std::mt19937_64* random, Duration interval)
    : loop_(loop), random_(random), interval_(interval) {}

void NodePool::SetNodes(const std::vector<NodeAddress>& nodes) {
  nodes_.clear();
  for (const NodeAddress& address : nodes) {
    nodes_.push_back({.address = address, .ready = false, .misses = 0});
  }
  AskAll();
  if (!asking_) {
    asking_ = true;
    loop_->Every(interval_, [this] { AskAll(); });
  }
}

void NodePool::AskAll() {
  for (size_t index = 0; index < nodes_.size(); ++index) {
    const auto connection = HttpClientConnection::Make(loop_, nodes_[index].address.readiness);
    const interfaces::HttpRequest request{.method = "GET",
                                          .target = wire::kReadyPath,
                                          .headers = {{"Connection", "close"}},
                                          .body = ""};
    connection->Call(request, interval_, interval_, [this, index](const CallResult& result) {
      OnAnswer(index, result.end == CallEnd::kAnswered && result.response.status == kOk);
    });
  }
}

void NodePool::OnAnswer(size_t index, bool good) {
  if (index >= nodes_.size()) {
    return;
  }
  Node& node = nodes_[index];
  node.misses = good ? 0 : node.misses + 1;
  node.ready = good || (node.ready && node.misses < kMissesToLeave);
}

size_t NodePool::ready_count() const {
  return static_cast<size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) { return node.ready; }));
}

size_t NodePool::Pick(size_t avoid) const {
  const bool use_all = ready_count() * 2 < nodes_.size();
  std::vector<size_t> candidates;
  for (size_t index = 0; index < nodes_.size(); ++index) {
    if ((use_all || nodes_[index].ready) && index != avoid) {
      candidates.push_back(index);
    }
  }
  if (candidates.empty()) {
    return avoid < nodes_.size() ? avoid : 0;
  }
  std::uniform_int_distribution<size_t> distribution(0, candidates.size() - 1);
  return candidates[distribution(*random_)];
}

}  // namespace ladderstream::fleet
