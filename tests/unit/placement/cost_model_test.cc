// The prices of moves.
#include "core/placement/cost_model.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::placement {
namespace {

MoveFootprint RangeMove() {
  MoveFootprint move;
  move.load_share = 0.05;
  move.key_share = 0.05;
  move.from_load = 1.3;
  move.to_load = 0.8;
  return move;
}

BOOST_AUTO_TEST_SUITE(Costs)

BOOST_AUTO_TEST_CASE(GainIsTheFallInTheSumOfSquares) {
  const MoveFootprint move = RangeMove();
  const double before = 1.3 * 1.3 + 0.8 * 0.8;
  const double after = 1.25 * 1.25 + 0.85 * 0.85;
  BOOST_TEST(CostModel(CostWeights{}).Gain(move) == before - after,
             boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(MovingMoreThanHalfTheDifferenceGainsNothing) {
  MoveFootprint move = RangeMove();
  move.load_share = 0.5;
  BOOST_TEST(CostModel(CostWeights{}).NetValue(move) < 0);
}

BOOST_AUTO_TEST_CASE(UncertainLoadsAreWorthLess) {
  MoveFootprint move = RangeMove();
  const double sure = CostModel(CostWeights{}).Gain(move);
  move.load_error = 0.2;
  BOOST_TEST(CostModel(CostWeights{}).Gain(move) < sure);
}

BOOST_AUTO_TEST_CASE(ASingleKeyCostsLessChurnThanARange) {
  CostWeights weights;
  weights.churn = 10;
  MoveFootprint key = RangeMove();
  key.key_share = 0.00005;
  BOOST_TEST(CostModel(weights).Cost(key) < CostModel(weights).Cost(RangeMove()));
}

BOOST_AUTO_TEST_CASE(EachWeightRaisesTheCost) {
  const double base = CostModel(CostWeights{}).Cost(RangeMove());
  CostWeights churn;
  churn.churn = 2;
  CostWeights gap;
  gap.unavailable_time = 2;
  BOOST_TEST(CostModel(churn).Cost(RangeMove()) > base);
  BOOST_TEST(CostModel(gap).Cost(RangeMove()) > base);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::placement
