#include "gateway/relay/relay_codec.h"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace ladderstream::gateway {
namespace {

using forwarding::AttemptFailure;
using membership::RelayOutcome;

/// Below the longest text that a message may hold.
constexpr size_t kPieceBytes = size_t{256} << 10U;

std::vector<std::string> Split(const std::string& body) {
  std::vector<std::string> pieces;
  for (size_t at = 0; at < body.size(); at += kPieceBytes) {
    pieces.push_back(body.substr(at, kPieceBytes));
  }
  return pieces;
}

std::string Join(std::vector<std::string> pieces) {
  if (pieces.empty()) {
    return {};
  }
  std::string body = std::move(pieces.front());
  for (size_t i = 1; i < pieces.size(); ++i) {
    body += pieces[i];
  }
  return body;
}

int64_t ToMilliseconds(const std::optional<Duration>& duration) {
  return duration.has_value() ? std::max<int64_t>(0, absl::ToInt64Milliseconds(*duration))
                              : membership::kNoDuration;
}

std::optional<Duration> ToDuration(int64_t milliseconds) {
  return milliseconds < 0 ? std::nullopt : std::make_optional(absl::Milliseconds(milliseconds));
}

}  // namespace

std::optional<membership::RelayedRequest> ToMessage(const CallerRequest& request) {
  if (request.body.size() > kMaxRelayedBody) {
    return std::nullopt;
  }
  membership::RelayedRequest message;
  message.request_id = request.request_id;
  message.head = request.head;
  message.body = Split(request.body);
  message.has_body = request.has_body;
  message.is_head_method = request.is_head_method;
  message.accepts_encoding = request.accepts_encoding;
  return message;
}

CallerRequest FromMessage(membership::RelayedRequest message, Time now) {
  CallerRequest request;
  request.request_id = std::move(message.request_id);
  request.head = std::move(message.head);
  request.body = Join(std::move(message.body));
  request.has_body = message.has_body;
  request.is_head_method = message.is_head_method;
  request.accepts_encoding = message.accepts_encoding;
  request.arrival = now;
  return request;
}

membership::RelayedAnswer ToMessage(BackendAnswer answer) {
  membership::RelayedAnswer message;
  if (answer.body.size() > kMaxRelayedBody) {
    message.outcome = static_cast<uint8_t>(RelayOutcome::kLost);
    message.detail = "the answer is too long to be relayed";
    return message;
  }
  message.outcome = static_cast<uint8_t>(RelayOutcome::kAnswered);
  message.status = answer.status;
  message.head = std::move(answer.head);
  message.body = Split(answer.body);
  message.not_executed = answer.not_executed;
  message.leaving = answer.leaving;
  message.load = {answer.load.running, answer.load.waiting, answer.load.slots,
                  answer.load.slowdown};
  message.cold_left_ms = ToMilliseconds(answer.cold_left);
  message.backoff_ms = ToMilliseconds(answer.rest);
  message.limit = answer.limit.rate.value_or(-1);
  message.limit_unreadable = answer.limit.unreadable;
  return message;
}

BackendAnswer FromMessage(membership::RelayedAnswer message) {
  BackendAnswer answer;
  answer.status = message.status;
  answer.head = std::move(message.head);
  answer.body = Join(std::move(message.body));
  answer.not_executed = message.not_executed;
  answer.leaving = message.leaving;
  answer.load = {message.load.running, message.load.waiting, message.load.slots,
                 message.load.slowdown};
  answer.cold_left = ToDuration(message.cold_left_ms);
  answer.rest = ToDuration(message.backoff_ms);
  if (message.limit >= 0) {
    answer.limit.rate = message.limit;
  }
  answer.limit.unreadable = message.limit_unreadable;
  answer.keeps_open = true;
  return answer;
}

RelayOutcome OutcomeOf(AttemptFailure failure) {
  switch (failure) {
    case AttemptFailure::kConnectRefused:
      return RelayOutcome::kConnectRefused;
    case AttemptFailure::kConnectTimeout:
      return RelayOutcome::kConnectTimeout;
    case AttemptFailure::kNotSent:
      return RelayOutcome::kNotSent;
    case AttemptFailure::kLost:
    case AttemptFailure::kPeerLost:
      return RelayOutcome::kLost;
    case AttemptFailure::kTimedOut:
      return RelayOutcome::kTimedOut;
    case AttemptFailure::kPeerUnavailable:
      return RelayOutcome::kBusy;
    case AttemptFailure::kPeerHasNoPath:
      return RelayOutcome::kNoPath;
  }
  return RelayOutcome::kLost;
}

AttemptFailure FailureOf(RelayOutcome outcome) {
  switch (outcome) {
    case RelayOutcome::kConnectRefused:
      return AttemptFailure::kConnectRefused;
    case RelayOutcome::kConnectTimeout:
      return AttemptFailure::kConnectTimeout;
    case RelayOutcome::kNotSent:
    case RelayOutcome::kBusy:
      return AttemptFailure::kPeerUnavailable;
    case RelayOutcome::kNoPath:
      return AttemptFailure::kPeerHasNoPath;
    case RelayOutcome::kTimedOut:
      return AttemptFailure::kTimedOut;
    case RelayOutcome::kAnswered:
    case RelayOutcome::kLost:
    case RelayOutcome::kCount:
      break;
  }
  return AttemptFailure::kLost;
}

}  // namespace ladderstream::gateway
