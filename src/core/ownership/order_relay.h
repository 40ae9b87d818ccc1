// Chooses the way of each order to a back end: directly, or through another node that carries it.
//
// A coordinator may reach the store and the other nodes, but not the back ends whose grants it
// renews. Each order goes directly first. When the direct way fails or stays silent, the order goes
// through a peer as well, and orders to that back end go through peers until a grant is answered
// directly again. A grant may arrive twice, as both carry the same fence; a release goes another
// way only once the first one is known or likely to be lost.
//
// Pure state machine: events and time in, actions out. The caller sends what TakeActions() returns
// and reports the results.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/ownership/coordinator.h"
#include "wire/time.h"

namespace ladderstream::ownership {

struct OrderRelaySettings {
  /// A grant that got no answer directly by then goes through a peer as well. Several times what a
  /// back end takes to answer a grant.
  Duration relay_after = absl::Milliseconds(120);
  /// How often the direct way is tried again while orders go through peers.
  Duration probe_interval = absl::Milliseconds(500);
  /// A peer that did not deliver an order is avoided for this long while others may.
  Duration peer_back_off = absl::Seconds(1);
  /// Peers that are asked to carry one order.
  size_t max_peers = 2;
  /// A relayed order leaves the peer at most this long after it was decided. Below the slack that
  /// the coordinator adds to the end of a hold; and an older release may have been repeated and
  /// answered, and its keys granted again.
  Duration max_order_age = absl::Milliseconds(250);
  /// How long an order is kept for its answer. A release is answered after the work on its keys.
  Duration forget_after = absl::Seconds(4);
  /// The state of a back end without orders is dropped this long after its last probe.
  Duration path_lifetime = absl::Minutes(1);
};

/// Send the order directly.
struct SendDirectAction {
  CallId call = 0;
};
/// Send the order through this node. It must not leave there after `send_by`.
struct SendThroughPeerAction {
  CallId call = 0;
  /// Incarnation of the peer.
  uint64_t peer = 0;
  Time send_by;
};
/// The outcome of the order, once for each order.
struct OrderOutcomeAction {
  CallId call = 0;
  OrderReply reply;
};
/// The way to a back end changed, for the log.
struct OrderPathChangeAction {
  std::string backend;
  bool direct = true;
  std::string detail;
};
using OrderRelayAction = std::variant<SendDirectAction, SendThroughPeerAction, OrderOutcomeAction,
                                      OrderPathChangeAction>;

class OrderRelay {
 public:
  explicit OrderRelay(const OrderRelaySettings& settings = {}) : settings_(settings) {}

  /// Sets the nodes that may carry orders, by incarnation, this node excluded.
  void SetPeers(std::vector<uint64_t> peers);

  /// Starts an order. `send_by`: it must not leave this node later.
  void OnGrant(CallId call, const std::string& backend, Time send_by, Time now);
  void OnRelease(CallId call, const std::string& backend, Time now);
  void OnDirectReply(CallId call, const OrderReply& reply, Time now);
  void OnPeerReply(CallId call, uint64_t peer, const OrderReply& reply, Time now);
  void OnTick(Time now);
  Time NextWake() const;

  /// Whether the order has neither an outcome nor been forgotten.
  bool Keeps(CallId call) const { return orders_.contains(call); }
  std::vector<OrderRelayAction> TakeActions() { return std::exchange(actions_, {}); }
  /// Number of back ends whose orders go through peers.
  size_t CountRelayed() const { return relayed_.size(); }

 private:
  struct PendingOrder {
    std::string backend;
    bool is_grant = false;
    Time started;
    /// Departure from this node, and from a peer.
    Time send_by;
    bool direct_pending = false;
    /// Peers that were sent the order, and how many of them have not answered.
    std::vector<uint64_t> asked;
    uint32_t peers_pending = 0;
    /// When it goes through a peer without a failure of the direct way; infinite once it did.
    Time relay_at = absl::InfiniteFuture();
    /// Over all ways so far: whether it may have left, and whether every failure was a refused
    /// connection.
    bool may_have_left = false;
    bool only_refused = true;
  };
  /// A back end that is not reached directly.
  struct RelayedBackend {
    Time next_probe;
  };

  void Start(CallId call, PendingOrder order, Time now);
  /// Returns whether the order went to a peer.
  bool SendThroughPeer(CallId call, PendingOrder* order, Time now);
  /// Returns 0 when no peer is left for the order.
  uint64_t ChoosePeer(const PendingOrder& order, Time now);
  void RecordFailure(PendingOrder* order, OrderStatus status);
  void SetRelayed(const std::string& backend, std::string detail, Time now);
  void SetDirect(const std::string& backend);
  void FinishOrTryNext(CallId call, Time now);
  void Finish(CallId call, const OrderReply& reply);

  OrderRelaySettings settings_;
  std::vector<uint64_t> peers_;
  /// Index in `peers_` of the peer that is asked first: the one that delivered last.
  size_t preferred_ = 0;
  /// Peers that did not deliver, and until when they are avoided.
  std::map<uint64_t, Time> avoided_;
  std::map<CallId, PendingOrder> orders_;
  std::map<std::string, RelayedBackend, std::less<>> relayed_;
  std::vector<OrderRelayAction> actions_;
};

/// Whether the back end itself answered the order.
bool IsAnswer(OrderStatus status);

}  // namespace ladderstream::ownership
