// Simple policies that the product's own is compared with. The benches run them; the daemon does
// not.
#pragma once

#include "core/placement/policy.h"

namespace ladderstream::placement {

/// Each range belongs to the back end that a rendezvous hash ranks first among those that are live
/// and not draining. Load is ignored.
PlacementPolicyPtr MakeStaticHashPolicy();

/// Consistent hashing with bounded loads: each range goes to the first back end in its own hashed
/// order that has room below `bound` times the fair load. Decides every `period`.
PlacementPolicyPtr MakeBoundedLoadPolicy(double bound, Duration period);

/// Moves ranges from the most to the least loaded back end as long as this lowers the peak. Knows
/// no costs. Decides every `period`. With `split_hot_keys` it splits hot keys as the default policy
/// does.
PlacementPolicyPtr MakeGreedyPolicy(Duration period, bool split_hot_keys);

}  // namespace ladderstream::placement
