// Sends attempts to back ends through other nodes. The near side; the far one is RequestCarrier.
//
// Single-threaded, on the event loop. Has connections of its own to the peers, opened when first
// needed, so that bodies do not hold up reports and heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/membership/messages.h"
#include "gateway/http/peer_exchanges.h"
#include "gateway/peer/peer_transport.h"
#include "observability/node_metrics.h"

namespace ladderstream::gateway {

class RequestRelay : public PeerExchanges {
 public:
  /// Both must outlive the relay. `seed`: of the jitter in back-offs.
  RequestRelay(LoopResources* resources, observability::NodeMetrics* metrics, uint64_t seed);
  ~RequestRelay() override;

  /// Sets the nodes that may be asked, this one excluded.
  void SetPeers(const std::vector<membership::PeerIdentity>& peers);

  // PeerExchanges
  bool Start(const forwarding::SendDecision& send, bool repeatable, const CallerRequestPtr& request,
             ExchangeListener* listener) override;
  void Cancel(forwarding::AttemptHandle attempt) override;

 private:
  struct Pending {
    Endpoint peer;
    ExchangeListener* listener = nullptr;
  };

  void OnMessage(membership::Message message);
  /// Fails all attempts at this peer.
  void FailAll(const Endpoint& peer, forwarding::AttemptFailure failure, const std::string& cause);
  void Fail(forwarding::AttemptHandle attempt, const Pending& pending,
            forwarding::AttemptFailure failure, std::string_view cause);

  LoopResources* const resources_;
  observability::NodeMetrics* const metrics_;
  PeerTransport transport_;
  std::unordered_map<uint64_t, Endpoint> addresses_;
  std::unordered_map<forwarding::AttemptHandle, Pending> pending_;
};

}  // namespace ladderstream::gateway
