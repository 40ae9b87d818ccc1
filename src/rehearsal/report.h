// The words in which a rehearsal reports.
#pragma once

#include <absl/time/time.h>

#include <string>

#include "rehearsal/judge.h"
#include "rehearsal/load_generator.h"

namespace ladderstream::rehearsal {

/// One line of the running report.
std::string ProgressLine(absl::Duration since_start, absl::Duration period,
                         const LoadProgress& progress);

/// A table of the services and the first few violations of each sort.
std::string VerdictTable(const Verdict& verdict);

/// The last line: "NAME OK requests=... ..." or "NAME FAILED requests=... ...".
std::string ResultLine(const std::string& name, const Verdict& verdict);

}  // namespace ladderstream::rehearsal
