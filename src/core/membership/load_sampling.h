// Keeps reports short where many nodes send them: a sample of the counts instead of all of them.
#pragma once

#include <cstddef>

#include "core/membership/messages.h"

namespace ladderstream::membership {

/// Leaves at most `most` keys and `most` back ends in `load`. Keys are drawn in proportion to their
/// counts, which add up to the same sum as before; so a key that has much of the load stays.
/// `draw`, in [0, 1), decides which.
void SampleLoad(size_t max_count, double draw, LoadReport* load);

}  // namespace ladderstream::membership
