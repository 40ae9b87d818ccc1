// The orders (grants and releases) that were sent and not yet answered.
//
// A coordinator of many back ends has hundreds of them open and looks at them at each event, so
// every question is answered from the orders of one back end, of which there are a few.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
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
  bool timed_out = false;
};

class OrderBook {
 public:
  explicit OrderBook(Duration order_timeout) : order_timeout_(order_timeout) {}

  /// Orders are added as they are sent: none before one that is there already.
  void Add(Order order);
  /// Takes the order out; empty when it is not known (any more).
  std::optional<Order> Take(CallId call);
  /// Gives the orders that have now waited for too long.
  std::vector<Order> TakeTimedOut(Time now);
  void Clear();

  /// How many orders a back end has not answered yet, those given up left out.
  size_t CountOpen(const std::string& backend) const;
  /// Whether one of those concerns any key of `range`.
  bool HasOpen(const std::string& backend, const KeyRange& range) const;
  /// When the newest open grant of any key of `range` was sent; InfinitePast without one.
  Time LatestOpenGrant(const std::string& backend, const KeyRange& range) const;
  /// When TakeTimedOut() has something to give.
  Time NextTimeout() const;

 private:
  struct Sent {
    CallId call = 0;
    Time at;
  };

  void Close(const Order& order);
  /// Removes those at the front that wait for nothing.
  void TrimPending();

  const Duration order_timeout_;
  std::unordered_map<CallId, Order> orders_;
  /// The open orders of each back end that has any.
  std::unordered_map<std::string, std::vector<CallId>> open_;
  /// By the time they were sent. The first one of `pending_` is open, or there is none.
  std::deque<Sent> pending_;
  std::deque<Sent> timed_out_;
};

}  // namespace ladderstream::ownership
