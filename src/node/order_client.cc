#include "node/order_client.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace ladderstream::node {
namespace {

/// What an answer to an order says stands in its head.
constexpr size_t kMaxOrderAnswerBytes = 65536;

}  // namespace

void OrderClient::Send(const ownership::GrantAction& grant, Callback callback) {
  Call(grant.address, adapter_->EncodeGrant(grant),
       {timeouts_.grant, grant.send_by, timeouts_.connect, /*own_connection=*/false,
        kMaxOrderAnswerBytes, /*user_timeout=*/timeouts_.grant},
       std::move(callback));
}

void OrderClient::Send(const ownership::ReleaseAction& release, Callback callback) {
  Call(release.address, adapter_->EncodeRelease(release),
       {timeouts_.release, absl::InfiniteFuture(), timeouts_.connect, /*own_connection=*/true,
        kMaxOrderAnswerBytes},
       std::move(callback));
}

void OrderClient::Call(const Endpoint& address, interfaces::HttpRequest request,
                       const gateway::CallTiming& timing, Callback callback) {
  request.repeated_header = adapter_->headers().request_id;
  request.headers.emplace_back(request.repeated_header, absl::StrCat("order-", ++last_order_));
  client_->Call(address, request, timing,
                [this, callback = std::move(callback)](const gateway::CallResult& result) {
                  callback(ReplyOf(result));
                });
}

ownership::OrderReply OrderClient::ReplyOf(const gateway::CallResult& result) const {
  switch (result.outcome) {
    case gateway::CallOutcome::kAnswered:
      return adapter_->DecodeOrderReply(result.response);
    case gateway::CallOutcome::kRefused:
      return {ownership::OrderStatus::kUnreachable, ""};
    case gateway::CallOutcome::kNotConnected:
      return {ownership::OrderStatus::kNotSent, ""};
    case gateway::CallOutcome::kNoAnswer:
      break;
  }
  return {ownership::OrderStatus::kNoAnswer, ""};
}

}  // namespace ladderstream::node
