#include "gateway/http/http_client.h"

#include <utility>

#include "gateway/http/http_client_connection.h"
#include "gateway/http/text.h"

namespace ladderstream::gateway {

namespace {

std::string Serialize(const Endpoint& to, const interfaces::HttpRequest& request) {
  std::string text;
  Append(&text, request.method, " ", request.target, " HTTP/1.1\r\n");
  AppendField(&text, "Host", FormatEndpoint(to));
  for (const auto& [name, value] : request.headers) {
    AppendField(&text, name, value);
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
    AppendField(&text, "Content-Length", std::to_string(request.body.size()));
  }
  Append(&text, kLineEnd, request.body);
  return text;
}

ExpectedAnswer ExpectedAnswerTo(const interfaces::HttpRequest& request) {
  ExpectedAnswer expected;
  expected.is_to_head_method = request.method == "HEAD";
  expected.repeated_header = request.repeated_header;
  if (!request.repeated_header.empty()) {
    expected.repeated_value = request.Header(request.repeated_header);
  }
  return expected;
}

}  // namespace

HttpClient::HttpClient(EventLoop& loop, const TimeSource& clock, const HttpClientSettings& settings,
                       UnreadableAnswerCallback on_unreadable)
    : loop_(loop),
      clock_(clock),
      settings_(settings),
      on_unreadable_(std::move(on_unreadable)),
      budget_(std::make_shared<ByteBudget>(settings.max_held_bytes)) {}

HttpClient::~HttpClient() {
  for (const auto& [call, connection] : std::exchange(calls_, {})) {
    connection->Close();
  }
  for (const auto& [peer, connections] : std::exchange(idle_, {})) {
    for (const ConnectionPtr& connection : connections) {
      connection->Close();
    }
  }
}

HttpCallId HttpClient::Call(const Endpoint& to, const interfaces::HttpRequest& request,
                            const CallTiming& timing, CallCallback callback) {
  const HttpCallId call = ++last_call_;
  ConnectionPtr connection = timing.own_connection ? nullptr : TakeIdle(to);
  if (connection == nullptr) {
    connection = std::make_shared<HttpClientConnection>(*this, to);
  }
  calls_.emplace(call, connection);
  connection->Start(call, Serialize(to, request), ExpectedAnswerTo(request), timing,
                    std::move(callback));
  return call;
}

void HttpClient::Cancel(HttpCallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) {
    const ConnectionPtr connection = std::move(found->second);
    calls_.erase(found);
    connection->Close();
  }
}

HttpClient::ConnectionPtr HttpClient::TakeIdle(const Endpoint& to) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<ConnectionPtr> connections = std::move(found->second);
  idle_.erase(found);
  while (!connections.empty()) {
    ConnectionPtr connection = std::move(connections.back());
    connections.pop_back();
    if (clock_.Now() < connection->usable_until() && connection->IsSound()) {
      if (!connections.empty()) {
        idle_[to] = std::move(connections);
      }
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

void HttpClient::CloseIdle(const Endpoint& peer) {
  const auto found = idle_.find(peer);
  if (found == idle_.end()) {
    return;
  }
  const std::vector<ConnectionPtr> connections = std::move(found->second);
  idle_.erase(found);
  for (const ConnectionPtr& connection : connections) {
    connection->Close();
  }
}

void HttpClient::OnIdle(const ConnectionPtr& connection) {
  idle_[connection->peer()].push_back(connection);
}

void HttpClient::OnClosed(const ConnectionPtr& connection) {
  const auto found = idle_.find(connection->peer());
  if (found == idle_.end()) {
    return;
  }
  std::erase(found->second, connection);
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

}  // namespace ladderstream::gateway
