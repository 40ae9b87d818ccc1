#include "gateway/http/readiness_server.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <optional>
#include <utility>

#include "gateway/http/text.h"

namespace ladderstream::gateway {

namespace http = boost::beast::http;

namespace {

constexpr size_t kMaxConnections = 32;
constexpr size_t kMaxRequestBytes = 4096;
/// When accepting has failed, for lack of descriptors for instance, it is tried again after this.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

class ReadinessServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Socket socket, ReadinessServer& server)
      : socket_(std::move(socket)), server_(server) {}

  void Read() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [self = shared_from_this()](const ErrorCode& error, size_t size) {
                              self->OnRead(error, size);
                            });
  }

  void Close() {
    if (std::exchange(closed_, true)) {
      return;
    }
    ErrorCode ignored;
    socket_.close(ignored);
    server_.connections_.erase(shared_from_this());
  }

 private:
  void OnRead(const ErrorCode& error, size_t size) {
    if (closed_) {
      return;
    }
    const auto self = shared_from_this();
    pending_.append(buffer_.data(), size);
    if (error || pending_.size() > kMaxRequestBytes) {
      Close();
      return;
    }
    Parse();
  }

  /// Answers the first whole request that is pending; reads on when there is none.
  void Parse() {
    http::request_parser<http::empty_body> parser;
    ErrorCode error;
    const size_t taken = parser.put(boost::asio::buffer(pending_), error);
    if (error == http::error::need_more) {
      Read();
      return;
    }
    if (error || !parser.is_done()) {
      Close();
      return;
    }
    pending_.erase(0, taken);
    const std::string_view target = ToView(parser.get().target());
    const bool closing = !parser.keep_alive();
    answer_ = server_.Answer(target.substr(0, target.find('?')), closing);
    boost::asio::async_write(
        socket_, boost::asio::buffer(answer_),
        [self = shared_from_this(), closing](const ErrorCode& write_error, size_t /*size*/) {
          if (self->closed_) {
            return;
          }
          if (write_error || closing) {
            self->Close();
          } else if (self->pending_.empty()) {
            self->Read();
          } else {
            self->Parse();
          }
        });
  }

  Socket socket_;
  ReadinessServer& server_;
  bool closed_ = false;
  std::string pending_;
  std::string answer_;
  std::array<char, 1024> buffer_;
};

ReadinessServer::ReadinessServer(EventLoop& loop, const Endpoint& listen,
                                 std::string_view ready_path, std::function<bool()> is_ready)
    : acceptor_(Listen(loop, listen)),
      local_endpoint_(acceptor_.local_endpoint()),
      pause_(loop.get_executor()) {
  AddPage(std::string(ready_path), [is_ready = std::move(is_ready)] {
    PageAnswer answer;
    answer.status = is_ready() ? kOk : kUnavailable;
    answer.body = answer.status == kOk ? "ready\n" : "not ready\n";
    return answer;
  });
  ArmAccept();
}

ReadinessServer::~ReadinessServer() {
  const std::set<ConnectionPtr> connections = connections_;
  for (const ConnectionPtr& connection : connections) {
    connection->Close();
  }
}

void ReadinessServer::AddPage(std::string path, Page page) {
  pages_[std::move(path)] = std::move(page);
}

void ReadinessServer::ArmAccept() {
  acceptor_.async_accept(
      [this, alive = std::weak_ptr<char>(alive_)](const ErrorCode& error, Socket socket) {
        if (alive.expired() || error == boost::asio::error::operation_aborted) {
          return;
        }
        if (error) {
          AcceptLater();
          return;
        }
        Add(std::move(socket));
        ArmAccept();
      });
}

void ReadinessServer::AcceptLater() {
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this, alive = std::weak_ptr<char>(alive_)](const ErrorCode& error) {
    if (!error && !alive.expired()) {
      ArmAccept();
    }
  });
}

void ReadinessServer::Add(Socket socket) {
  ErrorCode error;
  PrepareSocket(socket, error);
  if (error) {
    return;
  }
  if (connections_.size() >= kMaxConnections) {
    const ConnectionPtr any = *connections_.begin();
    any->Close();
  }
  const auto connection = std::make_shared<Connection>(std::move(socket), *this);
  connections_.insert(connection);
  connection->Read();
}

std::string ReadinessServer::Answer(std::string_view path, bool closing) const {
  const auto page = pages_.find(path);
  PageAnswer answer;
  if (page != pages_.end()) {
    answer = page->second();
  } else {
    answer.status = kNotFound;
    answer.body = "no such page\n";
  }
  std::string text;
  Append(&text, "HTTP/1.1 ", std::to_string(answer.status), " ",
         ToView(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(answer.status)))),
         kLineEnd);
  AppendField(&text, "Content-Type", answer.content_type);
  AppendField(&text, "Content-Length", std::to_string(answer.body.size()));
  if (closing) {
    AppendField(&text, "Connection", "close");
  }
  Append(&text, kLineEnd, answer.body);
  return text;
}

}  // namespace ladderstream::gateway
