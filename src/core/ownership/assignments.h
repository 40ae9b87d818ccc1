// Operations on the committed assignment of one service.
#pragma once

#include <string>

#include "core/ownership/ownership_map.h"

namespace ladderstream::ownership {

/// The whole key space, owned by nobody.
Assignments Unowned();

/// Gives `range` to `owner` under `fence`, cutting what it overlaps; neighbours that agree in owner
/// and fence become one. `assignments` covers the whole key space.
void AssignRange(const KeyRange& range, const std::string& owner, Fence fence,
                 Assignments* assignments);

/// Adds `assignment`, which begins behind the last one; extends the last one if both agree in owner
/// and fence.
void AppendCoalesced(const Assignment& assignment, Assignments* assignments);

/// Whether `assignments` is sorted and covers the whole key space without gaps or overlaps.
bool CoversAllKeys(const Assignments& assignments);

}  // namespace ladderstream::ownership
