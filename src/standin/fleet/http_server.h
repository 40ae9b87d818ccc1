// An HTTP/1.1 server on the loop, with the faults of a bad server at hand.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "standin/fleet/event_loop.h"
#include "standin/fleet/http_message.h"
#include "wire/identifiers.h"

namespace ladderstream::fleet {

class ServerConnection;

/// How clients at some addresses are cut off from a server. In each way, new connections do not
/// come up.
enum class CutMode : uint8_t {
  /// Open connections say nothing more.
  kSilent,
  /// Open connections are reset.
  kReset,
  /// Open connections live on.
  kNewConnections,
};

/// A request that waits for its answer. At most one of the answering functions is called.
class Exchange {
 public:
  Exchange(std::shared_ptr<ServerConnection> connection, ReceivedRequest request);

  const ReceivedRequest& request() const { return request_; }

  void Respond(const Answer& answer);
  /// Sends these bytes as they are; closes the connection afterwards if told to.
  void RespondRaw(std::string bytes, bool close);
  /// Sends `first`, and then `block` again and again, with pauses, until the other end closes or
  /// `most` bytes are sent.
  void RespondEndlessly(std::string first, std::string block, Duration pause, size_t most);
  /// Ends the connection with a reset.
  void Reset();
  /// Says nothing more on this connection.
  void Silence();
  /// Called once when the other end goes away before the answer.
  void OnPeerGone(std::function<void()> callback);

 private:
  friend class ServerConnection;

  std::shared_ptr<ServerConnection> connection_;
  ReceivedRequest request_;
  std::function<void()> peer_gone_;
  bool answered_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class HttpServer {
 public:
  using Handler = std::function<void(const ExchangePtr&)>;

  /// Listens at once; port 0 lets the system choose. Throws Error(kInvalidSetting) when the
  /// address cannot be bound.
  HttpServer(EventLoop* loop, const Endpoint& listen, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Endpoint& endpoint() const;

  /// Refuses connections from now on and resets those that are open.
  void Close();
  /// Closes the listener and the idle connections; the busy ones end after their answers.
  void CloseGracefully();
  /// Listens again at the same address after Close().
  void Reopen();
  /// While paused: connections come up, yet nothing is accepted, read or answered.
  void Pause();
  void Resume();
  /// Cuts off the clients at these IPv4 addresses, and no others; an empty set ends that.
  void CutOff(const std::set<std::string>& sources, CutMode mode);
  /// From now on nothing comes back from here, on open connections and on new ones, for good.
  void FallSilent();
  /// Connections above this many are reset.
  void LimitConnections(size_t most);
  /// Idle connections are closed after this.
  void SetIdleTimeout(Duration timeout);

  size_t connections() const;
  /// Accepted so far.
  uint64_t accepted() const;

 private:
  friend class ServerConnection;
  struct State;

  void Listen();
  void Accept();

  std::shared_ptr<State> state_;
};

}  // namespace ladderstream::fleet
