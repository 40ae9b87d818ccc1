// Orders (grants and releases) that were sent and not answered yet.
//
// A coordinator of many back ends has hundreds of open orders and queries them on each event.
// Queries therefore look only at the orders of one back end, which are few.
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
  Endpoint address;
  KeyRange range;
  Fence fence = 0;
  Time sent;
  /// No answer arrived within the order time-out. A late answer is still accepted.
  bool timed_out = false;
};

class OrderBook {
 public:
  explicit OrderBook(Duration order_timeout) : order_timeout_(order_timeout) {}

  /// Adds an order. Orders must be added in the order of their send times.
  void Add(Order order);
  /// Removes and returns the order; nullopt if it is unknown or no longer kept.
  std::optional<Order> Take(CallId call);
  /// Marks the orders that exceeded the order time-out as timed out and returns them.
  std::vector<Order> TakeTimedOut(Time now);
  void Clear();

  /// Returns the number of unanswered orders of a back end, without those that timed out.
  size_t CountOpen(const std::string& backend) const;
  /// Returns whether an open order to `backend` overlaps `range`.
  bool HasOpen(const std::string& backend, const KeyRange& range) const;
  /// Returns when the newest open grant that overlaps `range` was sent; InfinitePast if there is
  /// none.
  Time LatestOpenGrant(const std::string& backend, const KeyRange& range) const;
  /// Returns when the next order times out; InfiniteFuture if none is open.
  Time NextTimeout() const;

 private:
  struct Sent {
    CallId call = 0;
    Time at;
  };

  void Close(const Order& order);
  /// Removes answered and timed-out orders from the front of `pending_`.
  void TrimPending();

  const Duration order_timeout_;
  std::unordered_map<CallId, Order> orders_;
  /// Open orders by back end; back ends without open orders have no entry.
  std::unordered_map<std::string, std::vector<CallId>> open_;
  /// Sorted by send time. The first order of `pending_` is open unless the queue is empty.
  std::deque<Sent> pending_;
  std::deque<Sent> timed_out_;
};

}  // namespace ladderstream::ownership
