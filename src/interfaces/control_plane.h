// What the rest of the daemon may ask of the thread that drives the Authority.
#pragma once

#include <absl/time/clock.h>

#include <algorithm>
#include <memory>

#include "core/authority/authority.h"

namespace ladderstream {

/// Thread-safe.
class ControlPlane {
 public:
  virtual ~ControlPlane() = default;

  /// The newest routing state; never null, cheap enough to call for each request.
  virtual std::shared_ptr<const authority::RoutingState> Routing() const = 0;

  /// Waits until the routing state is another than `known`, at most `timeout`; gives the newest.
  virtual std::shared_ptr<const authority::RoutingState> WaitForRoutingChange(
      const std::shared_ptr<const authority::RoutingState>& known, Duration timeout) const {
    // Implementations that can tell when the state changes override this; others are polled.
    constexpr Duration kPollInterval = absl::Milliseconds(10);
    const absl::Time give_up = absl::Now() + timeout;
    while (Routing() == known && absl::Now() < give_up) {
      absl::SleepFor(std::min(kPollInterval, give_up - absl::Now()));
    }
    return Routing();
  }

  /// Puts a command into the group's log, through the leader wherever it is. Waits at most
  /// `timeout`; gives kNoLeader or kPeerTimeout when it did not get an answer.
  virtual ProposalResult Propose(const Command& command, Duration timeout) = 0;

  /// Answers a back end's lease request.
  virtual LeaseResponse RequestLease(const LeaseRequest& request, Duration timeout) = 0;

  virtual authority::AuthorityStatus Status() const = 0;
};

using ControlPlanePtr = std::shared_ptr<ControlPlane>;

}  // namespace ladderstream
