// Gives route handles the newest table, and lets them wait for a newer one.
#pragma once

#include "core/routing/cancellation.h"
#include "core/routing/route_table.h"
#include "wire/time.h"

namespace ladderstream::routing {

/// Thread-safe.
class RoutingWatch {
 public:
  virtual ~RoutingWatch() = default;

  /// Never null.
  virtual RouteTablePtr Current() = 0;

  /// Waits until there is a table with other routes than `seen`, but no later than `until` and not
  /// once cancelled. Gives the newest.
  virtual RouteTablePtr WaitForChange(const RouteTablePtr& seen, Time until,
                                      const Cancellation& cancellation) = 0;
};

}  // namespace ladderstream::routing
