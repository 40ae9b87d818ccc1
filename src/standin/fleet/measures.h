// How well a fleet was run: what the product weighs against one another.
#pragma once

#include "standin/fleet/history.h"

namespace ladderstream::fleet {

struct Measures {
  /// Of the service where it is worst: how long its busiest back end worked, over the mean.
  double imbalance = 0;
  /// Keys that passed from one back end to another, as a share of all keys of a service, summed up.
  double churn = 0;
  /// The longest time that keys which had been held were held by nobody.
  Duration unavailable;
};

Measures Measure(const History& history);

}  // namespace ladderstream::fleet
