// The baselines do what they are named for, so that a comparison with them means something.
#include "core/placement/baselines.h"

#include <boost/test/unit_test.hpp>

#include "scenario.h"

namespace ladderstream::placement {
namespace {

PlacementInput SkewedInput() {
  PlacementInput input = TestInput(4);
  AddRanges(input, 64, 10, false);
  for (size_t i = 0; i < input.shards.size(); i += 5) {
    input.shards[i].rate = 30;
  }
  return input;
}

BOOST_AUTO_TEST_SUITE(Baselines)

BOOST_AUTO_TEST_CASE(StaticHashIgnoresLoad) {
  PlacementInput input = SkewedInput();
  auto policy = MakeStaticHashPolicy();
  Apply(policy->Decide(input), input);
  for (ShardView& shard : input.shards) {
    shard.rate = 100 - shard.rate;
  }
  input.now += absl::Hours(1);
  BOOST_TEST(policy->Decide(input).moves.empty());
}

BOOST_AUTO_TEST_CASE(StaticHashMovesOnlyWhatALostBackendHeld) {
  PlacementInput input = SkewedInput();
  auto policy = MakeStaticHashPolicy();
  Apply(policy->Decide(input), input);
  input.backends[2].live = false;
  size_t freed = 0;
  for (ShardView& shard : input.shards) {
    if (shard.owner == TestBackend(2)) {
      shard.owner = BackendId();
      ++freed;
    }
  }
  const PlacementPlan plan = policy->Decide(input);
  BOOST_TEST(plan.assignments.size() == freed);
  BOOST_TEST(plan.moves.empty());
}

BOOST_AUTO_TEST_CASE(BoundedLoadsKeepTheBound) {
  constexpr double kBound = 1.25;
  PlacementInput input = SkewedInput();
  Apply(MakeBoundedLoadPolicy(kBound, absl::Seconds(10))->Decide(input), input);
  BOOST_TEST(Imbalance(input) <= kBound + 0.01);
}

BOOST_AUTO_TEST_CASE(GreedyLowersThePeakAtAnyCost) {
  PlacementInput input = SkewedInput();
  for (size_t i = 0; i < input.shards.size(); ++i) {
    input.shards[i].owner = TestBackend(static_cast<int>(i % 2));
  }
  input.service.weights.churn = 1e6;
  Apply(MakeGreedyPolicy(absl::Seconds(10), false)->Decide(input), input);
  BOOST_TEST(Imbalance(input) < 1.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::placement
