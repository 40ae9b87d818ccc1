// Operations on the committed assignment of one service.
#pragma once

#include <string>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

/// Appends `assignment`, which must begin after the last one, or extends the last one if owner and
/// fence are equal.
void AppendCoalesced(const Assignment& assignment, Assignments* assignments);

/// Returns whether `assignments` is sorted and covers the full key space without gaps or overlaps.
bool CoversAllKeys(const Assignments& assignments);

}  // namespace ladderstream::ownership
