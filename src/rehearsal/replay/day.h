// Makes the trace of a deployment's day, compressed: morning rise, hot keys that change, an evening
// fall, and a night in which things fail and nobody is awake.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

#include "rehearsal/deployment_spec.h"
#include "rehearsal/trace.h"

namespace ladderstream::rehearsal {

struct DaySettings {
  uint64_t seed = 1;
  absl::Duration length = absl::Seconds(72);
  /// Requests per second at noon; the night sees a tenth.
  double peak_rate = 200;
};

Trace MakeDay(const DeploymentSpec& deployment, const DaySettings& settings);

}  // namespace ladderstream::rehearsal
