// A caller server on loopback with a scripted handler, and a caller that speaks raw bytes.
#pragma once

#include <absl/synchronization/mutex.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>
#include <utility>

#include "daemon/http/caller_server.h"

namespace ladderstream::test {

/// Nothing in these tests takes this long unless it hangs.
constexpr int kTestTimeoutMs = 10000;

/// One TCP connection.
class RawCaller {
 public:
  explicit RawCaller(const Endpoint& to) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    connected_ = ::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }
  ~RawCaller() { Close(); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  bool connected() const { return connected_; }

  bool Send(const std::string& bytes) const {
    return ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  /// Reads until the server closes.
  std::string ReceiveAll() {
    std::string received;
    while (ReceiveSome(received)) {
    }
    return received;
  }

  /// Reads until `end` has come or the server closes.
  std::string ReceiveUntil(const std::string& end) {
    std::string received;
    while (received.find(end) == std::string::npos && ReceiveSome(received)) {
    }
    return received;
  }

  void Close() {
    if (socket_ >= 0) {
      ::close(socket_);
    }
    socket_ = -1;
  }

 private:
  bool ReceiveSome(std::string& received) const {
    pollfd entry{socket_, POLLIN, 0};
    if (::poll(&entry, 1, kTestTimeoutMs) <= 0) {
      return false;
    }
    std::array<char, 4096> buffer{};
    const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      return false;
    }
    received.append(buffer.data(), static_cast<size_t>(size));
    return true;
  }

  int socket_;
  bool connected_ = false;
};

/// Answers each request as `script` says; by default with its own body.
class ScriptedHandler : public CallerHandler {
 public:
  using Script = std::function<CallerAnswer(const CallerRequest&, const routing::CancellationPtr&)>;

  CallerAnswer Handle(const CallerRequest& request,
                      const routing::CancellationPtr& cancellation) override {
    if (script) {
      return script(request, cancellation);
    }
    CallerAnswer answer;
    answer.result = ResultCode::kOk;
    answer.status = 200;
    answer.body = request.key + "|" + request.body;
    answer.content_type = "text/plain";
    return answer;
  }

  Script script;
};

struct ServerFixture {
  explicit ServerFixture(CallerServerLimits limits = {})
      : server(Endpoint{"127.0.0.1", 0}, limits, handler) {}

  /// Whether an ordinary request is still answered.
  bool StillServes() {
    RawCaller caller(server.endpoint());
    caller.Send(
        "GET /v1/services/scripts/requests/read?key=s%2F1 HTTP/1.1\r\nHost: a\r\n"
        "Connection: close\r\n\r\n");
    return caller.ReceiveAll().find("s/1|") != std::string::npos;
  }

  ScriptedHandler handler;
  CallerServer server;
};

inline std::string PostHead(const std::string& headers) {
  return "POST /v1/services/scripts/requests/book?key=k HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

}  // namespace ladderstream::test
