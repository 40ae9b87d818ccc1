#include "rehearsal/http_caller.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

namespace ladderstream::rehearsal {
namespace {

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(250);
// A node answers by the deadline; what comes later than this is taken for lost.
constexpr absl::Duration kAnswerGrace = absl::Milliseconds(500);
constexpr char kContentType[] = "application/json";
constexpr char kDeadlineHeader[] = "Ladderstream-Deadline-Ms";
constexpr char kRequestIdHeader[] = "Ladderstream-Request-Id";

std::string DeadlineText(absl::Duration deadline) {
  return absl::StrCat(absl::ToInt64Milliseconds(deadline));
}

Outcome ReadOutcome(const std::string& text) {
  if (text == "answered") {
    return Outcome::kAnswered;
  }
  return text == "did-not-run" ? Outcome::kDidNotRun : Outcome::kUnknown;
}

uint32_t ReadNumber(const httplib::Response& response, const char* header) {
  uint32_t number = 0;
  return absl::SimpleAtoi(response.get_header_value(header), &number) ? number : 0;
}

std::string BackendOf(const std::string& body) {
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  return answer.is_object() ? answer.value("backend", "") : "";
}

bool IsConnectFailure(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

}  // namespace

HttpCaller::HttpCaller(const std::vector<Endpoint>& nodes, size_t first)
    : current_(first % nodes.size()) {
  for (const Endpoint& node : nodes) {
    auto client = std::make_unique<httplib::Client>(node.host, node.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(absl::ToChronoMicroseconds(kConnectTimeout));
    clients_.push_back(std::move(client));
  }
}

CallResult HttpCaller::Send(const CallAttempt& attempt, absl::Duration deadline) {
  const std::string path = absl::StrCat("/v1/services/", attempt.service, "/requests/",
                                        attempt.request, "?key=", attempt.key);
  const httplib::Headers headers = {{kDeadlineHeader, DeadlineText(deadline)},
                                    {kRequestIdHeader, AttemptId(attempt)}};
  httplib::Client& client = Prepare(deadline);
  if (attempt.repeatable) {
    return Read(attempt, client.Get(path, headers));
  }
  const std::string body = nlohmann::json{{"call", attempt.call_id}}.dump();
  return Read(attempt, client.Post(path, headers, body, kContentType));
}

CallResult HttpCaller::SendToBackend(const CallAttempt& attempt, absl::Duration deadline) {
  const std::string path =
      absl::StrCat("/serve/", attempt.service, "/", attempt.request, "?key=", attempt.key);
  const httplib::Headers headers = {{kDeadlineHeader, DeadlineText(deadline)},
                                    {kRequestIdHeader, AttemptId(attempt)},
                                    {"Ladderstream-Caller-Id", AttemptId(attempt)}};
  CallResult result;
  const auto answer = Prepare(deadline).Post(path, headers, "", kContentType);
  constexpr int kOkStatus = 200;
  if (answer && answer->status == kOkStatus) {
    result.outcome = Outcome::kAnswered;
    result.answer_matches = AnswerMatches(attempt, answer->body);
  }
  return result;
}

httplib::Client& HttpCaller::Prepare(absl::Duration deadline) {
  httplib::Client& client = *clients_[current_];
  client.set_read_timeout(absl::ToChronoMicroseconds(deadline + kAnswerGrace));
  client.set_write_timeout(absl::ToChronoMicroseconds(deadline + kAnswerGrace));
  return client;
}

CallResult HttpCaller::Read(const CallAttempt& attempt, const httplib::Result& result) {
  if (result) {
    return ReadResponse(attempt, result.value());
  }
  UseNextNode();
  CallResult outcome;
  if (IsConnectFailure(result.error())) {
    outcome.outcome = Outcome::kDidNotRun;
  }
  return outcome;
}

CallResult HttpCaller::ReadResponse(const CallAttempt& attempt, const httplib::Response& response) {
  CallResult result;
  result.outcome = ReadOutcome(response.get_header_value("Ladderstream-Outcome"));
  result.code = ReadNumber(response, "Ladderstream-Result");
  result.retry_after = absl::Milliseconds(ReadNumber(response, "Ladderstream-Retry-After-Ms"));
  if (result.outcome == Outcome::kAnswered) {
    result.answer_matches = AnswerMatches(attempt, response.body);
    result.backend = BackendOf(response.body);
  }
  if (result.code == static_cast<uint32_t>(ResultCode::kShuttingDown)) {
    UseNextNode();
  }
  return result;
}

void HttpCaller::UseNextNode() { current_ = (current_ + 1) % clients_.size(); }

bool AnswerMatches(const CallAttempt& attempt, const std::string& body) {
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  return answer.is_object() && answer.value("service", "") == attempt.service &&
         answer.value("key", "") == attempt.key && answer.value("request", "") == attempt.request &&
         answer.value("caller_id", "") == AttemptId(attempt);
}

}  // namespace ladderstream::rehearsal
