#include "core/ownership/order_book.h"

#include <algorithm>
#include <utility>

#include "core/ownership/range_table.h"

namespace ladderstream::ownership {
namespace {

/// How long a timed-out order is kept so that a late answer can be matched.
constexpr Duration kLateAnswerRetention = absl::Seconds(5);

}  // namespace

void OrderBook::Add(Order order) {
  pending_.push_back({order.call, order.sent});
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
  TrimPending();
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

void OrderBook::TrimPending() {
  while (!pending_.empty()) {
    const auto order = orders_.find(pending_.front().call);
    if (order != orders_.end() && !order->second.timed_out) {
      return;
    }
    pending_.pop_front();
  }
}

std::vector<Order> OrderBook::TakeTimedOut(Time now) {
  std::vector<Order> timed_out;
  while (!pending_.empty() && now - pending_.front().at >= order_timeout_) {
    Order& order = orders_.at(pending_.front().call);
    order.timed_out = true;
    Close(order);
    timed_out.push_back(order);
    timed_out_.push_back(pending_.front());
    TrimPending();
  }
  while (!timed_out_.empty() && now - timed_out_.front().at >= kLateAnswerRetention) {
    orders_.erase(timed_out_.front().call);
    timed_out_.pop_front();
  }
  return timed_out;
}

void OrderBook::Clear() {
  orders_.clear();
  open_.clear();
  pending_.clear();
  timed_out_.clear();
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

Time OrderBook::NextTimeout() const {
  return pending_.empty() ? absl::InfiniteFuture() : pending_.front().at + order_timeout_;
}

}  // namespace ladderstream::ownership
