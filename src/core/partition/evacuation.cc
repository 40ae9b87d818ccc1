#include <algorithm>

#include "core/partition/costs.h"
#include "core/partition/cutting.h"
#include "core/partition/planning.h"
#include "core/partition/spread.h"

namespace ladderstream::partition {
namespace {

/// Cells are cut to this share of what a typical back end bears well.
constexpr double kCellShare = 0.05;
constexpr size_t kMaxParts = 32;

struct Homeless {
  KeyRange range;
  double rate = 0;
};

/// Busiest first, so that the small ones fill the gaps.
std::vector<Homeless> FindHomeless(const Fleet& fleet) {
  std::vector<Homeless> found;
  for (const Holding& holding : fleet.holdings()) {
    if (!holding.member && !holding.frozen) {
      found.push_back({holding.range, fleet.load().Of(holding.range).total});
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const Homeless& a, const Homeless& b) { return a.rate > b.rate; });
  return found;
}

std::vector<double> Loads(const Fleet& fleet) {
  std::vector<double> loads;
  for (const Member& member : fleet.members()) {
    loads.push_back(member.load);
  }
  return loads;
}

double MeanComfortable(const Fleet& fleet) {
  double sum = 0;
  for (const Member& member : fleet.members()) {
    sum += member.accepts ? member.comfortable : 0;
  }
  return sum / static_cast<double>(std::max<size_t>(fleet.Accepting(), 1));
}

/// The owners next to a range. Giving it to one of them makes no further range.
std::vector<size_t> Neighbours(const Fleet& fleet, const KeyRange& range) {
  std::vector<size_t> neighbours;
  const auto add = [&](std::optional<size_t> member) {
    if (member && fleet.members()[*member].accepts) {
      neighbours.push_back(*member);
    }
  };
  if (range.first > 0) {
    add(fleet.OwnerOf(range.first - 1));
  }
  if (range.last < ownership::kLastKey) {
    add(fleet.OwnerOf(range.last + 1));
  }
  return neighbours;
}

/// Late answers per second that one more move may cost.
double PricePerPart() { return kMovePrice / kCalmHorizon; }

std::vector<Part> PlaceRange(const Fleet& fleet, const Homeless& homeless) {
  const std::vector<double> loads = Loads(fleet);
  SpreadRequest request;
  request.amount = homeless.rate;
  request.max_parts = kMaxParts;
  request.price_per_part = PricePerPart();
  const Spread spread = PlanSpread(fleet.members(), loads, request);
  std::vector<Part> parts = spread.parts;
  double value = spread.gain - PricePerPart() * static_cast<double>(parts.size());
  for (const size_t neighbour : Neighbours(fleet, homeless.range)) {
    const Part whole{neighbour, homeless.rate};
    const double gain = GainOf(fleet.members(), loads, whole);
    if (gain > value) {
      value = gain;
      parts = {whole};
    }
  }
  return parts;
}

/// Puts the parts of neighbours next to their keys.
void OrderParts(const Fleet& fleet, const KeyRange& range, std::vector<Part>& parts) {
  const auto rank = [&](const Part& part) {
    if (range.first > 0 && fleet.OwnerOf(range.first - 1) == part.member) {
      return 0;
    }
    const bool right =
        range.last < ownership::kLastKey && fleet.OwnerOf(range.last + 1) == part.member;
    return right ? 2 : 1;
  };
  std::stable_sort(parts.begin(), parts.end(),
                   [&](const Part& a, const Part& b) { return rank(a) < rank(b); });
}

}  // namespace

std::vector<ProposedMove> PlanEvacuation(Fleet& fleet, const PartitionWeights& /*weights*/) {
  std::vector<ProposedMove> moves;
  if (fleet.Accepting() == 0) {
    return moves;
  }
  const double max_cell = kCellShare * MeanComfortable(fleet);
  for (const Homeless& homeless : FindHomeless(fleet)) {
    std::vector<Part> parts = PlaceRange(fleet, homeless);
    OrderParts(fleet, homeless.range, parts);
    const CellRun cells = fleet.load().Cells(homeless.range, max_cell);
    for (const Piece& piece : CutPieces(cells, parts)) {
      moves.push_back({piece.range, fleet.members()[piece.member].id});
      fleet.Move(piece.range, piece.member);
    }
  }
  return moves;
}

}  // namespace ladderstream::partition
