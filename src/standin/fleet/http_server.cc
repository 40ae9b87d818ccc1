#include "standin/fleet/http_server.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "standin/fleet/packet_filter.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr uint64_t kMostBodyBytes = 64U << 20U;
constexpr size_t kChunk = 500;

std::string ChunkedBody(const std::string& body) {
  std::string out;
  for (size_t at = 0; at < body.size(); at += kChunk) {
    const std::string chunk = body.substr(at, kChunk);
    absl::StrAppend(&out, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
  }
  return absl::StrCat(out, "0\r\n\r\n");
}

}  // namespace

void CloseOnExec(int descriptor) { fcntl(descriptor, F_SETFD, FD_CLOEXEC); }

std::string Serialize(const Answer& answer) {
  const bool close = answer.close || answer.framing == Framing::kUntilClose;
  std::string out = absl::StrCat(
      "HTTP/1.1 ", answer.status, " ",
      std::string(http::obsolete_reason(static_cast<http::status>(answer.status))), "\r\n");
  for (const auto& [name, value] : answer.headers) {
    absl::StrAppend(&out, name, ": ", value, "\r\n");
  }
  if (close) {
    absl::StrAppend(&out, "Connection: close\r\n");
  }
  switch (answer.framing) {
    case Framing::kLength:
      return absl::StrCat(out, "Content-Length: ", answer.body.size(), "\r\n\r\n", answer.body);
    case Framing::kChunked:
      return absl::StrCat(out, "Transfer-Encoding: chunked\r\n\r\n", ChunkedBody(answer.body));
    case Framing::kUntilClose:
      break;
  }
  return absl::StrCat(out, "\r\n", answer.body);
}

// What the server shares with its connections.
struct HttpServer::State {
  State(EventLoop* loop, Handler handler)
      : loop(loop), handler(std::move(handler)), acceptor(loop->context()) {}

  EventLoop* loop;
  Handler handler;
  tcp::acceptor acceptor;
  Endpoint endpoint;
  std::set<std::shared_ptr<ServerConnection>> connections;
  size_t most_connections = SIZE_MAX;
  Duration idle_timeout = absl::InfiniteDuration();
  uint64_t accepted = 0;
  /// Clients at these addresses are cut off, and whether their open connections live on.
  std::set<std::string> cut_sources;
  bool cut_spares_open = false;
  bool paused = false;
  bool leaving = false;
  /// Nothing comes back any more.
  bool silent = false;
  bool accepting = false;
  // The server is being destroyed: nobody is told anything any more.
  bool ended = false;
};

// One connection: reads a request, waits for its answer, writes it, and so on.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<HttpServer::State> server, tcp::socket socket)
      : server_(std::move(server)), socket_(std::move(socket)) {
    CloseOnExec(socket_.native_handle());
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    source_ = socket_.remote_endpoint(ignored).address().to_string();
  }

  void Read() {
    if (server_->paused || reading_ || exchange_ != nullptr || !socket_.is_open()) {
      return;
    }
    if (server_->leaving && buffer_.size() == 0) {
      Close();
      return;
    }
    reading_ = true;
    idle_since_ = EventLoop::Now();
    WatchIdle();
    parser_.emplace();
    parser_->body_limit(kMostBodyBytes);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
                       self->OnRead(error);
                     });
  }

  void Resume() {
    if (held_ != nullptr) {
      Deliver(std::exchange(held_, nullptr));
    }
    for (std::string& bytes : std::exchange(held_writes_, {})) {
      Write(std::move(bytes));
    }
    Read();
  }

  /// Follows a change of the sources that are cut off.
  void UpdateCut(CutMode mode) {
    if (mode == CutMode::kReset && IsCutOff()) {
      Reset();
      return;
    }
    DropPacketsFrom(socket_.native_handle(), mode == CutMode::kNewConnections
                                                 ? std::set<std::string>()
                                                 : server_->cut_sources);
    if (!IsCutOff() && !server_->paused) {
      Resume();
    }
  }

  void Write(std::string bytes) {
    if (server_->paused || IsCutOff()) {
      held_writes_.push_back(std::move(bytes));
      return;
    }
    outgoing_.push_back(std::move(bytes));
    if (outgoing_.size() == 1) {
      WriteNext();
    }
  }

  /// Writes `block` whenever `pause` has passed since the last bytes were taken.
  void WriteEndlessly(std::string first, std::string block, Duration pause, size_t most) {
    first.append(block);
    endless_ = Endless{std::move(block), pause, most};
    Write(std::move(first));
  }

  /// The answer to the current request is under way.
  void Answered(bool close) {
    exchange_ = nullptr;
    close_after_writes_ = close_after_writes_ || close;
    if (!close_after_writes_) {
      Read();
    } else if (outgoing_.empty() && held_writes_.empty()) {
      Close();
    }
  }

  void Reset() {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    server_->connections.erase(shared_from_this());
    const ExchangePtr exchange = std::exchange(exchange_, nullptr);
    held_ = nullptr;
    if (exchange != nullptr && exchange->peer_gone_ && !server_->ended) {
      std::exchange(exchange->peer_gone_, nullptr)();
    }
  }

  bool IsCutOff() const {
    return server_->silent || (!server_->cut_spares_open && server_->cut_sources.contains(source_));
  }

  void FallSilent() { DropAllPackets(socket_.native_handle()); }

  bool idle() const { return exchange_ == nullptr && held_ == nullptr && outgoing_.empty(); }

 private:
  void OnRead(const error_code& error) {
    reading_ = false;
    if (error) {
      Close();
      return;
    }
    ReceivedRequest request;
    auto message = parser_->release();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    request.source = source_;
    close_after_writes_ = !message.keep_alive();
    auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request));
    if (server_->paused) {
      held_ = std::move(exchange);
      return;
    }
    Deliver(exchange);
  }

  void Deliver(const ExchangePtr& exchange) {
    exchange->request_.arrival = EventLoop::Now();
    exchange_ = exchange;
    WatchPeer();
    server_->handler(exchange);
  }

  // Notices that the other end has gone while its request is worked on.
  void WatchPeer() {
    socket_.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), watched = exchange_.get()](const error_code& error) {
          if (!error && self->exchange_ != nullptr && self->exchange_.get() == watched) {
            self->OnReadable();
          }
        });
  }

  void OnReadable() {
    char byte = 0;
    const ssize_t peeked =
        recv(socket_.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (peeked < 0 && (errno == EAGAIN || errno == EINTR)) {
      WatchPeer();
    } else if (peeked <= 0) {
      Close();
    }
    // Else the next request is on its way already.
  }

  void WatchIdle() {
    if (server_->idle_timeout == absl::InfiniteDuration()) {
      return;
    }
    server_->loop->After(server_->idle_timeout, [weak = weak_from_this(), since = idle_since_] {
      const auto self = weak.lock();
      if (self != nullptr && !self->server_->silent && self->reading_ &&
          self->idle_since_ == since && self->buffer_.size() == 0) {
        self->Close();
      }
    });
  }

  void WriteBlock() {
    if (!socket_.is_open() || endless_->left < endless_->block.size()) {
      return;
    }
    endless_->left -= endless_->block.size();
    Write(endless_->block);
  }

  void WriteNext() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(outgoing_.front()),
        [self = shared_from_this()](const error_code& error, size_t /*bytes*/) {
          self->OnWritten(error);
        });
  }

  void OnWritten(const error_code& error) {
    if (error) {
      Close();
      return;
    }
    outgoing_.pop_front();
    if (!outgoing_.empty()) {
      WriteNext();
    } else if (endless_.has_value()) {
      server_->loop->After(endless_->pause, [self = shared_from_this()] { self->WriteBlock(); });
    } else if (close_after_writes_ && exchange_ == nullptr) {
      Close();
    }
  }

  std::shared_ptr<HttpServer::State> server_;
  tcp::socket socket_;
  std::string source_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  ExchangePtr exchange_;
  // Read while the server was paused.
  ExchangePtr held_;
  std::vector<std::string> held_writes_;
  std::deque<std::string> outgoing_;
  struct Endless {
    std::string block;
    Duration pause;
    size_t left = 0;
  };
  std::optional<Endless> endless_;
  Time idle_since_;
  bool reading_ = false;
  bool close_after_writes_ = false;
};

Exchange::Exchange(std::shared_ptr<ServerConnection> connection, ReceivedRequest request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

void Exchange::Respond(const Answer& answer) {
  RespondRaw(Serialize(answer), answer.close || answer.framing == Framing::kUntilClose);
}

void Exchange::RespondRaw(std::string bytes, bool close) {
  if (std::exchange(answered_, true)) {
    return;
  }
  peer_gone_ = nullptr;
  connection_->Write(std::move(bytes));
  connection_->Answered(close);
}

void Exchange::RespondEndlessly(std::string first, std::string block, Duration pause, size_t most) {
  answered_ = true;
  peer_gone_ = nullptr;
  connection_->WriteEndlessly(std::move(first), std::move(block), pause, most);
}

void Exchange::Reset() {
  answered_ = true;
  peer_gone_ = nullptr;
  connection_->Reset();
}

void Exchange::Silence() { answered_ = true; }

void Exchange::OnPeerGone(std::function<void()> callback) { peer_gone_ = std::move(callback); }

HttpServer::HttpServer(EventLoop* loop, const Endpoint& listen, Handler handler)
    : state_(std::make_shared<State>(loop, std::move(handler))) {
  state_->endpoint = listen;
  Listen();
}

HttpServer::~HttpServer() {
  state_->ended = true;
  Close();
}

const Endpoint& HttpServer::endpoint() const { return state_->endpoint; }

void HttpServer::Listen() {
  const tcp::endpoint address(boost::asio::ip::make_address(state_->endpoint.host),
                              state_->endpoint.port);
  try {
    state_->acceptor.open(address.protocol());
    CloseOnExec(state_->acceptor.native_handle());
    state_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    state_->acceptor.bind(address);
    state_->acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw Error(
        ResultCode::kInvalidSetting,
        absl::StrCat("cannot listen at ", FormatEndpoint(state_->endpoint), ": ", error.what()));
  }
  state_->endpoint.port = state_->acceptor.local_endpoint().port();
  state_->leaving = false;
  if (!state_->cut_sources.empty()) {
    DropPacketsFrom(state_->acceptor.native_handle(), state_->cut_sources);
  }
  Accept();
}

void HttpServer::Accept() {
  if (state_->accepting || state_->paused || !state_->acceptor.is_open()) {
    return;
  }
  state_->accepting = true;
  state_->acceptor.async_accept(
      [this, state = state_](const error_code& error, tcp::socket socket) {
        state->accepting = false;
        if (error) {
          return;
        }
        ++state->accepted;
        const auto connection = std::make_shared<ServerConnection>(state, std::move(socket));
        if (state->connections.size() >= state->most_connections) {
          connection->Reset();
        } else {
          state->connections.insert(connection);
          connection->Read();
        }
        Accept();
      });
}

void HttpServer::Close() {
  error_code ignored;
  state_->acceptor.close(ignored);
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->Reset();
  }
}

void HttpServer::CloseGracefully() {
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->leaving = true;
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    if (connection->idle()) {
      connection->Close();
    }
  }
}

void HttpServer::Reopen() { Listen(); }

void HttpServer::Pause() {
  state_->paused = true;
  error_code ignored;
  // What is not accepted waits in the listener's queue.
  state_->acceptor.cancel(ignored);
}

void HttpServer::Resume() {
  state_->paused = false;
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->Resume();
  }
  // The accept that Pause cancelled may end only in the next turn.
  state_->loop->After(absl::ZeroDuration(), [this] { Accept(); });
}

void HttpServer::CutOff(const std::set<std::string>& sources, CutMode mode) {
  state_->cut_sources = sources;
  state_->cut_spares_open = mode == CutMode::kNewConnections;
  if (state_->acceptor.is_open()) {
    DropPacketsFrom(state_->acceptor.native_handle(), sources);
  }
  const auto connections = state_->connections;
  for (const auto& connection : connections) {
    connection->UpdateCut(mode);
  }
}

void HttpServer::FallSilent() {
  state_->silent = true;
  state_->paused = true;
  if (state_->acceptor.is_open()) {
    DropAllPackets(state_->acceptor.native_handle());
  }
  for (const auto& connection : state_->connections) {
    connection->FallSilent();
  }
}

void HttpServer::LimitConnections(size_t most) { state_->most_connections = most; }

void HttpServer::SetIdleTimeout(Duration timeout) { state_->idle_timeout = timeout; }

size_t HttpServer::connections() const { return state_->connections.size(); }

uint64_t HttpServer::accepted() const { return state_->accepted; }

}  // namespace ladderstream::fleet
