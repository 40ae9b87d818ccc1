// Bounds the size of load reports where many nodes send them, by sampling the counts.
#pragma once

#include <cstddef>

#include "core/membership/messages.h"

namespace ladderstream::membership {

/// Reduces `load` to at most `max_count` keys and `max_count` back ends. Keys are drawn in
/// proportion to their counts and the sum of the counts is preserved, so a key with a large share
/// of the load is kept. `draw`, a random number in [0, 1), selects the sample.
void SampleLoad(size_t max_count, double draw, LoadReport* load);

}  // namespace ladderstream::membership
