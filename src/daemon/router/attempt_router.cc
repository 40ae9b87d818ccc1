#include "daemon/router/attempt_router.h"

#include <absl/strings/str_cat.h>

#include <memory>
#include <utility>
#include <variant>

namespace ladderstream {
namespace {

/// The home node answers by the deadline; this is for the answer's way back.
constexpr Duration kAnswerMargin = absl::Milliseconds(20);
constexpr Duration kLostNodeRetryAfter = absl::Milliseconds(200);
constexpr Duration kHomeMovedRetryAfter = absl::Milliseconds(100);

ForwardResponse FromPeerError(const Error& error, bool deadline_passed) {
  switch (error.code()) {
    case ResultCode::kNodeUnreachable:
      return routing::Refuse(ResultCode::kNodeUnreachable, kLostNodeRetryAfter);
    case ResultCode::kPeerTimeout:
      return routing::Refuse(deadline_passed ? ResultCode::kTimedOut : ResultCode::kNodeLost,
                             absl::ZeroDuration());
    default:
      return routing::Refuse(ResultCode::kNodeLost, absl::ZeroDuration());
  }
}

}  // namespace

AttemptRouter::AttemptRouter(NodeId self, PeerChannelPtr peers, const TimeSource& time,
                             GateRegistry& gates)
    : self_(self), peers_(std::move(peers)), time_(time), gates_(gates) {}

std::string AttemptRouter::NextRequestId() {
  return absl::StrCat(absl::Hex(self_.value()), "-",
                      next_request_.fetch_add(1, std::memory_order_relaxed) + 1);
}

ForwardResponse AttemptRouter::Send(const NodeDescriptor& home, routing::RouteContext& context) {
  context.message.request_id = NextRequestId();
  context.message.remaining = context.deadline - time_.Now();
  if (home.id == self_) {
    return RunHere(*context.table, context.message, context.deadline, *context.cancellation);
  }
  return SendToPeer(home, context);
}

ForwardResponse AttemptRouter::RunHere(const routing::RouteTable& table,
                                       const ForwardRequest& request, Time deadline,
                                       routing::Cancellation& cancellation) {
  const upstream::BackendGatePtr gate = gates_.Find(table, request.backend);
  if (gate == nullptr) {
    return routing::Refuse(ResultCode::kOwnerChanged, kHomeMovedRetryAfter);
  }
  return gate->Run(request, deadline, cancellation);
}

ForwardResponse AttemptRouter::SendToPeer(const NodeDescriptor& home,
                                          routing::RouteContext& context) {
  const uint64_t callback =
      context.cancellation->OnCancel([peers = peers_, home, id = context.message.request_id] {
        peers->Send(home, ForwardCancel{id});
      });
  const Duration timeout = context.message.remaining + kAnswerMargin;
  // The message goes into the frame and comes back without a copy of its body.
  PeerBody body(std::move(context.message));
  ForwardResponse response;
  try {
    PeerBody answer = peers_->Call(home, body, timeout);
    if (auto* answered = std::get_if<ForwardResponse>(&answer)) {
      response = std::move(*answered);
    }
  } catch (const Error& error) {
    response = FromPeerError(error, time_.Now() >= context.deadline);
  }
  context.message = std::move(std::get<ForwardRequest>(body));
  context.cancellation->Forget(callback);
  return response;
}

ForwardResponse AttemptRouter::RunForwarded(const routing::RouteTable& table,
                                            const ForwardRequest& request) {
  const Time deadline = time_.Now() + request.remaining;
  const auto cancellation = std::make_shared<routing::Cancellation>();
  forwarded_.Add(request.request_id, cancellation);
  ForwardResponse response = RunHere(table, request, deadline, *cancellation);
  forwarded_.Remove(request.request_id);
  return response;
}

}  // namespace ladderstream
