#include "standin/fleet/http_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <optional>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr uint64_t kMostBodyBytes = 64U << 20U;
constexpr char kHead[] = "HEAD";

std::string SerializeRequest(const interfaces::HttpRequest& request, const Endpoint& server) {
  std::string out = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    absl::StrAppend(&out, "Host: ", FormatEndpoint(server), "\r\n");
  }
  for (const auto& [name, value] : request.headers) {
    absl::StrAppend(&out, name, ": ", value, "\r\n");
  }
  const bool chunked = !FindHeader(request.headers, "Transfer-Encoding").empty();
  if (!chunked && (!request.body.empty() || request.method != "GET")) {
    absl::StrAppend(&out, "Content-Length: ", request.body.size(), "\r\n");
  }
  return absl::StrCat(out, "\r\n", request.body);
}

class Connection final : public HttpClientConnection {
 public:
  Connection(EventLoop* loop, Endpoint server, std::string source)
      : socket_(loop->context()),
        timer_(loop->context()),
        server_(std::move(server)),
        source_(std::move(source)) {}

  void Call(const interfaces::HttpRequest& request, Duration connect_within, Duration answer_within,
            Callback done) override {
    outgoing_ = SerializeRequest(request, server_);
    is_head_ = request.method == kHead;
    done_ = std::move(done);
    deadline_ = EventLoop::Now() + answer_within;
    if (connected_) {
      Send();
      return;
    }
    StartTimer(std::min(connect_within, answer_within),
               connect_within < answer_within ? CallEnd::kNotConnected : CallEnd::kTimedOut);
    const tcp::endpoint address(boost::asio::ip::make_address(server_.host), server_.port);
    socket_.open(address.protocol());
    CloseOnExec(socket_.native_handle());
    BindToSource();
    socket_.async_connect(address,
                          [self = Self()](const error_code& error) { self->OnConnected(error); });
  }

  void OnUnasked(std::function<void()> callback) override { unasked_ = std::move(callback); }

  void Close() override {
    done_ = nullptr;
    CloseSocket();
  }

  bool open() const override { return connected_; }
  const Endpoint& server() const override { return server_; }
  Time idle_since() const override { return idle_since_; }

 private:
  void BindToSource() {
    if (source_.empty()) {
      return;
    }
    // The port is chosen with the server's address, so that one of another connection may serve.
    const int yes = 1;
    ::setsockopt(socket_.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes, sizeof(yes));
    error_code error;
    socket_.bind({boost::asio::ip::make_address(source_), 0}, error);
    if (error) {
      throw Error(ResultCode::kInternal,
                  absl::StrCat("a caller cannot use the address ", source_, ": ", error.message()));
    }
  }

  std::shared_ptr<Connection> Self() {
    return std::static_pointer_cast<Connection>(shared_from_this());
  }

  void CloseSocket() {
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    connected_ = false;
  }

  void StartTimer(Duration length, CallEnd end) {
    timer_.expires_after(absl::ToChronoNanoseconds(length));
    timer_.async_wait([self = Self(), end, turn = ++turn_](const error_code& error) {
      if (!error && turn == self->turn_) {
        self->Finish({.end = end, .response = {}, .reusable = false});
      }
    });
  }

  void OnConnected(const error_code& error) {
    if (!done_) {
      return;
    }
    if (error) {
      Finish({.end = CallEnd::kNotConnected, .response = {}, .reusable = false});
      return;
    }
    connected_ = true;
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    Send();
  }

  void Send() {
    StartTimer(deadline_ - EventLoop::Now(), CallEnd::kTimedOut);
    boost::asio::async_write(socket_, boost::asio::buffer(outgoing_),
                             [self = Self()](const error_code& /*error*/, size_t /*bytes*/) {
                               // An error shows in the read as well.
                             });
    parser_.emplace();
    parser_->body_limit(kMostBodyBytes);
    parser_->skip(is_head_);
    http::async_read(socket_, buffer_, *parser_,
                     [self = Self(), turn = turn_](const error_code& error, size_t /*bytes*/) {
                       if (turn == self->turn_) {
                         self->OnRead(error);
                       }
                     });
  }

  void OnRead(const error_code& error) {
    if (!done_) {
      return;
    }
    if (error) {
      Finish({.end = EndOf(error), .response = {}, .reusable = false});
      return;
    }
    CallResult result;
    result.end = CallEnd::kAnswered;
    result.reusable = parser_->keep_alive() && !parser_->need_eof();
    auto message = parser_->release();
    result.response.status = static_cast<int>(message.result_int());
    for (const auto& field : message) {
      result.response.headers.emplace_back(std::string(field.name_string()),
                                           std::string(field.value()));
    }
    result.response.body = std::move(message.body());
    Finish(std::move(result));
  }

  CallEnd EndOf(const error_code& error) const {
    const bool ended = error == http::error::end_of_stream ||
                       error == http::error::partial_message ||
                       error.category() != http::make_error_code(http::error::bad_value).category();
    if (!ended) {
      return CallEnd::kMalformed;
    }
    return parser_->got_some() ? CallEnd::kCutShort : CallEnd::kClosed;
  }

  void Finish(CallResult result) {
    ++turn_;
    timer_.cancel();
    idle_since_ = EventLoop::Now();
    if (!result.reusable) {
      CloseSocket();
    }
    const Callback done = std::exchange(done_, nullptr);
    if (result.reusable) {
      if (buffer_.size() > 0) {
        Unasked();
        result.reusable = false;
      } else {
        WatchIdle();
      }
    }
    if (done) {
      done(result);
    }
  }

  void WatchIdle() {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = Self(), turn = turn_](const error_code& error) {
                         if (!error && turn == self->turn_ && !self->done_) {
                           self->OnIdleReadable();
                         }
                       });
  }

  void OnIdleReadable() {
    char byte = 0;
    const ssize_t peeked =
        recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (peeked > 0) {
      Unasked();
    } else if (peeked < 0 && (errno == EAGAIN || errno == EINTR)) {
      WatchIdle();
    } else {
      CloseSocket();
    }
  }

  void Unasked() {
    CloseSocket();
    if (unasked_) {
      unasked_();
    }
  }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Endpoint server_;
  std::string source_;
  std::string outgoing_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Callback done_;
  std::function<void()> unasked_;
  Time deadline_;
  Time idle_since_;
  // Grows with each call's timer and end: what belongs to an earlier one is stale.
  uint64_t turn_ = 0;
  bool connected_ = false;
  bool is_head_ = false;
};

}  // namespace

HttpClientConnectionPtr HttpClientConnection::Make(EventLoop* loop, const Endpoint& server,
                                                   const std::string& source) {
  return std::make_shared<Connection>(loop, server, source);
}

}  // namespace ladderstream::fleet
