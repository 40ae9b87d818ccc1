// Sends the coordinator's orders, grants and releases, to back ends.
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

  /// `client` and `adapter` must outlive the sender. `on_reply` is called from the event loop,
  /// never from within Send().
  OrderSender(gateway::HttpClient* client, const interfaces::PlatformAdapter* adapter,
              Duration timeout, Duration release_timeout, ReplyHandler on_reply);

  void Send(const ownership::GrantAction& grant);
  /// Uses `release_timeout`: a back end answers a release only after the work on its keys has
  /// ended.
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
