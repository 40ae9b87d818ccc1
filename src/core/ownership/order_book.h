// The orders (grants and releases) that were sent and not yet answered.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/ownership/coordinator.h"
#include "wire/time.h"

namespace ladderstream::ownership {

struct Order {
  enum class Kind { kGrant, kRelease };
  CallId call = 0;
  Kind kind = Kind::kGrant;
  std::string service;
  std::string backend;
  KeyRange range;
  Fence fence = 0;
  Time sent;
  /// No answer came in time. A late one still counts.
  bool given_up = false;
};

class OrderBook {
 public:
  explicit OrderBook(Duration order_timeout) : order_timeout_(order_timeout) {}

  void Add(Order order) { orders_.push_back(std::move(order)); }
  /// Takes the order out; empty when it is not known (any more).
  std::optional<Order> Take(CallId call);
  /// Gives the orders that have now waited for too long.
  std::vector<Order> GiveUp(Time now);
  void Clear() { orders_.clear(); }

  /// How many orders a back end has not answered yet, those given up left out.
  size_t CountOpen(const std::string& backend) const;
  /// Whether one of those concerns any key of `range`.
  bool HasOpen(const std::string& backend, const KeyRange& range) const;
  /// When the newest open grant of any key of `range` was sent; InfinitePast without one.
  Time LatestOpenGrant(const std::string& backend, const KeyRange& range) const;
  /// When GiveUp() has something to give.
  Time NextGiveUp() const;

 private:
  const Duration order_timeout_;
  std::vector<Order> orders_;
};

}  // namespace ladderstream::ownership
