#include "core/authority/group_membership.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace ladderstream::authority {
namespace {

/// Learners kept beside those about to vote, so that a lost voter is replaced at once.
constexpr size_t kSpareLearners = 1;

bool Contains(const std::vector<NodeDescriptor>& nodes, NodeId id) {
  return std::any_of(nodes.begin(), nodes.end(),
                     [id](const NodeDescriptor& node) { return node.id == id; });
}

void Remove(std::vector<NodeDescriptor>& nodes, NodeId id) {
  std::erase_if(nodes, [id](const NodeDescriptor& node) { return node.id == id; });
}

/// Works out one step; each method gives it if it is the one due.
class Step {
 public:
  explicit Step(const MembershipInput& input) : input_(input) {
    for (const MemberCandidate& node : input.nodes) {
      by_id_[node.node.id] = &node;
    }
    const auto usable = std::count_if(input.nodes.begin(), input.nodes.end(),
                                      [](const MemberCandidate& node) { return IsUsable(node); });
    target_ = OddCount(static_cast<size_t>(usable), input.voter_count);
    // Members that are silent now may come back: a group does not shrink because of them.
    const size_t voters = input.members.voters.size();
    target_ = std::max(target_, OddCount(voters, input.voter_count));
  }

  std::optional<GroupMembers> Next() const {
    for (const auto rule : {&Step::RemoveLostLearner, &Step::RemoveLostVoter,
                            &Step::RemoveSurplusVoter, &Step::PromoteLearner, &Step::AddLearner}) {
      if (auto step = (this->*rule)()) {
        return step;
      }
    }
    return std::nullopt;
  }

 private:
  static bool IsUsable(const MemberCandidate& node) { return node.live && !node.leaving; }

  bool IsUsable(NodeId id) const {
    const auto found = by_id_.find(id);
    return found != by_id_.end() && IsUsable(*found->second);
  }

  bool IsLeaving(NodeId id) const {
    const auto found = by_id_.find(id);
    return found != by_id_.end() && found->second->leaving;
  }

  size_t UsableVoters() const {
    const auto& voters = input_.members.voters;
    return static_cast<size_t>(
        std::count_if(voters.begin(), voters.end(),
                      [this](const NodeDescriptor& voter) { return IsUsable(voter.id); }));
  }

  size_t VotersIn(const std::string& zone) const {
    const auto& voters = input_.members.voters;
    return static_cast<size_t>(std::count_if(
        voters.begin(), voters.end(),
        [&](const NodeDescriptor& node) { return node.zone == zone && IsUsable(node.id); }));
  }

  std::optional<GroupMembers> RemoveLostLearner() const {
    for (const NodeDescriptor& learner : input_.members.learners) {
      if (!IsUsable(learner.id)) {
        GroupMembers next = input_.members;
        Remove(next.learners, learner.id);
        return next;
      }
    }
    return std::nullopt;
  }

  /// A lost voter goes once a learner can take its place. A leaving one goes also without a
  /// replacement, as long as another voter stays.
  std::optional<GroupMembers> RemoveLostVoter() const {
    const auto& voters = input_.members.voters;
    const bool can_replace = PickLearner() != nullptr;
    for (const NodeDescriptor& voter : voters) {
      if (IsUsable(voter.id) || voter.id == input_.leader || voters.size() == 1) {
        continue;
      }
      if (can_replace || IsLeaving(voter.id)) {
        GroupMembers next = input_.members;
        Remove(next.voters, voter.id);
        return next;
      }
    }
    return std::nullopt;
  }

  /// More voters than wanted: the most crowded zone gives one up, the leader last.
  std::optional<GroupMembers> RemoveSurplusVoter() const {
    const auto& voters = input_.members.voters;
    if (UsableVoters() <= target_) {
      return std::nullopt;
    }
    const NodeDescriptor* chosen = nullptr;
    for (const NodeDescriptor& voter : voters) {
      const bool better = chosen == nullptr || VotersIn(voter.zone) > VotersIn(chosen->zone);
      if (voter.id != input_.leader && IsUsable(voter.id) && better) {
        chosen = &voter;
      }
    }
    if (chosen == nullptr) {
      return std::nullopt;
    }
    GroupMembers next = input_.members;
    Remove(next.voters, chosen->id);
    return next;
  }

  const MemberCandidate* PickLearner() const {
    const MemberCandidate* best = nullptr;
    for (const NodeDescriptor& learner : input_.members.learners) {
      const auto found = by_id_.find(learner.id);
      if (found == by_id_.end() || !IsUsable(*found->second) || !found->second->caught_up) {
        continue;
      }
      const bool better = best == nullptr || VotersIn(learner.zone) < VotersIn(best->node.zone);
      best = better ? found->second : best;
    }
    return best;
  }

  /// Whether a voter more in `zone` lets a crowded zone give one up.
  bool ImprovesSpread(const std::string& zone) const {
    const auto& voters = input_.members.voters;
    return VotersIn(zone) == 0 &&
           std::any_of(voters.begin(), voters.end(),
                       [this](const NodeDescriptor& voter) { return VotersIn(voter.zone) > 1; });
  }

  std::optional<GroupMembers> PromoteLearner() const {
    const MemberCandidate* const learner = PickLearner();
    if (learner == nullptr) {
      return std::nullopt;
    }
    const bool wanted = UsableVoters() < target_ || ImprovesSpread(learner->node.zone);
    if (!wanted) {
      return std::nullopt;
    }
    GroupMembers next = input_.members;
    Remove(next.learners, learner->node.id);
    next.voters.push_back(learner->node);
    return next;
  }

  std::optional<GroupMembers> AddLearner() const {
    const auto& voters = input_.members.voters;
    const size_t missing = target_ > UsableVoters() ? target_ - UsableVoters() : 0;
    if (input_.members.learners.size() >= missing + kSpareLearners) {
      return std::nullopt;
    }
    const MemberCandidate* best = nullptr;
    for (const MemberCandidate& node : input_.nodes) {
      const bool member =
          Contains(voters, node.node.id) || Contains(input_.members.learners, node.node.id);
      if (member || !IsUsable(node)) {
        continue;
      }
      const bool better = best == nullptr || VotersIn(node.node.zone) < VotersIn(best->node.zone);
      best = better ? &node : best;
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    GroupMembers next = input_.members;
    next.learners.push_back(best->node);
    return next;
  }

  const MembershipInput& input_;
  std::map<NodeId, const MemberCandidate*> by_id_;
  uint32_t target_ = 1;
};

}  // namespace

std::optional<GroupMembers> NextMembers(const MembershipInput& input) { return Step(input).Next(); }

std::vector<NodeDescriptor> SpreadOverZones(const std::vector<NodeDescriptor>& nodes,
                                            size_t count) {
  std::vector<NodeDescriptor> chosen;
  std::vector<NodeDescriptor> left = nodes;
  while (chosen.size() < count && !left.empty()) {
    std::set<std::string> zones;
    for (auto node = left.begin(); node != left.end() && chosen.size() < count;) {
      const bool new_zone = zones.insert(node->zone).second;
      if (new_zone) {
        chosen.push_back(*node);
        node = left.erase(node);
      } else {
        ++node;
      }
    }
  }
  return chosen;
}

uint32_t OddCount(size_t available, uint32_t wanted) {
  const auto count = static_cast<uint32_t>(std::min<size_t>(available, wanted));
  if (count == 0) {
    return 1;
  }
  return count % 2 == 1 ? count : count - 1;
}

}  // namespace ladderstream::authority
