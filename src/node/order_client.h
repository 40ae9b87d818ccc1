// Sends single orders (grants and releases) to back ends over HTTP.
#pragma once

#include <functional>

#include "core/ownership/coordinator.h"
#include "gateway/http/http_client.h"
#include "interfaces/platform_adapter.h"
#include "wire/time.h"

namespace ladderstream::node {

class OrderClient {
 public:
  using Callback = std::function<void(const ownership::OrderReply& reply)>;

  struct Timeouts {
    Duration connect = absl::Milliseconds(150);
    Duration grant;
    /// A back end answers a release only after the work on its keys has ended.
    Duration release;
  };

  /// `client` and `adapter` must outlive this.
  OrderClient(gateway::HttpClient* client, const interfaces::PlatformAdapter* adapter,
              const Timeouts& timeouts)
      : client_(client), adapter_(adapter), timeouts_(timeouts) {}

  /// `callback` is called once from the event loop, never from within these.
  void Send(const ownership::GrantAction& grant, Callback callback);
  void Send(const ownership::ReleaseAction& release, Callback callback);

 private:
  /// Names the order, so that the late answer to an earlier one is known, and sends it.
  void Call(const Endpoint& address, interfaces::HttpRequest request,
            const gateway::CallTiming& timing, Callback callback);
  ownership::OrderReply ReplyOf(const gateway::CallResult& result) const;

  gateway::HttpClient* const client_;
  const interfaces::PlatformAdapter* const adapter_;
  const Timeouts timeouts_;
  uint64_t last_order_ = 0;
};

}  // namespace ladderstream::node
