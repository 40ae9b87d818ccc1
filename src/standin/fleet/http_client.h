// One HTTP/1.1 connection to a server: one request at a time, and an eye on what comes unasked.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "interfaces/http_exchange.h"
#include "standin/fleet/event_loop.h"
#include "standin/fleet/http_message.h"
#include "wire/identifiers.h"

namespace ladderstream::fleet {

enum class CallEnd {
  kAnswered,
  /// No connection was made.
  kNotConnected,
  /// The connection ended without a whole answer; not one byte of an answer came.
  kClosed,
  /// The connection ended within an answer.
  kCutShort,
  /// Bytes that are no answer.
  kMalformed,
  /// Nothing by the time given; the connection is closed.
  kTimedOut,
  /// The caller closed the connection before an answer.
  kAbandoned,
};

struct CallResult {
  CallEnd end = CallEnd::kClosed;
  /// When kAnswered.
  interfaces::HttpResponse response;
  /// The connection can take another request.
  bool reusable = false;
};

class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Callback = std::function<void(const CallResult&)>;

  /// `source`: the address to connect from; empty for the system's choice.
  static std::shared_ptr<HttpClientConnection> Make(EventLoop* loop, const Endpoint& server,
                                                    const std::string& source = "");

  virtual ~HttpClientConnection() = default;

  /// Sends a request, connecting first when that was not done. `connect_within` bounds the making
  /// of the connection, `answer_within` all of it. Calls `done` once.
  virtual void Call(const interfaces::HttpRequest& request, Duration connect_within,
                    Duration answer_within, Callback done) = 0;

  /// Called when bytes come while no request waits.
  virtual void OnUnasked(std::function<void()> callback) = 0;

  /// Drops the call under way, whose callback is not called, and closes.
  virtual void Close() = 0;

  /// Connected and not seen closed.
  virtual bool open() const = 0;
  virtual const Endpoint& server() const = 0;
  /// When the last answer came.
  virtual Time idle_since() const = 0;
};

using HttpClientConnectionPtr = std::shared_ptr<HttpClientConnection>;

}  // namespace ladderstream::fleet
