#include "node/order_sender.h"

#include <algorithm>
#include <utility>

#include "core/membership/transit_clock.h"

namespace ladderstream::node {
namespace {

/// More orders than a coordinator has without an outcome.
constexpr size_t kMaxOrders = 16'384;

membership::RelayedOrder MessageOf(const ownership::GrantAction& grant) {
  membership::RelayedOrder order;
  order.sequence = grant.call;
  order.backend = grant.backend;
  order.address = grant.address;
  order.first_key = grant.range.first;
  order.last_key = grant.range.last;
  order.fence = grant.fence;
  order.hold_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(grant.hold));
  order.handover = grant.handover;
  return order;
}

membership::RelayedOrder MessageOf(const ownership::ReleaseAction& release) {
  membership::RelayedOrder order;
  order.sequence = release.call;
  order.is_grant = false;
  order.backend = release.backend;
  order.address = release.address;
  order.first_key = release.range.first;
  order.last_key = release.range.last;
  order.fence = release.fence;
  return order;
}

}  // namespace

void OrderSender::Send(const ownership::GrantAction& grant) {
  orders_.insert_or_assign(grant.call, grant);
  relay_.OnGrant(grant.call, grant.backend, grant.send_by, clock_->Now());
  ExecuteActions();
}

void OrderSender::Send(const ownership::ReleaseAction& release) {
  orders_.insert_or_assign(release.call, release);
  relay_.OnRelease(release.call, release.backend, clock_->Now());
  ExecuteActions();
}

void OrderSender::OnPeerResult(const membership::RelayedOrderResult& result) {
  const ownership::OrderReply reply{static_cast<ownership::OrderStatus>(result.status),
                                    result.handover};
  relay_.OnPeerReply(result.sequence, result.sender, reply, clock_->Now());
  ExecuteActions();
}

void OrderSender::OnTick() {
  relay_.OnTick(clock_->Now());
  ExecuteActions();
  DropOldOrders();
}

void OrderSender::DropOldOrders() {
  while (!orders_.empty() &&
         (orders_.size() > kMaxOrders || !relay_.Keeps(orders_.begin()->first))) {
    orders_.erase(orders_.begin());
  }
}

void OrderSender::ExecuteActions() {
  for (const ownership::OrderRelayAction& action : relay_.TakeActions()) {
    std::visit([this](const auto& one) { Execute(one); }, action);
  }
}

void OrderSender::Execute(const ownership::SendDirectAction& send) {
  const auto found = orders_.find(send.call);
  if (found == orders_.end()) {
    return;
  }
  std::visit(
      [this, call = send.call](const auto& order) {
        client_->Send(order, [this, call](const ownership::OrderReply& reply) {
          relay_.OnDirectReply(call, reply, clock_->Now());
          ExecuteActions();
        });
      },
      found->second);
}

void OrderSender::Execute(const ownership::SendThroughPeerAction& send) {
  const auto found = orders_.find(send.call);
  if (found == orders_.end()) {
    return;
  }
  membership::RelayedOrder order =
      std::visit([](const auto& one) { return MessageOf(one); }, found->second);
  const Time now = clock_->Now();
  order.sent_us = membership::TransitClock::Stamp(now);
  order.send_within_ms = absl::ToInt64Milliseconds(send.send_by - now);
  handlers_.send_to_peer(send.peer, order);
}

void OrderSender::Execute(const ownership::OrderOutcomeAction& outcome) {
  orders_.erase(outcome.call);
  handlers_.on_reply(outcome.call, outcome.reply);
}

void OrderCarrier::OnOrder(uint64_t connection, const membership::RelayedOrder& order,
                           std::optional<Duration> age) {
  const Time now = clock_->Now();
  const auto reply = [this, connection,
                      sequence = order.sequence](const ownership::OrderReply& result) {
    on_result_(connection, {sequence, self_, static_cast<uint8_t>(result.status), result.handover});
  };
  // A grant that left later could outlive the wait for the end of the hold, and a release could end
  // a newer grant.
  const Duration left =
      absl::Milliseconds(order.send_within_ms) - age.value_or(absl::InfiniteDuration());
  if (left <= absl::ZeroDuration()) {
    reply({ownership::OrderStatus::kNotSent, ""});
    return;
  }
  const ownership::KeyRange range{order.first_key, order.last_key};
  if (order.is_grant) {
    client_->Send(
        ownership::GrantAction{order.sequence, order.backend, order.address, range, order.fence,
                               absl::Milliseconds(order.hold_ms), order.handover, now + left},
        reply);
  } else {
    client_->Send(
        ownership::ReleaseAction{order.sequence, order.backend, order.address, range, order.fence},
        reply);
  }
}

}  // namespace ladderstream::node
