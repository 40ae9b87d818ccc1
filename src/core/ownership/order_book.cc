#include "core/ownership/order_book.h"

#include <algorithm>
#include <utility>

#include "core/ownership/range_table.h"

namespace ladderstream::ownership {
namespace {

/// How long an order that was given up is remembered for a late answer.
constexpr Duration kLateAnswer = absl::Seconds(5);

}  // namespace

void OrderBook::Add(Order order) {
  waiting_.push_back({order.call, order.sent});
  open_[order.backend].push_back(order.call);
  const CallId call = order.call;
  orders_.insert_or_assign(call, std::move(order));
}

std::optional<Order> OrderBook::Take(CallId call) {
  auto found = orders_.extract(call);
  if (found.empty()) {
    return std::nullopt;
  }
  Close(found.mapped());
  TrimWaiting();
  return std::move(found.mapped());
}

void OrderBook::Close(const Order& order) {
  const auto open = open_.find(order.backend);
  if (open == open_.end()) {
    return;
  }
  std::erase(open->second, order.call);
  if (open->second.empty()) {
    open_.erase(open);
  }
}

void OrderBook::TrimWaiting() {
  while (!waiting_.empty()) {
    const auto order = orders_.find(waiting_.front().call);
    if (order != orders_.end() && !order->second.given_up) {
      return;
    }
    waiting_.pop_front();
  }
}

std::vector<Order> OrderBook::GiveUp(Time now) {
  std::vector<Order> given_up;
  while (!waiting_.empty() && now - waiting_.front().at >= order_timeout_) {
    Order& order = orders_.at(waiting_.front().call);
    order.given_up = true;
    Close(order);
    given_up.push_back(order);
    given_up_.push_back(waiting_.front());
    TrimWaiting();
  }
  while (!given_up_.empty() && now - given_up_.front().at >= kLateAnswer) {
    orders_.erase(given_up_.front().call);
    given_up_.pop_front();
  }
  return given_up;
}

void OrderBook::Clear() {
  orders_.clear();
  open_.clear();
  waiting_.clear();
  given_up_.clear();
}

size_t OrderBook::CountOpen(const std::string& backend) const {
  const auto open = open_.find(backend);
  return open == open_.end() ? 0 : open->second.size();
}

bool OrderBook::HasOpen(const std::string& backend, const KeyRange& range) const {
  const auto open = open_.find(backend);
  return open != open_.end() &&
         std::any_of(open->second.begin(), open->second.end(),
                     [&](CallId call) { return Overlap(orders_.at(call).range, range); });
}

Time OrderBook::LatestOpenGrant(const std::string& backend, const KeyRange& range) const {
  Time latest = absl::InfinitePast();
  const auto open = open_.find(backend);
  if (open == open_.end()) {
    return latest;
  }
  for (const CallId call : open->second) {
    const Order& order = orders_.at(call);
    if (order.kind == Order::Kind::kGrant && Overlap(order.range, range)) {
      latest = std::max(latest, order.sent);
    }
  }
  return latest;
}

Time OrderBook::NextGiveUp() const {
  return waiting_.empty() ? absl::InfiniteFuture() : waiting_.front().at + order_timeout_;
}

}  // namespace ladderstream::ownership
