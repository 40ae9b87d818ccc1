// Sends the coordinator's orders to back ends, directly or through peers, and carries the orders of
// a coordinator that does not reach a back end itself. Single-threaded; runs in the event loop.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/membership/relay_messages.h"
#include "core/ownership/coordinator.h"
#include "core/ownership/order_relay.h"
#include "node/order_client.h"
#include "wire/time.h"

namespace ladderstream::node {

class OrderSender {
 public:
  struct Handlers {
    /// Called from the event loop, never from within Send().
    std::function<void(ownership::CallId call, const ownership::OrderReply& reply)> on_reply;
    /// Sends to a member node by its incarnation.
    std::function<void(uint64_t peer, const membership::RelayedOrder& order)> send_to_peer;
    /// Orders to a back end go another way from now on.
    std::function<void(const ownership::OrderPathChangeAction& change)> on_path_change;
  };

  /// `client` and `clock` must outlive the sender.
  OrderSender(OrderClient* client, const TimeSource* clock, Handlers handlers)
      : client_(client), clock_(clock), handlers_(std::move(handlers)) {}

  void SetPeers(std::vector<uint64_t> peers) { relay_.SetPeers(std::move(peers)); }
  void Send(const ownership::GrantAction& grant);
  void Send(const ownership::ReleaseAction& release);
  void OnPeerResult(const membership::RelayedOrderResult& result);
  /// Must be called at or soon after NextWake().
  void OnTick();
  Time NextWake() const { return relay_.NextWake(); }
  size_t CountRelayed() const { return relay_.CountRelayed(); }

 private:
  using Order = std::variant<ownership::GrantAction, ownership::ReleaseAction>;

  void Execute(const ownership::SendDirectAction& send);
  void Execute(const ownership::SendThroughPeerAction& send);
  void Execute(const ownership::OrderOutcomeAction& outcome);
  void Execute(const ownership::OrderPathChangeAction& change) { handlers_.on_path_change(change); }
  void ExecuteActions();
  /// Forgets the orders that the relay no longer keeps.
  void DropOldOrders();

  OrderClient* const client_;
  const TimeSource* const clock_;
  const Handlers handlers_;
  ownership::OrderRelay relay_;
  /// Orders without an outcome, by call; calls rise with time.
  std::map<ownership::CallId, Order> orders_;
};

/// Executes the orders of other nodes.
class OrderCarrier {
 public:
  using ReplyHandler =
      std::function<void(uint64_t connection, const membership::RelayedOrderResult& result)>;

  /// `client` and `clock` must outlive the carrier. `self`: this node's incarnation.
  OrderCarrier(OrderClient* client, const TimeSource* clock, uint64_t self, ReplyHandler on_result)
      : client_(client), clock_(clock), self_(self), on_result_(std::move(on_result)) {}

  /// `connection` is the one that the order arrived on; `age`: of the order, nullopt when unknown.
  void OnOrder(uint64_t connection, const membership::RelayedOrder& order,
               std::optional<Duration> age);

 private:
  OrderClient* const client_;
  const TimeSource* const clock_;
  const uint64_t self_;
  const ReplyHandler on_result_;
};

}  // namespace ladderstream::node
