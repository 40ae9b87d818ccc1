// Finding the keys to move, and cutting them between back ends.
#pragma once

#include <vector>

#include "core/partition/fleet.h"
#include "core/partition/spread.h"

namespace ladderstream::partition {

/// Neighbouring cells.
using CellRun = std::vector<Cell>;

struct Window {
  CellRun cells;
  double rate = 0;
  double hot = 0;

  KeyRange Range() const { return {cells.front().range.first, cells.back().range.last}; }
};

/// The fewest neighbouring keys that bring about `amount`; of runs that hold less, the one that
/// brings most for its keys. Empty without runs.
Window SmallestWindow(const std::vector<CellRun>& runs, double amount);

/// A range for one back end.
struct Piece {
  KeyRange range;
  size_t member = 0;
};

/// Cuts neighbouring cells into one piece a part, in the order of the parts. A part may come out
/// empty where cells are coarse.
std::vector<Piece> CutPieces(const CellRun& cells, const std::vector<Part>& parts);

}  // namespace ladderstream::partition
