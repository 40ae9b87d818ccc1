#include "core/placement/cost_model.h"

namespace ladderstream::placement {
namespace {

/// With equal weights, the fall in the sum of squares that is worth moving all keys of a back end.
constexpr double kKeyPrice = 0.05;

/// The same for a gap in service of all keys, and of all load, of a back end.
constexpr double kGapPrice = 0.05;

/// The price of any move: an entry in the log, two grant sets, new routes everywhere.
constexpr double kMovePrice = 0.0005;

}  // namespace

double CostModel::Gain(const MoveFootprint& move) const {
  return weights_.imbalance * 2 * move.load_share *
         (move.from_load - move.to_load - move.load_share - move.load_error);
}

double CostModel::Cost(const MoveFootprint& move) const {
  return weights_.churn * kKeyPrice * move.key_share +
         weights_.unavailable_time * kGapPrice * (move.key_share + move.load_share) / 2 +
         (weights_.imbalance + weights_.churn) * kMovePrice;
}

}  // namespace ladderstream::placement
