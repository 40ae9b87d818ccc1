#include "daemon/http/caller_api.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <utility>

namespace ladderstream {
namespace {

constexpr char kRequestPath[] = R"(/v1/services/([^/]+)/requests/([^/]+))";
constexpr char kDeadlineHeader[] = "Ladderstream-Deadline-Ms";
constexpr char kRequestIdHeader[] = "Ladderstream-Request-Id";
constexpr char kResultHeader[] = "Ladderstream-Result";
constexpr char kOutcomeHeader[] = "Ladderstream-Outcome";
constexpr char kJson[] = "application/json";
constexpr size_t kMaxRequestIdBytes = 64;

const char* OutcomeName(ResultCode code) {
  switch (OutcomeOf(code)) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kDidNotRun:
      return "did-not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* DefaultMessage(ResultCode code) {
  switch (OutcomeOf(code)) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kDidNotRun:
      return "the request did not run and may be sent again";
    case Outcome::kUnknown:
      return "the request may or may not have run";
  }
  return "";
}

int64_t WholeMilliseconds(Duration duration) {
  return absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
}

int64_t WholeSeconds(Duration duration) {
  return absl::ToInt64Seconds(absl::Ceil(duration, absl::Seconds(1)));
}

std::string RefusalBody(ResultCode code, const std::string& message, Duration retry_after) {
  nlohmann::json body;
  body["code"] = static_cast<uint32_t>(code);
  body["name"] = NameOf(code);
  body["message"] = message.empty() ? DefaultMessage(code) : message;
  body["outcome"] = OutcomeName(code);
  body["retry_after_ms"] = WholeMilliseconds(retry_after);
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Whether `text` may be sent back in a header.
bool IsHeaderSafe(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char character) { return character > ' ' && character <= '~'; });
}

void Refuse(httplib::Response& response, ResultCode code, const std::string& message,
            ScopeProvider scope) {
  WriteRefusal(response, code, message, absl::ZeroDuration());
  // The rest of the request, if any, was not read.
  scope().CloseAfterAnswer();
}

/// Fills in all but the body. False when `response` holds a refusal instead.
bool ReadHead(const httplib::Request& http, CallerRequest& request, httplib::Response& response) {
  request.service = ServiceName(http.matches[1]);
  request.request = http.matches[2];
  if (http.get_param_value_count("key") > 1) {
    WriteRefusal(response, ResultCode::kMalformedRequest, "more than one key", {});
    return false;
  }
  request.key = http.get_param_value("key");
  request.content_type = http.get_header_value("Content-Type");
  request.caller_id = http.get_header_value(kRequestIdHeader);
  if (request.caller_id.size() > kMaxRequestIdBytes || !IsHeaderSafe(request.caller_id)) {
    WriteRefusal(response, ResultCode::kMalformedRequest,
                 absl::StrCat(kRequestIdHeader, " must be at most ", kMaxRequestIdBytes,
                              " printable characters without spaces"),
                 {});
    return false;
  }
  if (http.has_header(kDeadlineHeader)) {
    uint32_t milliseconds = 0;
    if (!absl::SimpleAtoi(http.get_header_value(kDeadlineHeader), &milliseconds)) {
      WriteRefusal(response, ResultCode::kBadDeadline,
                   absl::StrCat(kDeadlineHeader, " must be a whole number of milliseconds"), {});
      return false;
    }
    request.deadline = absl::Milliseconds(milliseconds);
  }
  return true;
}

void RunRequest(CallerHandler& handler, ScopeProvider scope, CallerRequest request,
                httplib::Response& response) {
  request.waited = scope().age();
  CallerAnswer answer = handler.Handle(request, scope().cancellation());
  if (!request.caller_id.empty()) {
    response.set_header(kRequestIdHeader, request.caller_id);
  }
  if (answer.result != ResultCode::kOk) {
    WriteRefusal(response, answer.result, answer.message, answer.retry_after);
    return;
  }
  response.status = answer.status;
  response.set_header(kResultHeader, "0");
  response.set_header(kOutcomeHeader, "answered");
  response.body = std::move(answer.body);
  if (!answer.content_type.empty()) {
    response.set_header("Content-Type", answer.content_type);
  }
}

/// Reads the whole body. False when `response` holds a refusal instead.
bool ReadBody(const httplib::ContentReader& reader, size_t max_body_bytes, ScopeProvider scope,
              std::string& body, httplib::Response& response) {
  bool too_large = false;
  const bool whole = reader([&](const char* data, size_t size) {
    too_large = body.size() + size > max_body_bytes;
    if (!too_large) {
      body.append(data, size);
    }
    return !too_large;
  });
  if (whole) {
    return true;
  }
  if (too_large || scope().too_large()) {
    Refuse(response, ResultCode::kBodyTooLarge,
           absl::StrCat("the body has more than ", max_body_bytes, " bytes"), scope);
  } else if (scope().too_slow()) {
    Refuse(response, ResultCode::kRequestTooSlow, "the body did not come in time", scope);
  } else {
    Refuse(response, ResultCode::kMalformedRequest, "the body's framing is broken", scope);
  }
  return false;
}

/// Gives the code for an error that the library itself found.
ResultCode CodeOfLibraryError(int status) {
  constexpr int kPayloadTooLarge = 413;
  constexpr int kUriTooLong = 414;
  constexpr int kHeadersTooLarge = 431;
  switch (status) {
    case kPayloadTooLarge:
      return ResultCode::kBodyTooLarge;
    case kUriTooLong:
    case kHeadersTooLarge:
      return ResultCode::kHeadersTooLarge;
    default:
      return ResultCode::kMalformedRequest;
  }
}

void MountErrorHandlers(httplib::Server& server, ScopeProvider scope) {
  const httplib::Server::Handler on_error = [scope](const httplib::Request&,
                                                    httplib::Response& response) {
    if (response.has_header(kResultHeader) || !response.body.empty()) {
      return;
    }
    constexpr int kNotFound = 404;
    const int status = response.status;
    WriteRefusal(response, CodeOfLibraryError(status),
                 status == kNotFound ? "no such path" : "the request can't be read", {});
    response.status = status;
    scope().CloseAfterAnswer();
  };
  server.set_error_handler(on_error);
  server.set_exception_handler(
      [](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
        WriteRefusal(response, ResultCode::kInternal, "", absl::ZeroDuration());
      });
  // The library decides on keeping the connection before the handler runs.
  server.set_post_routing_handler([scope](const httplib::Request&, httplib::Response& response) {
    if (scope().WillClose()) {
      response.headers.erase("Keep-Alive");
      response.headers.erase("Connection");
      response.set_header("Connection", "close");
    }
  });
  server.set_pre_routing_handler(
      [scope](const httplib::Request& request, httplib::Response& response) {
        // A small compressed body can become a huge one.
        const std::string encoding = request.get_header_value("Content-Encoding");
        const bool refused =
            (!encoding.empty() && encoding != "identity") || request.is_multipart_form_data();
        if (!refused) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        Refuse(response, ResultCode::kMalformedRequest,
               "compressed and multipart bodies are not accepted", scope);
        return httplib::Server::HandlerResponse::Handled;
      });
}

}  // namespace

void WriteRefusal(httplib::Response& response, ResultCode code, const std::string& message,
                  Duration retry_after) {
  response.status = HttpStatusOf(code);
  response.set_header(kResultHeader, absl::StrCat(static_cast<uint32_t>(code)));
  response.set_header(kOutcomeHeader, OutcomeName(code));
  if (retry_after > absl::ZeroDuration()) {
    response.set_header("Retry-After", absl::StrCat(WholeSeconds(retry_after)));
    response.set_header("Ladderstream-Retry-After-Ms",
                        absl::StrCat(WholeMilliseconds(retry_after)));
  }
  response.set_content(RefusalBody(code, message, retry_after), kJson);
}

std::string FormatRefusal(ResultCode code, const std::string& message, Duration retry_after) {
  const std::string body = RefusalBody(code, message, retry_after);
  std::string text = absl::StrCat("HTTP/1.1 ", HttpStatusOf(code), " ", std::string(NameOf(code)),
                                  "\r\n", kResultHeader, ": ", static_cast<uint32_t>(code), "\r\n",
                                  kOutcomeHeader, ": ", OutcomeName(code), "\r\n");
  if (retry_after > absl::ZeroDuration()) {
    absl::StrAppend(&text, "Retry-After: ", WholeSeconds(retry_after),
                    "\r\nLadderstream-Retry-After-Ms: ", WholeMilliseconds(retry_after), "\r\n");
  }
  absl::StrAppend(&text, "Content-Type: ", kJson, "\r\nContent-Length: ", body.size(),
                  "\r\nConnection: close\r\n\r\n", body);
  return text;
}

void MountCallerApi(httplib::Server& server, CallerHandler& handler, size_t max_body_bytes,
                    ScopeProvider scope) {
  MountErrorHandlers(server, scope);
  server.Get(kRequestPath,
             [&handler, scope](const httplib::Request& http, httplib::Response& response) {
               CallerRequest request;
               if (ReadHead(http, request, response)) {
                 RunRequest(handler, scope, std::move(request), response);
               }
             });
  server.Post(kRequestPath, [&handler, scope, max_body_bytes](
                                const httplib::Request& http, httplib::Response& response,
                                const httplib::ContentReader& reader) {
    CallerRequest request;
    std::string body;
    // The body is read even if the head is refused, so that the connection can go on.
    if (!ReadBody(reader, max_body_bytes, scope, body, response) ||
        !ReadHead(http, request, response)) {
      return;
    }
    request.body = std::move(body);
    RunRequest(handler, scope, std::move(request), response);
  });
}

}  // namespace ladderstream
