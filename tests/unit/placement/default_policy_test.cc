// What the default policy promises for any weights.
#include <boost/test/unit_test.hpp>

#include "core/placement/policy.h"
#include "scenario.h"

namespace ladderstream::placement {
namespace {

BOOST_AUTO_TEST_SUITE(DefaultPolicy)

BOOST_AUTO_TEST_CASE(AssignsEveryFreeShardAtOnceAndEvenly) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, false);
  const PlacementPlan plan = MakeDefaultPolicy()->Decide(input);
  BOOST_TEST(plan.assignments.size() == 64U);
  Apply(plan, input);
  BOOST_TEST(Imbalance(input) == 1.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(SpreadsIdleShardsByNumber) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 0, false);
  Apply(MakeDefaultPolicy()->Decide(input), input);
  std::map<BackendId, int> counts;
  for (const ShardView& shard : input.shards) {
    ++counts[shard.owner];
  }
  for (const BackendView& backend : input.backends) {
    BOOST_TEST(counts[backend.id] == 16);
  }
}

BOOST_AUTO_TEST_CASE(GivesNothingToLostOrDrainingBackends) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, false);
  input.backends[1].live = false;
  input.backends[2].draining = true;
  Apply(MakeDefaultPolicy()->Decide(input), input);
  BOOST_TEST(Loads(input)[TestBackend(1)] == 0);
  BOOST_TEST(Loads(input)[TestBackend(2)] == 0);
}

BOOST_AUTO_TEST_CASE(AssignsNothingWithoutATaker) {
  PlacementInput input = TestInput(1);
  AddRanges(input, 4, 10, false);
  input.backends[0].live = false;
  BOOST_TEST(MakeDefaultPolicy()->Decide(input).assignments.empty());
}

BOOST_AUTO_TEST_CASE(LeavesShardsThatAreBeingMovedAlone) {
  PlacementInput input = TestInput(2);
  AddRanges(input, 4, 10, false);
  input.shards[0].movable = false;
  BOOST_TEST(MakeDefaultPolicy()->Decide(input).assignments.size() == 3U);
}

BOOST_AUTO_TEST_CASE(EmptiesADrainingBackend) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, true);
  input.backends[0].draining = true;
  auto policy = MakeDefaultPolicy();
  Apply(policy->Decide(input), input);
  BOOST_TEST(Loads(input)[TestBackend(0)] == 0);
}

BOOST_AUTO_TEST_CASE(GivesAColdBackendLess) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 130, 10, false);
  input.backends[3].age = absl::ZeroDuration();
  Apply(MakeDefaultPolicy()->Decide(input), input);
  auto loads = Loads(input);
  BOOST_TEST(loads[TestBackend(3)] < 0.4 * loads[TestBackend(0)]);
  BOOST_TEST(loads[TestBackend(3)] > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::placement
