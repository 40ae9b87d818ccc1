// Takes an attempt to its back end's home: this node's own gate, or another node.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "core/routing/route_handle.h"
#include "core/routing/routing_watch.h"
#include "daemon/router/attempt_registry.h"
#include "daemon/router/gate_registry.h"
#include "interfaces/peer_channel.h"

namespace ladderstream {

/// Thread-safe.
class AttemptRouter : public routing::AttemptSender {
 public:
  /// The references must outlive the object.
  AttemptRouter(NodeId self, PeerChannelPtr peers, const TimeSource& time, GateRegistry& gates);

  ForwardResponse Send(const NodeDescriptor& home, routing::RouteContext& context) override;

  /// Runs an attempt that another node sent here.
  ForwardResponse RunForwarded(const routing::RouteTable& table, const ForwardRequest& request);
  void CancelForwarded(const std::string& request_id) { forwarded_.Cancel(request_id); }

 private:
  std::string NextRequestId();
  ForwardResponse RunHere(const routing::RouteTable& table, const ForwardRequest& request,
                          Time deadline, routing::Cancellation& cancellation);
  ForwardResponse SendToPeer(const NodeDescriptor& home, routing::RouteContext& context);

  const NodeId self_;
  const PeerChannelPtr peers_;
  const TimeSource& time_;
  GateRegistry& gates_;
  AttemptRegistry forwarded_;
  std::atomic<uint64_t> next_request_{0};
};

}  // namespace ladderstream
