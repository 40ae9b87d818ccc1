// One safe step at a time towards odd, spread, living voters.
#include "core/authority/group_membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace ladderstream::authority {
namespace {

NodeDescriptor Node(uint64_t id, const std::string& zone) {
  NodeDescriptor node;
  node.id = NodeId(id);
  node.zone = zone;
  return node;
}

struct Fixture {
  Fixture() {
    input.leader = NodeId(1);
    input.members.voters = {Node(1, "a"), Node(2, "b"), Node(3, "c")};
    for (const NodeDescriptor& voter : input.members.voters) {
      input.nodes.push_back({voter, true, false, true});
    }
  }

  MemberCandidate& Add(const NodeDescriptor& node, bool learner) {
    if (learner) {
      input.members.learners.push_back(node);
    }
    input.nodes.push_back({node, true, false, true});
    return input.nodes.back();
  }

  /// Takes steps until none is wanted; every step changes one voter at most.
  void Settle() {
    for (int step = 0; step < 20; ++step) {
      const auto next = NextMembers(input);
      if (!next) {
        return;
      }
      const auto before = input.members.voters.size();
      const auto after = next->voters.size();
      BOOST_TEST(std::max(before, after) - std::min(before, after) <= 1U);
      input.members = *next;
    }
    BOOST_TEST(false, "does not settle");
  }

  bool Votes(uint64_t id) const {
    const auto& voters = input.members.voters;
    return std::any_of(voters.begin(), voters.end(),
                       [id](const NodeDescriptor& voter) { return voter.id == NodeId(id); });
  }

  MembershipInput input;
};

BOOST_FIXTURE_TEST_SUITE(group_membership, Fixture)

BOOST_AUTO_TEST_CASE(complete_group_stays) { BOOST_TEST(!NextMembers(input).has_value()); }

BOOST_AUTO_TEST_CASE(lost_voter_stays_until_a_learner_has_caught_up) {
  input.nodes[2].live = false;
  BOOST_TEST(!NextMembers(input).has_value());
  Add(Node(4, "c"), true).caught_up = false;
  Settle();
  BOOST_TEST(Votes(3));
  input.nodes.back().caught_up = true;
  Settle();
  BOOST_TEST(!Votes(3));
  BOOST_TEST(Votes(4));
  BOOST_TEST(input.members.voters.size() == 3U);
}

BOOST_AUTO_TEST_CASE(leader_never_removes_itself) {
  input.nodes[0].leaving = true;
  Add(Node(4, "a"), true);
  Settle();
  BOOST_TEST(Votes(1));
}

BOOST_AUTO_TEST_CASE(leaving_voter_goes_without_replacement) {
  input.nodes[1].leaving = true;
  Settle();
  BOOST_TEST(!Votes(2));
}

BOOST_AUTO_TEST_CASE(voters_spread_over_zones) {
  input.members.voters[2].zone = "b";
  input.nodes[2].node.zone = "b";
  Add(Node(4, "c"), false);
  Settle();
  BOOST_TEST(Votes(4));
  BOOST_TEST(input.members.voters.size() == 3U);
  BOOST_TEST(Votes(1));
}

BOOST_AUTO_TEST_CASE(lone_voter_grows_to_three) {
  input.members.voters = {Node(1, "a")};
  Settle();
  BOOST_TEST(input.members.voters.size() == 3U);
}

BOOST_AUTO_TEST_CASE(founders_are_spread_and_odd) {
  const auto chosen = SpreadOverZones({Node(1, "a"), Node(2, "a"), Node(3, "b"), Node(4, "c")}, 3);
  BOOST_TEST((chosen == std::vector{Node(1, "a"), Node(3, "b"), Node(4, "c")}));
  BOOST_TEST(OddCount(2, 3) == 1U);
  BOOST_TEST(OddCount(9, 5) == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::authority
