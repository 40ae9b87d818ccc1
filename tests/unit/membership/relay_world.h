// A simulation of nodes, one of which coordinates, and the store that they watch, with failures.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "node_fixture.h"

namespace ladderstream::membership {

/// Holds the tables and answers reads and watches; reports changes to watches at the next step.
class WorldStore {
 public:
  using Reply = std::function<void(const store::StoreReply& reply)>;

  void Put(const std::string& table, const std::string& key) {
    history_.push_back({{table, "", key}, "value", ++version_, false});
  }
  void Remove(const std::string& table, const std::string& key) {
    history_.push_back({{table, "", key}, "", ++version_, true});
  }
  store::RowVersion version() const { return version_; }

  void Watch(const store::WatchQuery& query, Time now, Reply reply) {
    watches_.push_back({query, now + query.wait, std::move(reply)});
  }
  /// The watches that wait now are never answered.
  void LoseWatches() { watches_.clear(); }
  store::StoreReply Read(const store::ReadQuery& query) const {
    std::map<std::string, store::Row> rows;
    for (const store::Row& row : history_) {
      if (row.key.table == query.table) {
        rows[row.key.key] = row;
      }
    }
    store::StoreReply reply{store::StoreStatus::kDone, {}, false, version_, ""};
    for (const auto& [key, row] : rows) {
      if (!row.removed) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
  void Step(Time now) {
    for (Parked& watch : std::exchange(watches_, {})) {
      store::StoreReply reply{store::StoreStatus::kDone, {}, false, version_, ""};
      for (const store::Row& row : history_) {
        if (row.key.table == watch.query.table && row.version > watch.query.after) {
          reply.rows.push_back(row);
        }
      }
      if (reply.rows.empty() && now < watch.until) {
        watches_.push_back(std::move(watch));
      } else {
        watch.reply(reply);
      }
    }
  }

 private:
  struct Parked {
    store::WatchQuery query;
    Time until;
    Reply reply;
  };
  std::vector<store::Row> history_;
  std::vector<Parked> watches_;
  store::RowVersion version_ = 100;
};

struct WorldNode : Node {
  using Node::Node;

  /// `cut`: no call to the store is answered. `watches_dropped`: no watch is answered.
  bool cut = false;
  bool watches_dropped = false;
  bool frozen = false;
  /// No message reaches this node or leaves it.
  bool isolated = false;
  uint32_t calls = 0;
  std::deque<std::pair<uint64_t, Message>> inbox;
};

/// Messages take one step. Node 1 holds the lease and renews it while the store answers it.
class World {
 public:
  static constexpr uint64_t kCoordinator = 1;
  static constexpr Duration kStep = absl::Milliseconds(10);
  static constexpr Duration kLease = absl::Milliseconds(2500);
  static constexpr Duration kRenewal = absl::Milliseconds(800);

  World(uint64_t count, const RelaySettings& relay) {
    store.Put("configuration", "config");
    store.Put("backends", "first");
    for (uint64_t number = 1; number <= count; ++number) {
      nodes.emplace(number, std::make_unique<WorldNode>(number, relay));
      nodes.at(number)->membership.OnHolderKnown(MakeLease(3, kCoordinator), now);
    }
    Run(absl::Seconds(3));
  }

  void Run(Duration duration) {
    for (const Time end = now + duration; now < end; now += kStep) {
      store.Step(now);
      for (auto& [number, node] : nodes) {
        if (!node->frozen) {
          StepNode(number, node.get());
        }
      }
    }
  }
  /// Runs until `holds` for every node except `left_out`, at most for `max_duration`. Returns the
  /// time that it took.
  Duration RunUntil(const std::function<bool(const WorldNode&)>& holds, Duration max_duration,
                    uint64_t left_out = 0) {
    const Time start = now;
    const auto all = [&] {
      for (const auto& [number, node] : nodes) {
        if (number != left_out && !holds(*node)) {
          return false;
        }
      }
      return true;
    };
    while (!all() && now - start < max_duration) {
      Run(kStep);
    }
    return now - start;
  }
  WorldNode& coordinator() { return *nodes.at(kCoordinator); }
  /// Returns the nodes that call the store while `change` runs.
  std::vector<uint64_t> Callers(const std::function<void()>& change) {
    for (auto& [number, node] : nodes) {
      node->calls = 0;
    }
    change();
    std::vector<uint64_t> callers;
    for (const auto& [number, node] : nodes) {
      if (node->calls > 0) {
        callers.push_back(number);
      }
    }
    return callers;
  }

  WorldStore store;
  std::map<uint64_t, std::unique_ptr<WorldNode>> nodes;
  Time now = kStart;
  /// Called when a node received requests that crash back ends.
  std::function<void(uint64_t, const std::vector<quarantine::SuspectRecord>&)> on_suspects =
      [](uint64_t, const auto&) {};
  /// Called when a node received limits of back ends.
  std::function<void(uint64_t, const std::vector<allowance::LimitRecord>&)> on_limits =
      [](uint64_t, const auto&) {};

 private:
  void StepNode(uint64_t number, WorldNode* node) {
    for (auto& [from, message] : std::exchange(node->inbox, {})) {
      node->membership.OnMessage(from, std::move(message), now);
    }
    if (number == kCoordinator && now >= next_renewal_ && !node->cut) {
      next_renewal_ = now + kRenewal;
      node->membership.OnLeaseHeld(MakeLease(3, kCoordinator), now + kLease, now);
      store.Put("ownership", "lease");
      node->membership.OnStoreAnswered({now, store.version(), /*wrote=*/true}, now);
    }
    node->membership.OnTick(now);
    Poll(node, &node->configuration);
    Poll(node, &node->backends);
    Execute(number, node);
  }

  void Poll(WorldNode* node, store::TableFollower* follower) {
    const auto call = follower->Poll(now);
    if (!call.has_value()) {
      return;
    }
    ++node->calls;
    if (node->cut) {
      return;
    }
    if (const auto* read = std::get_if<store::ReadQuery>(&call->query)) {
      follower->OnReply(call->call, store.Read(*read), now);
      return;
    }
    store.Watch(std::get<store::WatchQuery>(call->query), now,
                [this, node, follower, id = call->call](const store::StoreReply& reply) {
                  if (!node->cut && !node->watches_dropped && !node->frozen) {
                    follower->OnReply(id, reply, now);
                  }
                });
  }

  void Execute(uint64_t number, WorldNode* node) {
    for (MembershipAction& action : node->membership.TakeActions()) {
      if (std::holds_alternative<ReportDueAction>(action)) {
        node->membership.SendReport({}, {}, now);
      }
      if (const auto* received = std::get_if<SuspectsReceivedAction>(&action)) {
        on_suspects(number, received->suspects);
      }
      if (const auto* received = std::get_if<LimitsReceivedAction>(&action)) {
        on_limits(number, received->limits);
      }
      if (auto* send = std::get_if<SendAction>(&action)) {
        Deliver(number, *send);
      }
    }
    for (SendAction& send : node->Take<SendAction>()) {
      Deliver(number, send);
    }
  }

  void Deliver(uint64_t from, const SendAction& send) {
    for (const Destination& to : send.to) {
      for (auto& [number, node] : nodes) {
        const bool meant =
            to.connection == number || (to.connection == 0 && to.address == node->self.address);
        if (meant && !node->isolated && !nodes.at(from)->isolated) {
          node->inbox.emplace_back(from, send.message);
        }
      }
    }
  }

  Time next_renewal_ = kStart;
};

}  // namespace ladderstream::membership
