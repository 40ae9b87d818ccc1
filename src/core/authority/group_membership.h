// Which nodes vote: the next safe step from the present members to the wanted ones.
//
// A step adds, removes or promotes one node, and is taken only when the earlier one has committed.
// No state of its own.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "wire/replication.h"

namespace ladderstream::authority {

/// A node as membership sees it.
struct MemberCandidate {
  NodeDescriptor node;
  bool live = false;
  bool leaving = false;
  /// Its log is close enough to the leader's for it to vote.
  bool caught_up = false;
};

struct MembershipInput {
  GroupMembers members;
  /// Every member and every other node that reports.
  std::vector<MemberCandidate> nodes;
  NodeId leader;
  uint32_t voter_count = 3;
};

/// Gives the members after the next step; nothing when none is wanted.
std::optional<GroupMembers> NextMembers(const MembershipInput& input);

/// Picks `count` of `nodes` so that as many zones as possible are among them; earlier nodes first.
std::vector<NodeDescriptor> SpreadOverZones(const std::vector<NodeDescriptor>& nodes, size_t count);

/// The largest odd number that is at most `available` and `wanted`; one at least.
uint32_t OddCount(size_t available, uint32_t wanted);

}  // namespace ladderstream::authority
