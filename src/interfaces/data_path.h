// What the rest of the daemon may ask of the data path.
#pragma once

#include <memory>
#include <string>

#include "core/authority/authority.h"
#include "wire/peer_message.h"

namespace ladderstream {

/// Thread-safe.
class DataPath {
 public:
  virtual ~DataPath() = default;

  /// Runs one attempt at a back end whose home is this node: waits in the back end's queue for a
  /// slot, no longer than the deadline allows, and gives the back end's whole answer or a refusal.
  virtual ForwardResponse RunAttempt(const ForwardRequest& request) = 0;

  /// The attempt's caller has gone.
  virtual void CancelAttempt(const std::string& request_id) = 0;

  /// What was seen since the last call, for the authority.
  virtual authority::LoadObserved TakeLoad() = 0;

  /// Refuses new requests with kShuttingDown; returns when none is in flight or `timeout` has
  /// passed.
  virtual void Drain(Duration timeout) = 0;
};

using DataPathPtr = std::shared_ptr<DataPath>;

}  // namespace ladderstream
