// The node's end of the protocol between nodes: calls and messages to others, and a server that
// hands on what others send. One event thread does all input and output.
//
// Calls of this class carry correlations with the top bit set; those of the authority have it
// clear, so that an answer finds whoever asked.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "core/authority/authority.h"
#include "daemon/peer/peer_link.h"
#include "daemon/peer/traffic.h"
#include "interfaces/peer_channel.h"

namespace ladderstream::peer {

struct TransportSettings {
  NodeId self;
  /// Port 0 takes any free one. Connections to other nodes come from the same IP number.
  Endpoint listen;
  LinkTiming timing;
  /// Connections accepted from other nodes; further ones are closed at once.
  uint32_t max_inbound_connections = 4096;
};

/// Who takes what arrives. Called on the event thread: must not block.
struct Handlers {
  /// Everything but forwarding.
  std::function<void(authority::MessageArrived message)> on_control;
  /// `respond` may be called once, from any thread.
  std::function<void(ForwardRequest request, std::function<void(const ForwardResponse&)> respond)>
      on_forward;
  std::function<void(ForwardCancel cancel)> on_cancel;
};

class PeerTransport : public PeerChannel {
 public:
  /// Binds at once; serves after Start. Throws Error(kInvalidSetting) when the address can't be
  /// bound.
  explicit PeerTransport(const TransportSettings& settings);
  ~PeerTransport() override;

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Where it listens.
  Endpoint endpoint() const;

  /// Begins to accept and to send. Called once.
  void Start(Handlers handlers);

  /// Closes everything; calls under way fail. No handler runs afterwards. Thread-safe, not from a
  /// handler.
  void Stop();

  PeerBody Call(const NodeDescriptor& to, const PeerBody& body, Duration timeout) override;
  void Send(const NodeDescriptor& to, const PeerBody& body) override;

  /// Sends for the authority. An answer goes back over the connection that the node last used
  /// towards this one, so that it also reaches a node known by its id alone.
  void SendControl(const NodeDescriptor& to, uint64_t correlation, bool is_response,
                   const PeerBody& body);

  const Traffic& traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::peer
