#include "core/ownership/order_book.h"

#include <algorithm>

#include "core/ownership/range_table.h"

namespace ladderstream::ownership {
namespace {

/// How long an order that was given up is remembered for a late answer.
constexpr Duration kLateAnswer = absl::Seconds(5);

}  // namespace

std::optional<Order> OrderBook::Take(CallId call) {
  const auto found = std::find_if(orders_.begin(), orders_.end(),
                                  [call](const Order& order) { return order.call == call; });
  if (found == orders_.end()) {
    return std::nullopt;
  }
  Order order = std::move(*found);
  orders_.erase(found);
  return order;
}

std::vector<Order> OrderBook::GiveUp(Time now) {
  std::vector<Order> given_up;
  for (Order& order : orders_) {
    if (!order.given_up && now - order.sent >= order_timeout_) {
      order.given_up = true;
      given_up.push_back(order);
    }
  }
  std::erase_if(orders_, [now](const Order& order) { return now - order.sent >= kLateAnswer; });
  return given_up;
}

size_t OrderBook::CountOpen(const std::string& backend) const {
  return static_cast<size_t>(std::count_if(
      orders_.begin(), orders_.end(),
      [&backend](const Order& order) { return !order.given_up && order.backend == backend; }));
}

bool OrderBook::HasOpen(const std::string& backend, const KeyRange& range) const {
  return std::any_of(orders_.begin(), orders_.end(), [&](const Order& order) {
    return !order.given_up && order.backend == backend && Overlap(order.range, range);
  });
}

Time OrderBook::LatestOpenGrant(const std::string& backend, const KeyRange& range) const {
  Time latest = absl::InfinitePast();
  for (const Order& order : orders_) {
    if (!order.given_up && order.kind == Order::Kind::kGrant && order.backend == backend &&
        Overlap(order.range, range)) {
      latest = std::max(latest, order.sent);
    }
  }
  return latest;
}

Time OrderBook::NextGiveUp() const {
  Time next = absl::InfiniteFuture();
  for (const Order& order : orders_) {
    if (!order.given_up) {
      next = std::min(next, order.sent + order_timeout_);
    }
  }
  return next;
}

}  // namespace ladderstream::ownership
