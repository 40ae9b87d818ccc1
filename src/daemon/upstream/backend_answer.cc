#include "daemon/upstream/backend_answer.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

namespace ladderstream::upstream {
namespace {

constexpr char kNotRunHeader[] = "Ladderstream-Not-Run";
constexpr char kRequestIdHeader[] = "Ladderstream-Request-Id";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

/// What a proven refusal means to the router.
ResultCode RefusalCode(const std::string& reason, const ForwardRequest& request) {
  if (reason == "wrong-grant") {
    return ResultCode::kOwnerChanged;
  }
  if (reason == "draining") {
    // Its keys are about to move; without keys, another back end will do.
    const bool by_key = request.token != GrantToken();
    return by_key ? ResultCode::kOwnerChanged : ResultCode::kBackendShed;
  }
  if (reason == "expired") {
    return ResultCode::kDeadlineUnreachable;
  }
  if (reason == "cancelled") {
    return ResultCode::kCancelled;
  }
  return ResultCode::kBackendShed;
}

bool IsWhole(const httplib::Response& headers, const std::string& body) {
  if (headers.status == kNoContent || headers.status == kNotModified) {
    return body.empty();
  }
  uint64_t declared = 0;
  return headers.get_header_value_count("Content-Length") == 1 &&
         !headers.has_header("Transfer-Encoding") &&
         absl::SimpleAtoi(headers.get_header_value("Content-Length"), &declared) &&
         declared == body.size();
}

bool AnswersAnother(const httplib::Response& headers, const ForwardRequest& request) {
  return headers.has_header(kRequestIdHeader) &&
         headers.get_header_value(kRequestIdHeader) != request.request_id;
}

Duration RetryAfterOf(const httplib::Response& headers) {
  uint32_t amount = 0;
  if (absl::SimpleAtoi(headers.get_header_value("Ladderstream-Retry-After-Ms"), &amount)) {
    return absl::Milliseconds(amount);
  }
  if (absl::SimpleAtoi(headers.get_header_value("Retry-After"), &amount)) {
    return absl::Seconds(amount);
  }
  return absl::ZeroDuration();
}

}  // namespace

ForwardResponse InterpretAnswer(const httplib::Response& headers, std::string body,
                                const ForwardRequest& request) {
  ForwardResponse response;
  if (AnswersAnother(headers, request)) {
    response.result = ResultCode::kConnectionLost;
    return response;
  }
  if (headers.has_header(kNotRunHeader)) {
    response.result = RefusalCode(headers.get_header_value(kNotRunHeader), request);
    response.retry_after = RetryAfterOf(headers);
    return response;
  }
  if (!IsWhole(headers, body)) {
    response.result = ResultCode::kAnswerTruncated;
    return response;
  }
  response.result = ResultCode::kOk;
  response.status = static_cast<uint32_t>(std::max(0, headers.status));
  response.body = std::move(body);
  response.content_type = headers.get_header_value("Content-Type");
  return response;
}

}  // namespace ladderstream::upstream
