#include "node/order_sender.h"

#include <utility>

namespace ladderstream::node {

OrderSender::OrderSender(gateway::HttpClient* client, const interfaces::PlatformAdapter* adapter,
                         Duration timeout, Duration release_timeout, ReplyHandler on_reply)
    : client_(client),
      adapter_(adapter),
      timeout_(timeout),
      release_timeout_(release_timeout),
      on_reply_(std::move(on_reply)) {}

void OrderSender::Send(const ownership::GrantAction& grant) {
  Call(grant.call, grant.address, adapter_->EncodeGrant(grant), {timeout_, grant.send_by});
}

void OrderSender::Send(const ownership::ReleaseAction& release) {
  Call(release.call, release.address, adapter_->EncodeRelease(release), {release_timeout_});
}

void OrderSender::Call(ownership::CallId call, const Endpoint& address,
                       const interfaces::HttpRequest& request, const gateway::CallTiming& timing) {
  client_->Call(address, request, timing, [this, call](const gateway::CallResult& result) {
    on_reply_(call, ReplyOf(result));
  });
}

ownership::OrderReply OrderSender::ReplyOf(const gateway::CallResult& result) const {
  switch (result.outcome) {
    case gateway::CallOutcome::kAnswered:
      return adapter_->DecodeOrderReply(result.response);
    case gateway::CallOutcome::kRefused:
      return {ownership::OrderStatus::kUnreachable, ""};
    case gateway::CallOutcome::kNotConnected:
    case gateway::CallOutcome::kNoAnswer:
      break;
  }
  return {ownership::OrderStatus::kNoAnswer, ""};
}

}  // namespace ladderstream::node
