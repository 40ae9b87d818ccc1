// Orders that go through other nodes, and nodes that lose the path to all back ends.
#include <absl/strings/str_cat.h>

#include <utility>
#include <variant>

#include "model_world.h"

namespace ladderstream::ownership {
namespace {

constexpr Duration kRelayTickInterval = absl::Milliseconds(10);
constexpr Duration kOwnerCheckInterval = absl::Milliseconds(20);
constexpr uint32_t kHolderCutPercent = 70;

}  // namespace

ModelNode* ModelWorld::NodeWith(uint64_t incarnation) {
  for (ModelNode& node : nodes_) {
    if (node.coordinator && node.incarnation == incarnation) {
      return &node;
    }
  }
  return nullptr;
}

void ModelWorld::RelayTick(size_t index, uint64_t incarnation) {
  ModelNode& node = nodes_[index];
  if (node.incarnation != incarnation) {
    return;
  }
  std::vector<uint64_t> peers;
  for (const ModelNode& other : nodes_) {
    if (other.index != index && other.coordinator) {
      peers.push_back(other.incarnation);
    }
  }
  ToNode(index, incarnation, [this, index, peers] {
    nodes_[index].relay.SetPeers(peers);
    nodes_[index].relay.OnTick(now_);
    PerformRelayActions(nodes_[index]);
  });
  After(kRelayTickInterval, [this, index, incarnation] { RelayTick(index, incarnation); });
}

void ModelWorld::PerformRelayActions(ModelNode& node) {
  for (const OrderRelayAction& action : node.relay.TakeActions()) {
    std::visit([this, &node](const auto& one) { Perform(node, one); }, action);
  }
}

void ModelWorld::Perform(ModelNode& node, const SendDirectAction& send) {
  const size_t index = node.index;
  const uint64_t incarnation = node.incarnation;
  Deliver(index, node.orders.at(send.call),
          [this, index, incarnation, call = send.call](const OrderReply& reply, Duration delay) {
            After(delay, [this, index, incarnation, call, reply] {
              ReplyThroughRelay(index, incarnation, call, 0, reply);
            });
          });
}

void ModelWorld::Perform(ModelNode& node, const SendThroughPeerAction& send) {
  ModelNode* peer = NodeWith(send.peer);
  if (peer == nullptr || now_ < peer->peers_cut_until || now_ < node.peers_cut_until) {
    return;
  }
  const size_t index = node.index;
  const uint64_t incarnation = node.incarnation;
  const CallId call = send.call;
  const auto reply = [this, index, incarnation, call, peer = send.peer](const OrderReply& result,
                                                                        Duration delay) {
    After(delay + DrawMs(1, 3), [this, index, incarnation, call, peer, result] {
      ReplyThroughRelay(index, incarnation, call, peer, result);
    });
  };
  // A peer that is paused takes the order up later, and drops a grant that has become too old.
  After(DrawMs(1, 3), [this, send, reply, order = node.orders.at(call), to = peer->index] {
    ToNode(to, send.peer, [this, send, reply, order, to] {
      if (now_ >= send.send_by) {
        reply({OrderStatus::kNotSent, ""}, DrawMs(1, 3));
      } else {
        Deliver(to, order, reply);
      }
    });
  });
}

void ModelWorld::Perform(ModelNode& node, const OrderOutcomeAction& outcome) {
  node.orders.erase(outcome.call);
  node.coordinator->OnOrderReply(outcome.call, outcome.reply, now_);
}

void ModelWorld::Perform(ModelNode& node, const OrderPathChangeAction& change) {
  Trace(absl::StrCat("node ", node.index, change.direct ? " directly to " : " through peers to ",
                     change.backend, ": ", change.detail));
}

void ModelWorld::ReplyThroughRelay(size_t index, uint64_t incarnation, CallId call, uint64_t peer,
                                   const OrderReply& reply) {
  ToNode(index, incarnation, [this, index, call, peer, reply] {
    ModelNode& node = nodes_[index];
    if (peer == 0) {
      node.relay.OnDirectReply(call, reply, now_);
    } else {
      node.relay.OnPeerReply(call, peer, reply, now_);
    }
    PerformRelayActions(node);
  });
}

void ModelWorld::PathFault() {
  const Time until = std::min(faults_end_, now_ + DrawMs(300, 9000));
  const size_t spared = Draw(nodes_.size());
  for (ModelNode& node : nodes_) {
    const bool holds = node.coordinator && node.coordinator->Holds(now_);
    if (node.index != spared && Chance(holds ? kHolderCutPercent : 50)) {
      Trace(absl::StrCat("node ", node.index, " loses the path to all back ends until ",
                         absl::ToInt64Milliseconds(until - absl::UnixEpoch())));
      node.backends_cut_until = until;
    }
  }
  // One node reaches the back ends at any time.
  nodes_[spared].backends_cut_until = now_;
}

void ModelWorld::CheckNoKeyUnowned() {
  for (const ModelNode& node : nodes_) {
    if (!node.coordinator || !node.coordinator->Holds(now_)) {
      continue;
    }
    for (const auto& [service, ownership] : node.coordinator->Map().services) {
      for (const Assignment& assignment : ownership.assignments) {
        const ModelBackend* owner = BackendWithId(assignment.owner);
        for (const Key key : keys_) {
          bool moving = !assignment.range.Contains(key);
          for (const KeyRange& range : ownership.moving) {
            moving = moving || range.Contains(key);
          }
          if (!moving && (owner == nullptr || !owner->Holds(key, now_))) {
            ReportViolation(absl::StrCat("key ", key, " of ", service, " is not held by its owner ",
                                         assignment.owner));
          }
        }
      }
    }
  }
  After(kOwnerCheckInterval, [this] { CheckNoKeyUnowned(); });
}

}  // namespace ladderstream::ownership
