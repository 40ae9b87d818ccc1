// The words in which the stand-in reports.
#pragma once

#include <string>

#include "standin/fleet/judge.h"
#include "standin/fleet/measures.h"

namespace ladderstream::fleet {

/// A table of the classes, and the first few violations of each sort.
std::string VerdictTable(const Verdict& verdict);

/// "OK calls=... ..." or "FAILED calls=... ...".
std::string ResultLine(const Verdict& verdict);

/// The last line of a demo: "DEMO OK requests=... ..." or "DEMO FAILED requests=... ...".
std::string DemoLine(const Verdict& verdict, const Measures& measures);

}  // namespace ladderstream::fleet
