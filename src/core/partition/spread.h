// How to share out load over the back ends that have most room for it.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/partition/fleet.h"

namespace ladderstream::partition {

struct SpreadRequest {
  /// The back end that sheds; without one, the load has no owner now.
  std::optional<size_t> source;
  /// At most this much is shared out, in requests per second; all of it without a source.
  double amount = 0;
  size_t max_parts = 1;
  /// What each part costs, in late answers per second.
  double price_per_part = 0;
};

/// Load for one back end.
struct Part {
  size_t member = 0;
  double load = 0;
};

struct Spread {
  /// Empty when nothing is worth moving.
  std::vector<Part> parts;
  /// Late answers per second that are avoided.
  double gain = 0;
  /// The sum of the parts.
  double amount = 0;
};

/// What `part` would bring if it came from nowhere: below zero, unless it is empty.
double GainOf(const std::vector<Member>& members, const std::vector<double>& loads,
              const Part& part);

/// Chooses how many back ends share and what each takes, so that the pressure of all that take
/// part is level. `loads` holds the load of each member, which may be a cautious estimate.
Spread PlanSpread(const std::vector<Member>& members, const std::vector<double>& loads,
                  const SpreadRequest& request);

}  // namespace ladderstream::partition
