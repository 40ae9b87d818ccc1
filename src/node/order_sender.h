// Carries the coordinator's orders to back ends: grants and releases.
#pragma once

#include <functional>

#include "core/ownership/coordinator.h"
#include "gateway/http/http_client.h"
#include "interfaces/platform_adapter.h"
#include "wire/time.h"

namespace ladderstream::node {

class OrderSender {
 public:
  using ReplyHandler =
      std::function<void(ownership::CallId call, const ownership::OrderReply& reply)>;

  /// Everything handed in outlives the sender. `on_reply` is called from the event loop, never from
  /// inside Send.
  OrderSender(gateway::HttpClient* client, const interfaces::PlatformAdapter* adapter,
              Duration timeout, Duration release_timeout, ReplyHandler on_reply);

  void Send(const ownership::GrantAction& grant);
  /// A release is answered only when the work on its keys has ended, so it may take longer.
  void Send(const ownership::ReleaseAction& release);

 private:
  void Call(ownership::CallId call, const Endpoint& address, const interfaces::HttpRequest& request,
            const gateway::CallTiming& timing);
  ownership::OrderReply ReplyOf(const gateway::CallResult& result) const;

  gateway::HttpClient* const client_;
  const interfaces::PlatformAdapter* const adapter_;
  const Duration timeout_;
  const Duration release_timeout_;
  const ReplyHandler on_reply_;
};

}  // namespace ladderstream::node
