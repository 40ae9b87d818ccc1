// A back end that answers with scripted bytes, so that it can misbehave in any way.
#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::test {

/// Serves each connection on a thread of its own.
class RawBackend {
 public:
  /// What to send for one request, whose head and body are given; `keep_open` false closes after.
  struct Reply {
    std::string bytes;
    bool keep_open = true;
  };
  using Script = std::function<Reply(const std::string& request)>;

  explicit RawBackend(Script script)
      : script_(std::move(script)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::listen(listener_, 64);
    socklen_t length = sizeof(address);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
    endpoint_ = Endpoint{"127.0.0.1", ntohs(address.sin_port)};
    accepting_ = std::thread([this] { Accept(); });
  }

  ~RawBackend() {
    ::shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    for (const int socket : sockets_) {
      ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
    for (const int socket : sockets_) {
      ::close(socket);
    }
    ::close(listener_);
  }

  const Endpoint& endpoint() const { return endpoint_; }

  std::vector<std::string> requests() {
    const absl::MutexLock lock(&mutex_);
    return requests_;
  }

  size_t connections() {
    const absl::MutexLock lock(&mutex_);
    return sockets_.size();
  }

  /// Waits until a request that contains `text` has come.
  bool AwaitRequest(const std::string& text) {
    const auto come = [&] {
      for (const std::string& request : requests_) {
        if (request.find(text) != std::string::npos) {
          return true;
        }
      }
      return false;
    };
    const absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&come), absl::Seconds(10));
  }

 private:
  void Accept() {
    while (true) {
      const int socket = ::accept(listener_, nullptr, nullptr);
      if (socket < 0) {
        return;
      }
      const absl::MutexLock lock(&mutex_);
      sockets_.push_back(socket);
      threads_.emplace_back([this, socket] { Serve(socket); });
    }
  }

  void Serve(int socket) {
    std::string input;
    while (ReadRequest(socket, input)) {
      {
        const absl::MutexLock lock(&mutex_);
        requests_.push_back(input);
      }
      const Reply reply = script_(input);
      input.clear();
      ::send(socket, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
      if (!reply.keep_open) {
        break;
      }
    }
    ::shutdown(socket, SHUT_RDWR);
  }

  static bool ReadRequest(int socket, std::string& input) {
    while (!IsWhole(input)) {
      std::array<char, 4096> buffer{};
      const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
      if (size <= 0) {
        return false;
      }
      input.append(buffer.data(), static_cast<size_t>(size));
    }
    return true;
  }

  static bool IsWhole(const std::string& input) {
    const size_t end = input.find("\r\n\r\n");
    const size_t length = input.find("Content-Length: ");
    if (end == std::string::npos || length == std::string::npos) {
      return end != std::string::npos;
    }
    return input.size() >= end + 4 + std::stoul(input.substr(length + 16));
  }

  const Script script_;
  const int listener_;
  Endpoint endpoint_;
  std::thread accepting_;
  absl::Mutex mutex_;
  std::vector<std::string> requests_;
  std::list<int> sockets_;
  std::list<std::thread> threads_;
};

inline std::string Answer(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Gives the value of a header in the text of a request.
inline std::string HeaderOf(const std::string& request, const std::string& name) {
  const size_t begin = request.find(name + ": ");
  if (begin == std::string::npos) {
    return "";
  }
  const size_t value = begin + name.size() + 2;
  return request.substr(value, request.find('\r', value) - value);
}

class SystemTime : public TimeSource {
 public:
  Time Now() const override { return absl::Now(); }
};

}  // namespace ladderstream::test
