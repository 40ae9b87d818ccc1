// Nodes, and the network between nodes, store and back ends.
#include <absl/strings/str_cat.h>

#include <utility>
#include <variant>

#include "model_world.h"

namespace ladderstream::ownership {
namespace {

constexpr Duration kHeartbeatInterval = absl::Milliseconds(250);
/// An order that arrives later than this after its send time is late.
constexpr Duration kLateOrder = absl::Milliseconds(300);
/// Average number of actions between pauses of a process.
constexpr uint64_t kActionsPerPause = 400;

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace

void ModelWorld::StartNode(size_t index) {
  ModelNode& node = nodes_[index];
  node.incarnation = ++last_incarnation_ * 7919;
  node.inbox.clear();
  node.unsent.clear();
  node.map = nullptr;
  node.map_until = absl::InfinitePast();
  node.frozen_until = absl::InfinitePast();
  node.wake = absl::InfiniteFuture();
  node.stopping = false;
  NodeIdentity self{node.incarnation, absl::StrCat("node-", index), node.address};
  node.coordinator = std::make_unique<Coordinator>(settings_, self);
  node.relay = OrderRelay();
  node.orders.clear();
  node.registered = {};
  Trace(absl::StrCat("node ", index, " starts"));
  ToNode(index, node.incarnation, [this, index] { PublishCatalog(nodes_[index]); });
  if (options_.relays_orders) {
    RelayTick(index, node.incarnation);
  }
}

void ModelWorld::KillNode(size_t index) {
  ModelNode& node = nodes_[index];
  if (!node.coordinator) {
    return;
  }
  Trace(absl::StrCat("node ", index, " ends"));
  const uint64_t incarnation = node.incarnation;
  node.coordinator.reset();
  node.inbox.clear();
  node.unsent.clear();
  node.map = nullptr;
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (i != index && Chance(50) && nodes_[i].coordinator) {
      After(DrawMs(2, 80), [this, i, to = nodes_[i].incarnation, incarnation] {
        ToNode(i, to, [this, i, incarnation] {
          nodes_[i].coordinator->OnCoordinatorEnded(incarnation, now_);
        });
      });
    }
  }
  After(DrawMs(200, 2500), [this, index] { StartNode(index); });
}

void ModelWorld::StopNode(size_t index) {
  ModelNode& node = nodes_[index];
  if (!node.coordinator || node.stopping) {
    return;
  }
  Trace(absl::StrCat("node ", index, " begins to stop"));
  node.stopping = true;
  const uint64_t incarnation = node.incarnation;
  ToNode(index, incarnation, [this, index] { nodes_[index].coordinator->Resign(now_); });
  After(absl::Seconds(2), [this, index, incarnation] {
    if (nodes_[index].incarnation == incarnation) {
      KillNode(index);
    }
  });
}

void ModelWorld::ToNode(size_t index, uint64_t incarnation, Event event) {
  ModelNode& node = nodes_[index];
  if (!node.coordinator || node.incarnation != incarnation) {
    return;
  }
  if (now_ < node.frozen_until) {
    node.inbox.push_back(std::move(event));
    return;
  }
  event();
  Drain(node);
}

void ModelWorld::Resume(size_t index) {
  ModelNode& node = nodes_[index];
  if (!node.coordinator || now_ < node.frozen_until) {
    return;
  }
  Trace(absl::StrCat("node ", index, " resumes"));
  // Actions of the interrupted step are performed first.
  PerformAll(node, std::exchange(node.unsent, {}), node.decided);
  if (now_ >= node.frozen_until && Chance(50)) {
    node.coordinator->OnTick(now_);
    Drain(node);
  }
  while (now_ >= node.frozen_until && !node.inbox.empty()) {
    const Event event = std::move(node.inbox.front());
    node.inbox.pop_front();
    event();
    Drain(node);
  }
  if (now_ >= node.frozen_until) {
    node.coordinator->OnTick(now_);
    Drain(node);
  }
}

void ModelWorld::Drain(ModelNode& node) {
  PerformAll(node, node.coordinator->TakeActions(), now_);
  const Time wake = std::max(node.coordinator->NextWake(), now_ + absl::Milliseconds(1));
  if (wake >= node.wake || wake == absl::InfiniteFuture()) {
    return;
  }
  node.wake = wake;
  At(wake + absl::Microseconds(Draw(3000)),
     [this, index = node.index, wake, incarnation = node.incarnation] {
       ModelNode& woken = nodes_[index];
       if (woken.incarnation != incarnation || woken.wake != wake) {
         return;
       }
       woken.wake = absl::InfiniteFuture();
       ++counts_.wakes;
       if (now_ >= woken.frozen_until) {
         ToNode(index, incarnation, [this, index] { nodes_[index].coordinator->OnTick(now_); });
       }
     });
}

void ModelWorld::PerformAll(ModelNode& node, std::vector<Action> actions, Time decided) {
  for (size_t i = 0; i < actions.size(); ++i) {
    if (now_ < faults_end_ && !options_.only_path_cuts && Draw(kActionsPerPause) == 0) {
      actions.erase(actions.begin(), actions.begin() + static_cast<ptrdiff_t>(i));
      PauseBefore(node, std::move(actions), decided);
      return;
    }
    Perform(node, actions[i], decided);
  }
}

void ModelWorld::PauseBefore(ModelNode& node, std::vector<Action> rest, Time decided) {
  node.unsent = std::move(rest);
  node.decided = decided;
  node.frozen_until = std::max(node.frozen_until, std::min(faults_end_, now_ + DrawMs(20, 7000)));
  Trace(absl::StrCat("node ", node.index, " pauses with ", node.unsent.size(), " to do until ",
                     absl::ToInt64Milliseconds(node.frozen_until - absl::UnixEpoch())));
  At(node.frozen_until, [this, index = node.index] { Resume(index); });
}

void ModelWorld::Perform(ModelNode& node, const Action& action, Time decided) {
  std::visit(
      Overloaded{[&](const CommitAction& commit) {
                   ++counts_.commits;
                   SendToStore(node, commit.call, [this, transaction = commit.transaction] {
                     store::StoreReply reply = store_.Apply(transaction);
                     if (reply.status == store::StoreStatus::kDone) {
                       CheckCommits(transaction);
                     }
                     return reply;
                   });
                 },
                 [&](const ReadAction& read) {
                   SendToStore(node, read.call,
                               [this, query = read.query] { return store_.Read(query); });
                 },
                 [&](const GrantAction& grant) {
                   ++counts_.grants;
                   CheckGrant(node, grant, decided);
                   SendOrder(node, grant.call,
                             {grant.address, grant.backend, grant.hold, decided,
                              [this, grant](ModelBackend& backend, bool late) {
                                OrderReply reply;
                                reply.status =
                                    backend.Grant(grant.range, grant.fence, grant.hold, late, now_);
                                if (reply.status == OrderStatus::kDone && late) {
                                  CountLateOverlap(backend, grant.range);
                                } else if (reply.status == OrderStatus::kDone) {
                                  CheckFences(backend, grant.range, grant.fence);
                                  CheckHolds(backend, grant.range);
                                }
                                return reply;
                              }});
                 },
                 [&](const ReleaseAction& release) {
                   SendOrder(node, release.call,
                             {release.address, release.backend, absl::ZeroDuration(), decided,
                              [this, release](ModelBackend& backend, bool /*late*/) {
                                backend.Release(release.range, release.fence, now_);
                                return OrderReply{OrderStatus::kDone, "handover"};
                              }});
                 },
                 [&](const PublishAction& publish) {
                   node.map = std::make_shared<OwnershipMap>(publish.map);
                   Broadcast(node);
                 },
                 [&](const StateChangeAction& change) {
                   counts_.takeovers += change.event == "lease_acquired" ? 1 : 0;
                   Trace(absl::StrCat("node ", node.index, " ", change.event, " ", change.detail));
                   if (change.event == "resigned") {
                     for (size_t i = 0; i < nodes_.size(); ++i) {
                       const uint64_t resigned = node.incarnation;
                       After(DrawMs(1, 20), [this, i, to = nodes_[i].incarnation, resigned] {
                         ToNode(i, to, [this, i, resigned] {
                           nodes_[i].coordinator->OnCoordinatorEnded(resigned, now_);
                         });
                       });
                     }
                   }
                 }},
      action);
}

void ModelWorld::SendToStore(ModelNode& node, CallId call,
                             std::function<store::StoreReply()> work) {
  const bool slow = now_ < store_slow_until_;
  const bool loses_calls = now_ < store_loses_calls_until_;
  const auto reply_with = [this, index = node.index, incarnation = node.incarnation, call](
                              Duration delay, const store::StoreReply& reply) {
    After(delay, [this, index, incarnation, call, reply] {
      ToNode(index, incarnation, [this, index, call, reply] {
        nodes_[index].coordinator->OnStoreReply(call, reply, now_);
      });
    });
  };
  store::StoreReply refused;
  refused.status = store::StoreStatus::kRefused;
  if (now_ < store_executes_late_until_ && Chance(50)) {
    At(store_executes_late_until_ + DrawMs(0, 1000), work);
    return;
  }
  if (now_ < node.store_cut_until || now_ < store_down_until_) {
    if (Chance(50)) {
      reply_with(DrawMs(1, 900), Chance(50) ? refused : store::StoreReply{});
    }
    return;
  }
  if (Chance(1)) {
    reply_with(DrawMs(1, 5), refused);
    return;
  }
  Duration delay_to_store = slow ? DrawMs(50, 900) : DrawMs(1, 8);
  const bool lost = Chance(loses_calls ? 50 : 1);
  if (lost && Chance(30)) {
    return;  // The call is lost.
  }
  if (lost && Chance(50)) {
    delay_to_store = DrawMs(100, 6000);
  }
  After(delay_to_store, [this, work = std::move(work), reply_with, lost, slow] {
    if (Chance(30)) {
      store_.WriteElsewhere();
    }
    const store::StoreReply reply = work();
    if (!lost) {
      reply_with(slow ? DrawMs(50, 900) : DrawMs(1, 8), reply);
    } else if (Chance(50)) {
      reply_with(DrawMs(1, 600), store::StoreReply{});
    }
  });
}

void ModelWorld::ReplyOrder(size_t index, uint64_t incarnation, CallId call,
                            const OrderReply& reply, Duration delay) {
  After(delay, [this, index, incarnation, call, reply] {
    ToNode(index, incarnation, [this, index, call, reply] {
      nodes_[index].coordinator->OnOrderReply(call, reply, now_);
    });
  });
}

void ModelWorld::SendOrder(ModelNode& node, CallId call, ModelOrder order) {
  const size_t index = node.index;
  const uint64_t incarnation = node.incarnation;
  if (!options_.relays_orders) {
    Deliver(index, order,
            [this, index, incarnation, call](const OrderReply& reply, Duration delay) {
              ReplyOrder(index, incarnation, call, reply, delay);
            });
    return;
  }
  if (order.hold == absl::ZeroDuration()) {
    node.relay.OnRelease(call, order.backend, now_);
  } else {
    node.relay.OnGrant(call, order.backend, node.coordinator->LeaseUntil(), now_);
  }
  node.orders.insert_or_assign(call, std::move(order));
  PerformRelayActions(node);
}

void ModelWorld::Deliver(size_t from, const ModelOrder& order, const OrderReplier& reply) {
  ModelBackend* target = BackendAt(order.address);
  if (target == nullptr) {
    reply({OrderStatus::kUnreachable, ""}, DrawMs(1, 5));
    return;
  }
  if (target->id != order.backend) {
    reply({OrderStatus::kOtherInstance, ""}, DrawMs(2, 8));
    return;
  }
  const bool cut = IsCut(from, *target);
  if (cut && options_.links_hold_orders && Chance(70)) {
    HoldUp(from, order);
    reply({}, settings_.order_timeout);
    return;
  }
  if (cut && Chance(30)) {
    reply({OrderStatus::kUnreachable, ""}, DrawMs(1, 5));
    return;
  }
  if (cut || Chance(1)) {
    if (Chance(50)) {
      reply({}, settings_.order_timeout);
    }
    return;
  }
  const bool taken_late = now_ < target->late_until && Chance(70);
  const bool answer_lost = taken_late || now_ < target->answers_lost_until || Chance(1);
  const Time arrival =
      std::max(now_ + (taken_late ? DrawMs(400, 12000) : DrawMs(1, 6)), target->frozen_until);
  At(arrival, [this, order, reply, answer_lost] {
    ModelBackend* receiver = BackendWithId(order.backend);
    if (receiver == nullptr || now_ < receiver->frozen_until) {
      return;  // Frozen again; the order is lost.
    }
    const OrderReply result = order.work(*receiver, IsLate(order));
    Duration delay = DrawMs(1, 6);
    if (order.hold == absl::ZeroDuration()) {
      delay += receiver->work;
    }
    if (!answer_lost) {
      reply(result, delay);
    }
  });
}

bool ModelWorld::IsCut(size_t from, const ModelBackend& backend) const {
  return now_ < nodes_[from].backends_cut_until || backend.CutFrom(from, now_);
}

void ModelWorld::HoldUp(size_t from, const ModelOrder& order) {
  const auto longest = static_cast<uint64_t>(absl::ToInt64Milliseconds(settings_.order_timeout));
  After(DrawMs(1, longest), [this, from, sender = nodes_[from].incarnation, order] {
    ModelBackend* receiver = BackendWithId(order.backend);
    const bool sender_ended =
        nodes_[from].coordinator == nullptr || nodes_[from].incarnation != sender;
    if (receiver != nullptr && !sender_ended && !IsCut(from, *receiver) &&
        now_ >= receiver->frozen_until) {
      order.work(*receiver, IsLate(order));
    }
  });
}

bool ModelWorld::IsLate(const ModelOrder& order) const {
  const Duration waited_for = settings_.slack + settings_.order_timeout;
  return now_ - order.decided > (options_.links_hold_orders ? waited_for : kLateOrder);
}

void ModelWorld::Broadcast(ModelNode& node) {
  if (!node.coordinator->Holds(now_) || !node.map ||
      node.map->version.epoch != node.coordinator->View().epoch) {
    return;
  }
  node.map_until = node.coordinator->LeaseUntil() + settings_.map_confirmation;
  for (ModelNode& other : nodes_) {
    if (other.index == node.index || now_ < node.peers_cut_until || now_ < other.peers_cut_until ||
        Chance(2)) {
      continue;
    }
    After(DrawMs(1, 20), [this, index = other.index, to = other.incarnation, map = node.map,
                          view = node.coordinator->View(), sent = now_] {
      ToNode(index, to, [this, index, map, view, sent] {
        ModelNode& receiver = nodes_[index];
        receiver.coordinator->OnHeartbeat(view, now_);
        if (!receiver.map || receiver.map->version <= map->version) {
          receiver.map = map;
          receiver.map_until = sent + settings_.map_confirmation;
        }
      });
    });
  }
}

void ModelWorld::HeartbeatLoop() {
  for (ModelNode& node : nodes_) {
    if (node.coordinator && now_ >= node.frozen_until) {
      Broadcast(node);
    }
  }
  PublishLoad();
  After(kHeartbeatInterval, [this] { HeartbeatLoop(); });
}

void ModelWorld::PublishLoad() {
  for (const auto& entry : load_) {
    for (const ModelNode& node : nodes_) {
      ToNode(node.index, node.incarnation, [this, index = node.index, entry] {
        nodes_[index].coordinator->OnLoad(entry.first, entry.second, {}, now_);
      });
    }
  }
  load_.clear();
}

void ModelWorld::PublishCatalog(ModelNode& node) {
  std::vector<catalog::Service> services;
  for (const std::string& name : services_) {
    catalog::Service service;
    service.name = name;
    service.sharded = true;
    services.push_back(service);
  }
  std::vector<catalog::Backend> backends;
  for (const auto& backend : backends_) {
    if (backend->listed) {
      catalog::Backend listed;
      listed.id = backend->id;
      listed.service = backend->service;
      listed.address = backend->address;
      listed.draining = backend->draining;
      listed.zone = backend->zone;
      listed.evacuated = evacuated_.contains(backend->zone);
      listed.cold_until = backend->cold_until;
      listed.cold_requests_per_second = 4;
      backends.push_back(listed);
    }
  }
  backends.insert(backends.end(), stray_rows_.begin(), stray_rows_.end());
  node.coordinator->OnCatalog(services, node.registered.Replace(backends), now_);
}

void ModelWorld::PublishCatalogToAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    After(DrawMs(5, 400), [this, i, to = nodes_[i].incarnation] {
      ToNode(i, to, [this, i] { PublishCatalog(nodes_[i]); });
    });
  }
}

}  // namespace ladderstream::ownership
