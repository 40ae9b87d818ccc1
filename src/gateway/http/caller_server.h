// Accepts the connections of callers, bounds their number, and acts on their time-outs.
#pragma once

#include <list>
#include <memory>

#include "core/catalog/catalog.h"
#include "gateway/http/caller_connection.h"
#include "gateway/http/data_path_settings.h"
#include "gateway/http/event_loop.h"

namespace ladderstream::gateway {

/// Takes the requests that callers send.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  /// See CallerConnectionOwner.
  virtual void OnRequest(const CallerConnectionPtr& connection, CallerRequest request) = 0;
  virtual void OnCallerGone(CallerConnection& connection) = 0;
  virtual void OnCallerGoneUnread(const CallerRequest& request) = 0;
  virtual void OnRefused(const ReadFault& fault) = 0;
  /// While draining: the last request that was read, in whole or in part, has been answered.
  virtual void OnQuiet() = 0;
};

class CallerServer : private CallerConnectionOwner {
 public:
  /// Listens at once; throws Error(kInvalidSetting) when it cannot. All must outlive the server.
  CallerServer(LoopResources& resources, const interfaces::HeaderNames& names,
               const CallerServerSettings& settings, RequestHandler& handler);
  ~CallerServer() override;

  Tcp::endpoint local_endpoint() const { return local_endpoint_; }
  size_t connection_count() const { return idle_.size() + busy_.size(); }
  /// Whether no request is being read, waits or is being answered.
  bool IsQuiet() const;

  void SetLimits(const catalog::Limits& limits) { limits_ = limits; }
  void StopAccepting();
  /// Closes idle connections, and the others after the answers they wait for.
  void BeginDrain();
  /// Acts on time-outs that are due.
  void Sweep(Time now);

 private:
  using Connections = std::list<CallerConnectionPtr>;

  void OnRequest(const CallerConnectionPtr& connection, CallerRequest request) override;
  void OnCallerGone(CallerConnection& connection) override;
  void OnCallerGoneUnread(const CallerRequest& request) override;
  void OnRefused(const ReadFault& fault) override;
  void OnStateChange(CallerConnection& connection) override;
  bool IsStopping() const override { return draining_; }

  void ArmAccept();
  void OnAccepted(const ErrorCode& error, Socket socket);
  /// Accepts what waits behind the connection that was just accepted.
  void AcceptMore();
  void Add(Socket socket);
  /// Calls `act` for every connection of `connections`, which may move or leave meanwhile.
  template <typename Act>
  static void ForEach(const Connections& connections, Act act);

  LoopResources& resources_;
  const interfaces::HeaderNames& names_;
  const CallerServerSettings settings_;
  RequestHandler& handler_;
  catalog::Limits limits_;
  Acceptor acceptor_;
  Tcp::endpoint local_endpoint_;
  bool accept_armed_ = false;
  bool draining_ = false;
  /// Between requests; the longest idle first.
  Connections idle_;
  Connections busy_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace ladderstream::gateway
