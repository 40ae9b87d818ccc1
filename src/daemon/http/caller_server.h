// The HTTP server towards callers and back ends, on cpp-httplib.
//
// The library parses requests and writes answers; this server keeps connections in an epoll set, so
// that a worker thread is held only while a request runs, bounds everything a caller sends, and
// notices callers that leave. Others mount routes of their own through `routes()`.
#pragma once

#include <cstdint>
#include <memory>

#include "daemon/http/caller_handler.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace ladderstream {

/// Bounds on what callers may take up.
struct CallerServerLimits {
  uint32_t max_connections = 8192;
  /// Request line and headers together.
  uint32_t max_header_bytes = 16 << 10;
  /// No service may accept more than this.
  uint32_t max_body_bytes = 4 << 20;
  /// From a request's first byte to its last; longer is kRequestTooSlow.
  Duration read_timeout = absl::Seconds(5);
  /// A caller that takes no byte of its answer for this long is cut off.
  Duration write_timeout = absl::Seconds(5);
  /// A connection without a request is closed after this.
  Duration idle_timeout = absl::Seconds(60);
  /// Requests that run at once, each on a thread; threads start as they are needed.
  uint32_t max_workers = 1024;
  /// Requests read but waiting for a thread; more are refused with kOverloaded.
  uint32_t max_waiting = 256;
};

/// Start, BeginDrain and Stop are called from one thread, in this order.
class CallerServer {
 public:
  /// Binds at once; port 0 takes any free one. `handler` must outlive the server. Throws
  /// Error(kInvalidSetting) when the address can't be bound.
  CallerServer(const Endpoint& bind, const CallerServerLimits& limits, CallerHandler& handler);
  ~CallerServer();

  /// The library's server, to mount further routes on before Start. Handlers run on worker threads.
  httplib::Server& routes();

  /// Where it listens.
  Endpoint endpoint() const;

  void Start();

  /// From now on each answer closes its connection, and connections idle for a second are closed,
  /// so that a request already on its way over one is still answered. New
  /// connections are still served, so that nothing is cut while callers turn away.
  void BeginDrain();

  /// Stops listening and closes every connection once its running request is answered.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream
