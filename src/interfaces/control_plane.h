// What the rest of the daemon may ask of the thread that drives the Authority.
#pragma once

#include <memory>

#include "core/authority/authority.h"

namespace ladderstream {

/// Thread-safe.
class ControlPlane {
 public:
  virtual ~ControlPlane() = default;

  /// The newest routing state; never null, cheap enough to call for each request.
  virtual std::shared_ptr<const authority::RoutingState> Routing() const = 0;

  /// Puts a command into the group's log, through the leader wherever it is. Waits at most
  /// `timeout`; gives kNoLeader or kPeerTimeout when it did not get an answer.
  virtual ProposalResult Propose(const Command& command, Duration timeout) = 0;

  /// Answers a back end's lease request.
  virtual LeaseResponse RequestLease(const LeaseRequest& request, Duration timeout) = 0;

  virtual authority::AuthorityStatus Status() const = 0;
};

using ControlPlanePtr = std::shared_ptr<ControlPlane>;

}  // namespace ladderstream
