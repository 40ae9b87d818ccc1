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

/// Four back ends of which the first carries twice its share.
PlacementInput LopsidedInput() {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, true);
  for (ShardView& shard : input.shards) {
    shard.rate = shard.owner == TestBackend(0) ? 20 : 10;
  }
  return input;
}

/// Lets the policy decide every second; gives the number of moves.
size_t Run(PlacementPolicy& policy, PlacementInput& input, int seconds) {
  size_t moves = 0;
  for (int i = 0; i < seconds; ++i) {
    const PlacementPlan plan = policy.Decide(input);
    moves += plan.moves.size();
    Apply(plan, input);
    input.now += absl::Seconds(1);
  }
  return moves;
}

BOOST_AUTO_TEST_CASE(WaitsUntilAnImbalanceHasPersisted) {
  PlacementInput input = LopsidedInput();
  auto policy = MakeDefaultPolicy();
  BOOST_TEST(Run(*policy, input, 3) == 0U);
  BOOST_TEST(Run(*policy, input, 1) > 0U);
}

BOOST_AUTO_TEST_CASE(EvensOutALastingImbalanceAndThenRests) {
  PlacementInput input = LopsidedInput();
  auto policy = MakeDefaultPolicy();
  Run(*policy, input, 120);
  BOOST_TEST(Imbalance(input) < 1.2);
  BOOST_TEST(Run(*policy, input, 600) == 0U);
}

BOOST_AUTO_TEST_CASE(MovesFewerRangesWhenChurnWeighsMore) {
  PlacementInput even = LopsidedInput();
  PlacementInput costly = LopsidedInput();
  costly.service.weights.churn = 20;
  auto even_policy = MakeDefaultPolicy();
  auto costly_policy = MakeDefaultPolicy();
  BOOST_TEST(Run(*costly_policy, costly, 120) < Run(*even_policy, even, 120));
}

BOOST_AUTO_TEST_CASE(StaysWithinTheBudgetOfAMinute) {
  PlacementInput input = TestInput(10);
  AddRanges(input, 200, 10, true);
  for (ShardView& shard : input.shards) {
    shard.owner = TestBackend(0);
  }
  auto policy = MakeDefaultPolicy();
  // A tenth of 200 shards at once, and as many again as the minute passes.
  BOOST_TEST(Run(*policy, input, 60) <= 40U);
}

BOOST_AUTO_TEST_CASE(KeepsFewShardsOnTheMoveAtOnce) {
  PlacementInput input = LopsidedInput();
  auto policy = MakeDefaultPolicy();
  for (int i = 0; i < 10; ++i) {
    input.now += absl::Seconds(1);
    const PlacementPlan plan = policy->Decide(input);
    for (ShardView& shard : input.shards) {
      for (const auto& item : plan.moves) {
        shard.movable = shard.movable && shard.shard != item.shard;
      }
    }
  }
  const auto moving = std::count_if(input.shards.begin(), input.shards.end(),
                                    [](const ShardView& shard) { return !shard.movable; });
  BOOST_TEST(moving > 0);
  BOOST_TEST(moving <= 3);
}

ShardId HotKey(const PlacementInput& input, size_t range) {
  ShardId shard = input.shards[range].shard;
  shard.key = "scripts-hot";
  return shard;
}

BOOST_AUTO_TEST_CASE(SplitsAHotKey) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, true);
  input.shards[0].rate += 60;
  input.hot_keys.push_back({HotKey(input, 0), 60});
  input.hot_keys.push_back({HotKey(input, 1), 2});
  const PlacementPlan plan = MakeDefaultPolicy()->Decide(input);
  BOOST_TEST_REQUIRE(plan.splits.size() == 1U);
  BOOST_TEST((plan.splits[0] == HotKey(input, 0)));
}

BOOST_AUTO_TEST_CASE(MovesAHotKeyRatherThanRangesWhenChurnWeighsMost) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, true);
  // Both hot keys lie with the first back end, which carries 1.47 of its share.
  input.shards.push_back({HotKey(input, 0), TestBackend(0), 60, true});
  input.shards.push_back({HotKey(input, 4), TestBackend(0), 60, true});
  input.service.weights.churn = 10;
  auto policy = MakeDefaultPolicy();
  BOOST_TEST(Run(*policy, input, 60) == 1U);
  BOOST_TEST(Imbalance(input) < 1.2);
  BOOST_TEST((input.shards[64].owner != input.shards[65].owner));
}

BOOST_AUTO_TEST_CASE(BringsAColdKeyHomeAndMergesIt) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, true);
  input.shards.push_back({HotKey(input, 0), TestBackend(2), 0.1, true});
  auto policy = MakeDefaultPolicy();
  Run(*policy, input, 119);
  BOOST_TEST((input.shards.back().owner == TestBackend(2)));
  Run(*policy, input, 3);
  BOOST_TEST((input.shards.back().owner == TestBackend(0)));
  BOOST_TEST(policy->Decide(input).merges.size() == 1U);
}

BOOST_AUTO_TEST_CASE(KeepsASplitKeyThatIsWarmAgain) {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, true);
  input.shards.push_back({HotKey(input, 0), TestBackend(0), 0.1, true});
  auto policy = MakeDefaultPolicy();
  Run(*policy, input, 100);
  input.shards.back().rate = 50;
  Run(*policy, input, 10);
  input.shards.back().rate = 0.1;
  BOOST_TEST(policy->Decide(input).merges.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::placement
