// Small questions about a group's members.
#pragma once

#include <cstddef>

#include "wire/replication.h"

namespace ladderstream::replication {

bool IsVoter(const GroupMembers& members, NodeId id);
bool IsLearner(const GroupMembers& members, NodeId id);

/// Gives the member's descriptor, or nullptr.
const NodeDescriptor* FindMember(const GroupMembers& members, NodeId id);

/// How many voters are a majority.
size_t MajorityOf(const GroupMembers& members);

/// How many voters are in one of both and not in the other.
size_t VotersChanged(const GroupMembers& before, const GroupMembers& after);

}  // namespace ladderstream::replication
