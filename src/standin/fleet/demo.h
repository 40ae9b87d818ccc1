// A run of nodes against a fleet under load, with a fault now and then, and a running report.
#pragma once

#include <ostream>

#include "standin/fleet/deployments.h"
#include "standin/fleet/judge.h"
#include "standin/fleet/measures.h"

namespace ladderstream::fleet {

struct DemoSettings {
  Deployment deployment;
  std::string node_program;
  size_t nodes = 3;
  Duration length = absl::Seconds(20);
};

struct DemoResult {
  Verdict verdict;
  Measures measures;
};

/// Throws Error(kInternal) when the nodes do not come up.
DemoResult RunDemo(const DemoSettings& settings, std::ostream* out);

}  // namespace ladderstream::fleet
