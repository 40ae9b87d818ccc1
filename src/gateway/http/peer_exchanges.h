// Attempts that go to a back end through another node.
#pragma once

#include "core/forwarding/dispatcher.h"
#include "gateway/http/backend_connection.h"

namespace ladderstream::gateway {

class PeerExchanges {
 public:
  virtual ~PeerExchanges() = default;

  /// Hands the request to `send.peer`. Returns false when nothing was handed over; otherwise
  /// `listener` hears the outcome later, from the event loop.
  virtual bool Start(const forwarding::SendDecision& send, bool repeatable,
                     const CallerRequestPtr& request, ExchangeListener* listener) = 0;
  /// Nothing more is heard of the attempt. The peer is told.
  virtual void Cancel(forwarding::AttemptHandle attempt) = 0;
};

}  // namespace ladderstream::gateway
