// Sends a repeatable request a second time when the first attempt takes long, and takes whichever
// answer comes first. The other attempt is cancelled.
#pragma once

#include <memory>

#include "core/routing/route_handle.h"
#include "daemon/http/worker_pool.h"

namespace ladderstream {

/// Applies to services that set `hedge_after_ms`. The second attempt draws on the retry budget.
class HedgeHandle : public routing::RouteHandle {
 public:
  /// The references must outlive the object.
  HedgeHandle(WorkerPool& workers, routing::RouteHandlePtr next);

  ForwardResponse Route(routing::RouteContext& context) override;

 private:
  struct Race;

  bool StartAttempt(const routing::RouteContext& context, const std::shared_ptr<Race>& race);
  ForwardResponse RunRace(routing::RouteContext& context, const std::shared_ptr<Race>& race);

  WorkerPool& workers_;
  const routing::RouteHandlePtr next_;
};

}  // namespace ladderstream
