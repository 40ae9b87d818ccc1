// The connections between nodes: messages out to addresses or back on the connection they came
// from, messages in.
//
// Single-threaded, on one event loop; nothing here blocks. One outgoing connection to each address
// carries everything sent there, and the answers back. Delivery is not promised.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/membership/member_table.h"
#include "core/store/back_off.h"
#include "gateway/http/event_loop.h"
#include "gateway/peer/peer_connection.h"
#include "gateway/peer/peer_settings.h"

namespace ladderstream::gateway {

struct PeerHandlers {
  /// `connection` is good for Destination::connection.
  std::function<void(uint64_t connection, membership::Message message)> on_message;
  /// `refused`: nobody listens at that address.
  std::function<void(const Endpoint& address, bool refused)> on_connect_failed;
  /// A connection that this node had opened has ended.
  std::function<void(const Endpoint& address, const std::string& reason)> on_connection_lost;
  /// A connection that another node had opened has ended.
  std::function<void(uint64_t connection)> on_incoming_closed = [](uint64_t) {};
};

class PeerTransport {
 public:
  /// `resources` outlive the event loop's last handler.
  PeerTransport(LoopResources* resources, const PeerSettings& settings, PeerHandlers handlers);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Begins to accept. Throws Error(kInvalidSetting) when the address cannot be had.
  void Start();
  /// Closes everything; no handler is called afterwards.
  void Stop();

  /// Sends `message` to each destination: on its connection while that is open, else to its
  /// address. Handlers are never called from inside.
  void Send(const std::vector<membership::Destination>& to, const membership::Message& message);

  /// The same to one destination. Returns false when the message is dropped at once.
  bool SendOne(const membership::Destination& to, const membership::Message& message);

  /// Where this node listens; tells the port chosen when the setting's is 0.
  Endpoint listen_address() const { return listen_address_; }
  const PeerTraffic& traffic() const { return *traffic_; }
  size_t connection_count() const { return connections_.size(); }

 private:
  struct Outgoing {
    explicit Outgoing(const store::BackOff& failure_back_off) : back_off(failure_back_off) {}

    /// 0 when there is none.
    uint64_t connection = 0;
    Time last_used;
    Time opened;
    Time not_before = absl::InfinitePast();
    store::BackOff back_off;
  };

  void AcceptNext();
  void OnAccepted(Socket socket);
  void SendTo(const membership::Destination& to, const FramePtr& frame, FrameRank rank);
  /// Closes an outgoing connection whose peer answers no reports.
  void CloseIfUnanswered(const Endpoint& address, uint64_t connection, Time now);
  void Connect(const Endpoint& address, Outgoing* outgoing);
  void OnConnected(const Endpoint& address, uint64_t connection, const ErrorCode& error);
  void OnClosed(uint64_t connection, const Endpoint& address, const std::string& reason);
  /// Closes the outgoing connection that was used least recently when there are too many, and
  /// forgets addresses without one, but not `wanted`.
  void MakeRoom(const Endpoint& wanted);
  PeerConnectionPtr Find(uint64_t connection) const;
  void StartConnection(uint64_t connection, const PeerConnectionPtr& peer, const Endpoint& address);

  LoopResources* resources_;
  /// Kept by the connections' last handlers too.
  std::shared_ptr<const PeerSettings> settings_;
  std::shared_ptr<PeerTraffic> traffic_;
  PeerHandlers handlers_;
  /// Expired once this transport is gone; handlers of timers and sockets check it first.
  std::shared_ptr<int> alive_;
  Endpoint listen_address_;
  std::unique_ptr<Acceptor> acceptor_;
  Timer accept_pause_;
  uint64_t last_connection_ = 0;
  std::map<uint64_t, PeerConnectionPtr> connections_;
  std::map<Endpoint, Outgoing> outgoing_;
};

}  // namespace ladderstream::gateway
