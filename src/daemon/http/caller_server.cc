#include "daemon/http/caller_server.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <memory>
#include <thread>
#include <utility>

#include "daemon/http/caller_api.h"
#include "daemon/http/connection_poller.h"
#include "daemon/http/connection_stream.h"

namespace ladderstream {
namespace {

/// The kernel's queue of connections not yet accepted; the library's own is 5.
constexpr int kListenBacklog = 1024;
/// Chunk headers and trailers may add to a body.
constexpr size_t kMaxFramingBytes = 64 << 10;

/// Runs what the library's accept loop brings on that loop's thread: it only registers sockets.
class InlineTaskQueue : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override { task(); }
  void shutdown() override {}
};

/// The scope of the one request that a worker thread runs.
class ConnectionScope : public RequestScope {
 public:
  ConnectionScope(Connection& connection, const ConnectionStream& stream,
                  const ConnectionPoller& poller)
      : connection_(connection),
        stream_(stream),
        poller_(poller),
        cancellation_(connection.BeginRequest()),
        outer_(current_) {
    current_ = this;
  }
  ~ConnectionScope() override {
    connection_.EndRequest();
    current_ = outer_;
  }
  ConnectionScope(const ConnectionScope&) = delete;
  ConnectionScope& operator=(const ConnectionScope&) = delete;

  static RequestScope& Current() { return *current_; }

  const routing::CancellationPtr& cancellation() const override { return cancellation_; }
  Duration age() const override {
    return absl::FromChrono(std::chrono::steady_clock::now() - connection_.since.load());
  }
  bool too_slow() const override { return stream_.too_slow(); }
  bool too_large() const override { return stream_.too_large(); }
  void CloseAfterAnswer() override { connection_.close_after_answer = true; }
  bool WillClose() const override {
    return connection_.close_after_answer || poller_.closing_idle();
  }

 private:
  Connection& connection_;
  const ConnectionStream& stream_;
  const ConnectionPoller& poller_;
  const routing::CancellationPtr cancellation_;
  ConnectionScope* const outer_;
  static thread_local ConnectionScope* current_;
};

thread_local ConnectionScope* ConnectionScope::current_ = nullptr;

/// The library's server, with connections in the poller instead of one thread each.
class PollingServer : public httplib::Server {
 public:
  explicit PollingServer(const CallerServerLimits& limits)
      : stream_limits_{limits.max_header_bytes + limits.max_body_bytes + kMaxFramingBytes,
                       limits.read_timeout, limits.write_timeout},
        poller_(limits, [this](Connection& connection, const RequestHead& head) {
          return RunRequest(connection, head);
        }) {
    new_task_queue = [] { return new InlineTaskQueue; };
    // Without SO_REUSEPORT, which the library sets, a taken port is an error.
    set_socket_options([](socket_t socket) {
      const int yes = 1;
      ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    });
    set_tcp_nodelay(true);
    set_payload_max_length(limits.max_body_bytes);
    set_keep_alive_timeout(absl::ToInt64Seconds(limits.idle_timeout));
    constexpr size_t kUnbounded = 1000000;
    set_keep_alive_max_count(kUnbounded);
  }

  ConnectionPoller& poller() { return poller_; }

  void ExtendBacklog() { ::listen(svr_sock_, kListenBacklog); }

  uint16_t BoundPort() const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(svr_sock_, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    poller_.Add(socket);
    return true;
  }

  bool RunRequest(Connection& connection, const RequestHead& head) {
    ConnectionStream stream(connection, head, stream_limits_);
    bool close = false;
    bool read = false;
    {
      const ConnectionScope scope(connection, stream, poller_);
      read = process_request(stream, poller_.closing_idle(), close, [](httplib::Request&) {});
    }
    const bool sent = stream.Flush();
    const bool known_end = stream.Finish();
    return read && sent && known_end && !close && !poller_.closing_idle();
  }

  const StreamLimits stream_limits_;
  ConnectionPoller poller_;
};

}  // namespace

class CallerServer::Impl {
 public:
  Impl(const Endpoint& bind, const CallerServerLimits& limits, CallerHandler& handler)
      : server_(limits), endpoint_(bind) {
    const bool bound = bind.port == 0 ? server_.bind_to_any_port(bind.host) >= 0
                                      : server_.bind_to_port(bind.host, bind.port);
    if (!bound) {
      throw Error(ResultCode::kInvalidSetting,
                  absl::StrCat("can't listen on ", FormatEndpoint(bind)));
    }
    endpoint_.port = server_.BoundPort();
    server_.ExtendBacklog();
    MountCallerApi(server_, handler, limits.max_body_bytes, &ConnectionScope::Current);
  }

  ~Impl() { Stop(); }

  httplib::Server& routes() { return server_; }
  const Endpoint& endpoint() const { return endpoint_; }

  void Start() {
    accepting_ = std::thread([this] { server_.listen_after_bind(); });
    // The library ignores a stop before it runs.
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }

  void BeginDrain() { server_.poller().CloseIdle(); }

  void Stop() {
    if (accepting_.joinable()) {
      server_.stop();
      accepting_.join();
    }
    server_.poller().Stop();
  }

 private:
  PollingServer server_;
  Endpoint endpoint_;
  std::thread accepting_;
};

CallerServer::CallerServer(const Endpoint& bind, const CallerServerLimits& limits,
                           CallerHandler& handler)
    : impl_(std::make_unique<Impl>(bind, limits, handler)) {}

CallerServer::~CallerServer() = default;

httplib::Server& CallerServer::routes() { return impl_->routes(); }

Endpoint CallerServer::endpoint() const { return impl_->endpoint(); }

void CallerServer::Start() { impl_->Start(); }

void CallerServer::BeginDrain() { impl_->BeginDrain(); }

void CallerServer::Stop() { impl_->Stop(); }

}  // namespace ladderstream
