#include "daemon/upstream/backend_connection.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "daemon/upstream/backend_answer.h"

namespace ladderstream::upstream {
namespace {

/// Past the deadline the watch ends the exchange; this only guards against the watch's own delay.
constexpr Duration kReadTimeoutMargin = absl::Milliseconds(200);
/// The library reads zero as "no waiting at all".
constexpr Duration kMinTimeout = absl::Milliseconds(1);

std::pair<time_t, time_t> SecondsAndMicroseconds(Duration duration) {
  const int64_t microseconds = absl::ToInt64Microseconds(std::max(duration, kMinTimeout));
  constexpr int64_t kPerSecond = 1000000;
  return {microseconds / kPerSecond, microseconds % kPerSecond};
}

httplib::Request MakeRequest(const ForwardRequest& request, Duration remaining) {
  httplib::Request http;
  http.method = "POST";
  http.path = absl::StrCat("/serve/", PercentEncode(request.service.value()), "/",
                           PercentEncode(request.request), "?key=", PercentEncode(request.key));
  http.body = request.body;
  http.set_header("Content-Type",
                  request.content_type.empty() ? "application/octet-stream" : request.content_type);
  http.set_header("Ladderstream-Deadline-Ms",
                  absl::StrCat(std::max<int64_t>(1, absl::ToInt64Milliseconds(remaining))));
  http.set_header("Ladderstream-Request-Id", request.request_id);
  if (request.token != GrantToken()) {
    http.set_header("Ladderstream-Grant", FormatToken(request.token));
  }
  if (!request.caller_id.empty()) {
    http.set_header("Ladderstream-Caller-Id", request.caller_id);
  }
  return http;
}

}  // namespace

std::string PercentEncode(const std::string& text) {
  std::string encoded;
  encoded.reserve(text.size());
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (absl::ascii_isalnum(byte) || character == '-' || character == '_' || character == '.') {
      encoded.push_back(character);
    } else {
      absl::StrAppend(&encoded, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return encoded;
}

BackendConnection::BackendConnection(const Endpoint& endpoint, const ConnectionSettings& settings,
                                     const TimeSource& time, DeadlineWatch& watch)
    : settings_(settings),
      time_(time),
      watch_(watch),
      client_(endpoint.host, endpoint.port),
      last_used_(time.Now()) {
  client_.set_keep_alive(true);
  client_.set_tcp_nodelay(true);
  client_.set_url_encode(false);
  client_.set_decompress(false);
  client_.set_follow_location(false);
}

ForwardResponse BackendConnection::Exchange(const ForwardRequest& request, Time deadline) {
  const Duration remaining = deadline - time_.Now();
  const auto [connect_s, connect_us] =
      SecondsAndMicroseconds(std::min(settings_.connect_timeout, remaining));
  const auto [read_s, read_us] = SecondsAndMicroseconds(remaining + kReadTimeoutMargin);
  client_.set_connection_timeout(connect_s, connect_us);
  client_.set_read_timeout(read_s, read_us);
  client_.set_write_timeout(read_s, read_us);

  httplib::Request http = MakeRequest(request, remaining);
  bool headers_seen = false;
  std::string body;
  http.response_handler = [&headers_seen](const httplib::Response&) {
    headers_seen = true;
    return true;
  };
  http.content_receiver = [this, &body](const char* data, size_t size, uint64_t, uint64_t) {
    body.append(data, size);
    return body.size() <= settings_.max_answer_bytes;
  };
  // Until the answer is known to be whole, the connection counts as broken.
  intact_ = false;
  const DeadlineWatch::Id watched = watch_.Add(deadline, [this] { client_.stop(); });
  const httplib::Result result = client_.send(http);
  const bool timed_out = !watch_.Remove(watched);
  last_used_ = time_.Now();
  if (!result) {
    return Classify(result.error(), headers_seen, timed_out);
  }
  ForwardResponse response = InterpretAnswer(result.value(), std::move(body), request);
  intact_ = OutcomeOf(response.result) != Outcome::kUnknown && !timed_out;
  return response;
}

ForwardResponse BackendConnection::Classify(httplib::Error error, bool headers_seen,
                                            bool timed_out) const {
  ForwardResponse response;
  if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
    response.result = ResultCode::kBackendUnreachable;
  } else if (timed_out) {
    response.result = ResultCode::kTimedOut;
  } else {
    response.result = headers_seen ? ResultCode::kAnswerTruncated : ResultCode::kConnectionLost;
  }
  return response;
}

void BackendConnection::SendCancel(const std::string& request_id, Duration timeout) {
  const auto [seconds, microseconds] = SecondsAndMicroseconds(timeout);
  client_.set_connection_timeout(seconds, microseconds);
  client_.set_read_timeout(seconds, microseconds);
  client_.set_write_timeout(seconds, microseconds);
  const httplib::Result result =
      client_.Post(absl::StrCat("/cancel/", PercentEncode(request_id)), "", "text/plain");
  intact_ = static_cast<bool>(result);
  last_used_ = time_.Now();
}

bool BackendConnection::IsReusable() const {
  if (!intact_ || client_.is_socket_open() == 0) {
    return false;
  }
  // Bytes that came unasked would be taken for the next request's answer; an end of stream means
  // that the back end has closed.
  char byte = 0;
  const ssize_t size = ::recv(client_.socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace ladderstream::upstream
