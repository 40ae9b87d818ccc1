// The nodes of a replay, and their calls to the store and the back ends.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "replayer.h"

namespace ladderstream::replay {
namespace {

using ownership::CallId;
using ownership::OrderReply;
using ownership::OrderStatus;

constexpr Duration kHeartbeatInterval = absl::Milliseconds(300);
constexpr Duration kBetweenNodes = absl::Milliseconds(2);
constexpr Duration kToBackend = absl::Milliseconds(1);
constexpr Duration kStoreCall = absl::Milliseconds(3);
constexpr uint16_t kPeerPort = 7000;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

void Replayer::StartNode(size_t index) {
  Node& node = nodes_[index];
  node = {};
  node.incarnation = ++last_incarnation_;
  const auto port = static_cast<uint16_t>(kPeerPort + index);
  node.coordinator = std::make_unique<ownership::Coordinator>(
      settings_, ownership::NodeIdentity{.incarnation = node.incarnation,
                                         .name = absl::StrCat("node-", index),
                                         .peer_address = {"10.0.0.2", port}});
  node.registered = {};
  TellCatalog(index);
}

void Replayer::EndNode(size_t index) {
  Node& node = nodes_[index];
  if (node.coordinator == nullptr) {
    return;
  }
  const uint64_t incarnation = node.incarnation;
  node = {};
  TellEnded(incarnation);
}

/// A refused connection told the others.
void Replayer::TellEnded(uint64_t incarnation) {
  for (size_t other = 0; other < nodes_.size(); ++other) {
    After(kBetweenNodes, [this, other, to = nodes_[other].incarnation, incarnation] {
      ToNode(other, to, [this, other, incarnation] {
        nodes_[other].coordinator->OnCoordinatorEnded(incarnation, now_);
      });
    });
  }
}

void Replayer::ToNode(size_t index, uint64_t incarnation, Event event) {
  Node& node = nodes_[index];
  if (node.coordinator == nullptr || node.incarnation != incarnation) {
    return;
  }
  if (now_ < node.frozen_until) {
    node.inbox.push_back(std::move(event));
    return;
  }
  event();
  Drain(index);
}

void Replayer::Thaw(size_t index) {
  Node& node = nodes_[index];
  if (node.coordinator == nullptr || now_ < node.frozen_until) {
    return;
  }
  for (const Event& event : std::exchange(node.inbox, {})) {
    event();
    Drain(index);
  }
  node.coordinator->OnTick(now_);
  Drain(index);
}

void Replayer::Drain(size_t index) {
  Node& node = nodes_[index];
  for (const ownership::Action& action : node.coordinator->TakeActions()) {
    Perform(index, action);
  }
  const Time wake = std::max(node.coordinator->NextWake(), now_ + absl::Milliseconds(1));
  if (wake >= node.wake || wake == absl::InfiniteFuture()) {
    return;
  }
  node.wake = wake;
  At(wake, [this, index, wake, incarnation = node.incarnation] {
    Node& woken = nodes_[index];
    if (woken.incarnation != incarnation || woken.wake != wake) {
      return;
    }
    woken.wake = absl::InfiniteFuture();
    ToNode(index, incarnation, [this, index] { nodes_[index].coordinator->OnTick(now_); });
  });
}

void Replayer::Perform(size_t index, const ownership::Action& action) {
  std::visit(Overloaded{[&](const ownership::CommitAction& commit) {
                          CallStore(index, commit.call, [this, transaction = commit.transaction] {
                            return store_.Apply(transaction);
                          });
                        },
                        [&](const ownership::ReadAction& read) {
                          CallStore(index, read.call,
                                    [this, query = read.query] { return store_.Read(query); });
                        },
                        [&](const ownership::GrantAction& grant) {
                          SendOrder(index, grant.call, grant.address, grant.backend,
                                    [this, grant](ownership::ModelBackend& backend) {
                                      const OrderStatus status =
                                          backend.Grant(grant.range, grant.fence, grant.hold,
                                                        /*late=*/false, now_);
                                      if (status == OrderStatus::kDone) {
                                        CheckGrant(backend, grant.range, grant.fence);
                                      }
                                      return OrderReply{status, ""};
                                    });
                        },
                        [&](const ownership::ReleaseAction& release) {
                          SendOrder(index, release.call, release.address, release.backend,
                                    [this, release](ownership::ModelBackend& backend) {
                                      backend.Release(release.range, release.fence, now_);
                                      return OrderReply{OrderStatus::kDone, "handover"};
                                    });
                        },
                        [&](const ownership::PublishAction& publish) {
                          After(kBetweenNodes, [this, map = publish.map] { Publish(map); });
                        },
                        [&](const ownership::StateChangeAction& belief) {
                          if (belief.event == "resigned") {
                            TellEnded(nodes_[index].incarnation);
                          }
                        }},
             action);
}

void Replayer::CallStore(size_t index, CallId call, std::function<store::StoreReply()> work) {
  After(kStoreCall, [this, index, call, to = nodes_[index].incarnation, work = std::move(work)] {
    store::StoreReply reply;
    reply.status = store::StoreStatus::kRefused;
    if (now_ >= store_down_until_) {
      reply = work();
    }
    ToNode(index, to, [this, index, call, reply] {
      nodes_[index].coordinator->OnStoreReply(call, reply, now_);
    });
  });
}

void Replayer::SendOrder(size_t index, CallId call, const Endpoint& address, const std::string& id,
                         std::function<OrderReply(ownership::ModelBackend&)> work) {
  Backend* const backend = BackendAt(address);
  if (!backend->state.up) {
    ReplyOrder(index, call, {OrderStatus::kUnreachable, ""}, kToBackend);
    return;
  }
  // A frozen back end takes the order when it thaws, long after it was given up.
  const Time taken = std::max(now_ + kToBackend, backend->state.frozen_until);
  if (taken > now_ + settings_.order_timeout) {
    ReplyOrder(index, call, {OrderStatus::kNoAnswer, ""}, settings_.order_timeout);
  }
  At(taken, [this, index, call, id, backend, sent = now_, work = std::move(work)] {
    if (!backend->state.up) {
      return;
    }
    const OrderReply reply = backend->state.id == id ? work(backend->state)
                                                     : OrderReply{OrderStatus::kOtherInstance, ""};
    if (now_ <= sent + settings_.order_timeout) {
      ReplyOrder(index, call, reply, kToBackend);
    }
  });
}

void Replayer::ReplyOrder(size_t index, CallId call, const OrderReply& reply, Duration delay) {
  After(delay, [this, index, to = nodes_[index].incarnation, call, reply] {
    ToNode(index, to, [this, index, call, reply] {
      nodes_[index].coordinator->OnOrderReply(call, reply, now_);
    });
  });
}

/// The holder tells the others that it lives, and hears what was asked for.
void Replayer::Heartbeat() {
  After(kHeartbeatInterval, [this] { Heartbeat(); });
  Node* const holder = Holder();
  if (holder == nullptr) {
    return;
  }
  map_until_ = now_ + settings_.map_confirmation;
  const ownership::LeaseView view = holder->coordinator->View();
  for (size_t index = 0; index < nodes_.size(); ++index) {
    if (&nodes_[index] != holder) {
      ToNode(index, nodes_[index].incarnation,
             [this, index, view] { nodes_[index].coordinator->OnHeartbeat(view, now_); });
    }
  }
  for (auto& [service, counts] : std::exchange(asked_, {})) {
    std::vector<partition::KeyCount> list;
    list.reserve(counts.size());
    for (const auto& [key, count] : counts) {
      list.push_back({key, count});
    }
    holder->coordinator->OnLoad(service, list, {}, now_);
  }
  Drain(static_cast<size_t>(holder - nodes_.data()));
}

Replayer::Node* Replayer::Holder() {
  const auto found = std::find_if(nodes_.begin(), nodes_.end(), [this](const Node& node) {
    return node.coordinator != nullptr && now_ >= node.frozen_until &&
           node.coordinator->Holds(now_);
  });
  return found == nodes_.end() ? nullptr : &*found;
}

void Replayer::TellCatalog(size_t index) {
  std::vector<catalog::Service> services;
  std::vector<catalog::Backend> listed;
  for (const auto& [name, backends] : services_) {
    services.emplace_back();
    services.back().name = name;
    services.back().sharded = true;
    for (const auto& backend : backends) {
      if (backend->state.listed) {
        listed.push_back({.id = backend->state.id,
                          .service = name,
                          .address = backend->state.address,
                          .zone = "",
                          .slots = 2,
                          .draining = backend->state.draining});
      }
    }
  }
  ToNode(index, nodes_[index].incarnation, [this, index, services, listed] {
    nodes_[index].coordinator->OnCatalog(services, nodes_[index].registered.Replace(listed), now_);
  });
}

void Replayer::TellCatalogToAll() {
  for (size_t index = 0; index < nodes_.size(); ++index) {
    TellCatalog(index);
  }
}

}  // namespace ladderstream::replay
