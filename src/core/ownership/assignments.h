// Operations on the committed assignment of one service.
#pragma once

#include <string>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

/// Adds `assignment`, which begins behind the last one; extends the last one if both agree in owner
/// and fence.
void AppendCoalesced(const Assignment& assignment, Assignments* assignments);

/// Whether `assignments` is sorted and covers the whole key space without gaps or overlaps.
bool CoversAllKeys(const Assignments& assignments);

}  // namespace ladderstream::ownership
