// What can be rehearsed.
#pragma once

#include <ostream>
#include <string>

#include "rehearsal/judge.h"
#include "rehearsal/rehearsal.h"

namespace ladderstream::rehearsal {

/// Under load: a hot key is moved, an owner killed and started again, a back end drained.
Verdict RunDemo(const RehearsalSettings& settings, std::ostream* out);

/// Under load: a schedule of faults drawn by `settings.seed`.
Verdict RunChaos(const RehearsalSettings& settings, std::ostream* out);

/// What a node adds to one request.
struct Overhead {
  absl::Duration direct_p50;
  absl::Duration direct_p99;
  absl::Duration routed_p50;
  absl::Duration routed_p99;
  uint64_t routed_requests = 0;
  double routed_rate = 0;
  /// Processor time of all nodes, user and system, per request served.
  absl::Duration processor_time_per_request;
};

/// Times the same requests sent straight to back ends and through nodes, in turns.
Overhead RunOverhead(const RehearsalSettings& settings, std::ostream* out);

/// One line with the figures.
std::string Describe(const Overhead& overhead);

}  // namespace ladderstream::rehearsal
