#include "core/ownership/order_relay.h"

#include <algorithm>
#include <utility>

namespace ladderstream::ownership {

bool IsAnswer(OrderStatus status) {
  switch (status) {
    case OrderStatus::kDone:
    case OrderStatus::kFenced:
    case OrderStatus::kRefused:
    case OrderStatus::kOtherInstance:
      return true;
    case OrderStatus::kUnreachable:
    case OrderStatus::kNotSent:
    case OrderStatus::kNoAnswer:
      return false;
  }
  return false;
}

void OrderRelay::SetPeers(std::vector<uint64_t> peers) {
  const uint64_t preferred = preferred_ < peers_.size() ? peers_[preferred_] : 0;
  peers_ = std::move(peers);
  const auto place = std::find(peers_.begin(), peers_.end(), preferred);
  preferred_ = place == peers_.end() ? 0 : static_cast<size_t>(place - peers_.begin());
  std::erase_if(avoided_, [this](const auto& entry) {
    return std::find(peers_.begin(), peers_.end(), entry.first) == peers_.end();
  });
}

void OrderRelay::OnGrant(CallId call, const std::string& backend, Time send_by, Time now) {
  PendingOrder order;
  order.backend = backend;
  order.is_grant = true;
  order.send_by = std::min(send_by, now + settings_.max_order_age);
  order.relay_at = now + settings_.relay_after;
  Start(call, std::move(order), now);
}

void OrderRelay::OnRelease(CallId call, const std::string& backend, Time now) {
  PendingOrder order;
  order.backend = backend;
  order.send_by = now + settings_.max_order_age;
  Start(call, std::move(order), now);
}

void OrderRelay::Start(CallId call, PendingOrder order, Time now) {
  order.started = now;
  const auto relayed = relayed_.find(order.backend);
  bool direct = true;
  if (relayed != relayed_.end()) {
    const bool through_peer = SendThroughPeer(call, &order, now);
    // A release is not sent both ways at once: the later copy could end a newer grant.
    const bool probes = order.is_grant && now >= relayed->second.next_probe;
    direct = !through_peer || probes;
    if (direct) {
      relayed->second.next_probe = now + settings_.probe_interval;
    }
  }
  if (direct) {
    order.direct_pending = true;
    actions_.emplace_back(SendDirectAction{call});
  }
  orders_.insert_or_assign(call, std::move(order));
}

bool OrderRelay::SendThroughPeer(CallId call, PendingOrder* order, Time now) {
  order->relay_at = absl::InfiniteFuture();
  if (order->asked.size() >= settings_.max_peers || now >= order->send_by) {
    return false;
  }
  const uint64_t peer = ChoosePeer(*order, now);
  if (peer == 0) {
    return false;
  }
  order->asked.push_back(peer);
  ++order->peers_pending;
  actions_.emplace_back(SendThroughPeerAction{call, peer, order->send_by});
  return true;
}

uint64_t OrderRelay::ChoosePeer(const PendingOrder& order, Time now) {
  uint64_t last_resort = 0;
  for (size_t i = 0; i < peers_.size(); ++i) {
    const uint64_t peer = peers_[(preferred_ + i) % peers_.size()];
    if (std::find(order.asked.begin(), order.asked.end(), peer) != order.asked.end()) {
      continue;
    }
    const auto avoided = avoided_.find(peer);
    if (avoided == avoided_.end() || now >= avoided->second) {
      preferred_ = (preferred_ + i) % peers_.size();
      return peer;
    }
    last_resort = last_resort == 0 ? peer : last_resort;
  }
  return last_resort;
}

void OrderRelay::RecordFailure(PendingOrder* order, OrderStatus status) {
  order->may_have_left = order->may_have_left || status == OrderStatus::kNoAnswer;
  order->only_refused = order->only_refused && status == OrderStatus::kUnreachable;
}

void OrderRelay::SetRelayed(const std::string& backend, std::string detail, Time now) {
  const auto [place, is_new] = relayed_.try_emplace(backend);
  place->second.next_probe = now + settings_.probe_interval;
  if (is_new) {
    actions_.emplace_back(OrderPathChangeAction{backend, false, std::move(detail)});
  }
}

void OrderRelay::SetDirect(const std::string& backend) {
  if (relayed_.erase(backend) > 0) {
    actions_.emplace_back(OrderPathChangeAction{backend, true, "answered an order directly"});
  }
}

void OrderRelay::OnDirectReply(CallId call, const OrderReply& reply, Time now) {
  const auto found = orders_.find(call);
  if (found == orders_.end()) {
    return;
  }
  PendingOrder& order = found->second;
  order.direct_pending = false;
  if (IsAnswer(reply.status)) {
    SetDirect(order.backend);
    Finish(call, reply);
    return;
  }
  RecordFailure(&order, reply.status);
  if (!peers_.empty()) {
    SetRelayed(order.backend, "an order got no answer directly", now);
  }
  if (order.asked.empty()) {
    SendThroughPeer(call, &order, now);
  }
  FinishOrTryNext(call, now);
}

void OrderRelay::OnPeerReply(CallId call, uint64_t peer, const OrderReply& reply, Time now) {
  const auto found = orders_.find(call);
  if (IsAnswer(reply.status)) {
    avoided_.erase(peer);
    const auto place = std::find(peers_.begin(), peers_.end(), peer);
    if (place != peers_.end()) {
      preferred_ = static_cast<size_t>(place - peers_.begin());
    }
  } else {
    avoided_[peer] = now + settings_.peer_back_off;
  }
  if (found == orders_.end()) {
    return;
  }
  PendingOrder& order = found->second;
  --order.peers_pending;
  if (IsAnswer(reply.status)) {
    SetRelayed(order.backend, "an order was answered through a peer first", now);
    Finish(call, reply);
    return;
  }
  RecordFailure(&order, reply.status);
  FinishOrTryNext(call, now);
}

void OrderRelay::FinishOrTryNext(CallId call, Time now) {
  PendingOrder& order = orders_.at(call);
  if (order.direct_pending || order.peers_pending > 0 || SendThroughPeer(call, &order, now)) {
    return;
  }
  OrderReply reply;
  if (order.may_have_left) {
    reply.status = OrderStatus::kNoAnswer;
  } else {
    reply.status = order.only_refused ? OrderStatus::kUnreachable : OrderStatus::kNotSent;
  }
  Finish(call, reply);
}

void OrderRelay::Finish(CallId call, const OrderReply& reply) {
  orders_.erase(call);
  actions_.emplace_back(OrderOutcomeAction{call, reply});
}

void OrderRelay::OnTick(Time now) {
  for (auto entry = orders_.begin(); entry != orders_.end();) {
    auto& [call, order] = *entry;
    if (now - order.started >= settings_.forget_after) {
      entry = orders_.erase(entry);
      continue;
    }
    const bool silent_release = !order.is_grant && order.asked.empty() &&
                                relayed_.contains(order.backend) && now < order.send_by &&
                                now >= order.started + settings_.relay_after;
    if (now >= order.relay_at || silent_release) {
      SendThroughPeer(call, &order, now);
    }
    ++entry;
  }
  std::erase_if(relayed_, [this, now](const auto& entry) {
    return now >= entry.second.next_probe + settings_.path_lifetime;
  });
}

Time OrderRelay::NextWake() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [call, order] : orders_) {
    next = std::min({next, order.relay_at, order.started + settings_.forget_after});
  }
  return next;
}

}  // namespace ladderstream::ownership
