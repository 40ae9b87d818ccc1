// What a planned move is worth and what it costs, in one unit.
//
// The unit is the square of relative load (load over fair load). Moving a shard that weighs d of a
// fair load from a back end at relative load a to one at b lowers the sum of squares by
// 2 d (a - b - d). Against it stand the keys that change owner and the short time in which the
// moved load has no owner. docs/PLACEMENT.md explains the weights to operators.
#pragma once

#include "wire/configuration.h"

namespace ladderstream::placement {

/// A move as the costs see it; all shares are of what one back end fairly holds.
struct MoveFootprint {
  /// Load that moves.
  double load_share = 0;
  /// Keys that change owner.
  double key_share = 0;
  /// Relative loads of the two back ends before the move.
  double from_load = 0;
  double to_load = 0;
  /// How far the difference of these two may be off by chance.
  double load_error = 0;
};

class CostModel {
 public:
  explicit CostModel(const CostWeights& weights) : weights_(weights) {}

  /// What the better balance is worth.
  double Gain(const MoveFootprint& move) const;

  /// What the change of owners, the gap and the work of the move itself cost.
  double Cost(const MoveFootprint& move) const;

  double NetValue(const MoveFootprint& move) const { return Gain(move) - Cost(move); }

 private:
  CostWeights weights_;
};

}  // namespace ladderstream::placement
