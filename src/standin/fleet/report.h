// The words in which the stand-in reports.
#pragma once

#include <string>

#include "standin/fleet/judge.h"

namespace ladderstream::fleet {

/// A table of the classes, and the first few violations of each sort.
std::string VerdictTable(const Verdict& verdict);

/// "OK calls=... ..." or "FAILED calls=... ...".
std::string ResultLine(const Verdict& verdict);

}  // namespace ladderstream::fleet
