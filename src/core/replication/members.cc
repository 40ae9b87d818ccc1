#include "core/replication/members.h"

#include <algorithm>

namespace ladderstream::replication {
namespace {

const NodeDescriptor* Find(const std::vector<NodeDescriptor>& nodes, NodeId id) {
  const auto found = std::find_if(nodes.begin(), nodes.end(),
                                  [&](const NodeDescriptor& node) { return node.id == id; });
  return found == nodes.end() ? nullptr : &*found;
}

size_t CountMissing(const std::vector<NodeDescriptor>& nodes, const GroupMembers& from) {
  return std::count_if(nodes.begin(), nodes.end(),
                       [&](const NodeDescriptor& node) { return !IsVoter(from, node.id); });
}

}  // namespace

bool IsVoter(const GroupMembers& members, NodeId id) { return Find(members.voters, id) != nullptr; }

bool IsLearner(const GroupMembers& members, NodeId id) {
  return Find(members.learners, id) != nullptr;
}

const NodeDescriptor* FindMember(const GroupMembers& members, NodeId id) {
  const NodeDescriptor* voter = Find(members.voters, id);
  return voter != nullptr ? voter : Find(members.learners, id);
}

size_t MajorityOf(const GroupMembers& members) { return members.voters.size() / 2 + 1; }

size_t VotersChanged(const GroupMembers& before, const GroupMembers& after) {
  return CountMissing(before.voters, after) + CountMissing(after.voters, before);
}

}  // namespace ladderstream::replication
