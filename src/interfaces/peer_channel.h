// Calls between nodes, as the data path and the control plane use them.
#pragma once

#include <memory>

#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream {

/// Thread-safe. Connections are shared, kept and reopened behind it.
class PeerChannel {
 public:
  virtual ~PeerChannel() = default;

  /// Sends `body` and waits for the answer. Throws Error: kNodeUnreachable when the message surely
  /// did not leave; kPeerTimeout or kNodeLost when it may have arrived.
  virtual PeerBody Call(const NodeDescriptor& to, const PeerBody& body, Duration timeout) = 0;

  /// Sends `body` without waiting for an answer; may be lost.
  virtual void Send(const NodeDescriptor& to, const PeerBody& body) = 0;
};

using PeerChannelPtr = std::shared_ptr<PeerChannel>;

}  // namespace ladderstream
