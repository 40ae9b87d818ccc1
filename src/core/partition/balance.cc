#include <algorithm>
#include <cmath>
#include <set>

#include "core/partition/capacity.h"
#include "core/partition/costs.h"
#include "core/partition/cutting.h"
#include "core/partition/planning.h"
#include "core/partition/spread.h"

namespace ladderstream::partition {
namespace {

/// A back end sheds load only above this pressure.
constexpr double kLeastPressure = 0.5;
/// Cells are cut to this share of what the source bears well.
constexpr double kCellShare = 0.04;
/// A single key with more than this share of it stands in no window.
constexpr double kHeavyShare = 0.35;
/// The shares of the surplus that are tried as the load of one window.
constexpr double kWindowShares[] = {1.0, 0.6, 0.3};
/// What moves bring must be this many times what they cost.
constexpr double kLeastReturn = 1.5;
constexpr double kAllKeys = ownership::kLastKey + 1;

struct Plan {
  std::vector<Piece> pieces;
  double value = 0;
};

/// The keys of a source that may move.
struct Supply {
  std::vector<CellRun> runs;
  std::vector<Cell> heavy;
  double rate = 0;
};

class Balancer {
 public:
  Balancer(Fleet& fleet, const PartitionWeights& weights, size_t max_moves)
      : fleet_(fleet), weights_(weights), max_moves_(max_moves) {}

  std::vector<ProposedMove> Run();

 private:
  /// The next back end to relieve, by pressure.
  std::optional<size_t> NextSource() const;
  /// Cautious loads: the source may have less, the others more than estimated.
  std::vector<double> CautiousLoads(size_t source) const;
  Supply SupplyOf(size_t source) const;
  /// How many pieces may be cut without going beyond any bound.
  size_t MaxParts() const;
  Plan BestPlan(size_t source) const;
  /// The best move of one whole range, which makes no further one.
  Plan BestWholeRange(size_t source, const std::vector<double>& loads) const;
  Plan PlanWindow(size_t source, const std::vector<double>& loads, const Window& window) const;
  Plan PlanHeavy(size_t source, const std::vector<double>& loads, const Cell& cell) const;
  /// What moving these keys costs, but for the moves themselves.
  double Price(const KeyRange& range, double rate) const;

  Fleet& fleet_;
  const PartitionWeights& weights_;
  size_t max_moves_;
  std::vector<ProposedMove> moves_;
  /// Back ends that nothing more can be done for now.
  std::set<size_t> done_;
};

double Horizon(double rate, double hot) {
  const double hot_share = rate > 0 ? std::clamp(hot / rate, 0.0, 1.0) : 0;
  return kCalmHorizon + hot_share * (kHotHorizon - kCalmHorizon);
}

std::vector<ProposedMove> Balancer::Run() {
  while (moves_.size() < max_moves_) {
    const std::optional<size_t> source = NextSource();
    if (!source) {
      break;
    }
    const Plan plan = BestPlan(*source);
    if (plan.pieces.empty()) {
      done_.insert(*source);
      continue;
    }
    for (const Piece& piece : plan.pieces) {
      moves_.push_back({piece.range, fleet_.members()[piece.member].id});
      fleet_.Move(piece.range, piece.member);
    }
  }
  return std::move(moves_);
}

std::optional<size_t> Balancer::NextSource() const {
  double highest = kLeastPressure;
  std::optional<size_t> source;
  for (size_t i = 0; i < fleet_.members().size(); ++i) {
    const Member& member = fleet_.members()[i];
    const double most_gain = LateLoad(member.load, member.comfortable) * kCalmHorizon;
    if (member.accepts && !done_.contains(i) && member.Pressure() > highest &&
        most_gain > kLeastReturn * kMovePrice) {
      highest = member.Pressure();
      source = i;
    }
  }
  return source;
}

std::vector<double> Balancer::CautiousLoads(size_t source) const {
  std::vector<double> loads;
  for (size_t i = 0; i < fleet_.members().size(); ++i) {
    const Member& member = fleet_.members()[i];
    const double error = std::sqrt(std::max(member.variance, 0.0));
    loads.push_back(std::max(member.load + (i == source ? -error : error), 0.0));
  }
  return loads;
}

Supply Balancer::SupplyOf(size_t source) const {
  const double comfortable = fleet_.members()[source].comfortable;
  Supply supply;
  for (const Holding& holding : fleet_.holdings()) {
    if (holding.member != source || holding.frozen) {
      continue;
    }
    CellRun run;
    for (const Cell& cell : fleet_.load().Cells(holding.range, kCellShare * comfortable)) {
      if (cell.rate <= kHeavyShare * comfortable) {
        run.push_back(cell);
        supply.rate += cell.rate;
        continue;
      }
      supply.heavy.push_back(cell);
      supply.runs.push_back(std::move(run));
      run = {};
    }
    supply.runs.push_back(std::move(run));
  }
  std::erase_if(supply.runs, [](const CellRun& run) { return run.empty(); });
  return supply;
}

size_t Balancer::MaxParts() const {
  const auto bound =
      static_cast<size_t>(kMaxFragmentsPerBackend * static_cast<double>(fleet_.Accepting()));
  const size_t fragments = fleet_.Fragments() + 1;
  const size_t by_bound = bound > fragments ? bound - fragments : 0;
  return std::min(by_bound, max_moves_ - std::min(max_moves_, moves_.size()));
}

Plan Balancer::BestPlan(size_t source) const {
  const std::vector<double> loads = CautiousLoads(source);
  if (MaxParts() == 0) {
    return BestWholeRange(source, loads);
  }
  const Supply supply = SupplyOf(source);
  SpreadRequest request;
  request.source = source;
  request.amount = supply.rate;
  request.max_parts = MaxParts();
  const double surplus = PlanSpread(fleet_.members(), loads, request).amount;
  Plan best;
  for (const double share : kWindowShares) {
    const Window window = SmallestWindow(supply.runs, share * surplus);
    if (surplus <= 0 || window.cells.empty()) {
      break;
    }
    Plan plan = PlanWindow(source, loads, window);
    if (plan.value > best.value) {
      best = std::move(plan);
    }
  }
  for (const Cell& cell : supply.heavy) {
    Plan plan = PlanHeavy(source, loads, cell);
    if (plan.value > best.value) {
      best = std::move(plan);
    }
  }
  return best;
}

Plan Balancer::BestWholeRange(size_t source, const std::vector<double>& loads) const {
  Plan best;
  for (const Holding& holding : fleet_.holdings()) {
    if (holding.member != source || holding.frozen) {
      continue;
    }
    const Rate rate = fleet_.load().Of(holding.range);
    Plan plan = PlanHeavy(source, loads, {holding.range, rate.total, rate.hot});
    if (plan.value > best.value) {
      best = std::move(plan);
    }
  }
  return best;
}

double Balancer::Price(const KeyRange& range, double rate) const {
  const double key_share = range.Size() / kAllKeys;
  return weights_.churn_weight * kKeySpacePrice * key_share + kUnavailablePrice * rate;
}

Plan Balancer::PlanWindow(size_t source, const std::vector<double>& loads,
                          const Window& window) const {
  const double horizon = Horizon(window.rate, window.hot);
  SpreadRequest request;
  request.source = source;
  request.amount = window.rate;
  request.max_parts = MaxParts();
  request.price_per_part = kMovePrice / horizon;
  const Spread spread = PlanSpread(fleet_.members(), loads, request);
  if (spread.parts.empty()) {
    return {};
  }
  const double price =
      Price(window.Range(), window.rate) + kMovePrice * static_cast<double>(spread.parts.size());
  const double value = spread.gain * horizon - kLeastReturn * price;
  return value > 0 ? Plan{CutPieces(window.cells, spread.parts), value} : Plan{};
}

Plan Balancer::PlanHeavy(size_t source, const std::vector<double>& loads, const Cell& cell) const {
  const double horizon = Horizon(cell.rate, cell.hot);
  const double relief = GainOf(fleet_.members(), loads, {source, -cell.rate});
  const double price = Price(cell.range, cell.rate) + kMovePrice;
  Plan best;
  for (size_t i = 0; i < fleet_.members().size(); ++i) {
    if (i == source || !fleet_.members()[i].accepts) {
      continue;
    }
    const double gain = relief + GainOf(fleet_.members(), loads, {i, cell.rate});
    const double value = gain * horizon - kLeastReturn * price;
    if (value > best.value) {
      best = {{{cell.range, i}}, value};
    }
  }
  return best;
}

}  // namespace

std::vector<ProposedMove> PlanBalance(Fleet& fleet, const PartitionWeights& weights,
                                      size_t max_moves) {
  return Balancer(fleet, weights, max_moves).Run();
}

}  // namespace ladderstream::partition
