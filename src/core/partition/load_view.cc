#include "core/partition/load_view.h"

#include <algorithm>

namespace ladderstream::partition {
namespace {

/// Keys that were never asked for count for something too: all keys together for this much.
constexpr double kUnseenRate = 0.5;
constexpr double kUnseenPerKey = kUnseenRate / (ownership::kLastKey + 1);
/// Each half of a node starts from this many counts.
constexpr double kPriorCount = 1.5;
constexpr double kShortestObservation = 0.1;

}  // namespace

LoadView::LoadView(const KeyLoadTree& calm, double calm_scale, const std::vector<HotSlice>& hot)
    : calm_(calm),
      per_count_(calm_scale / std::max(calm.ObservedSeconds(), kShortestObservation)),
      hot_(hot) {}

double LoadView::HotIn(const KeyRange& range) const {
  double sum = 0;
  for (const HotSlice& slice : hot_) {
    sum += slice.ExcessIn(range);
  }
  return sum;
}

Rate LoadView::Of(const KeyRange& range) const {
  const double calm = calm_.Count(range) * per_count_;
  Rate rate{calm + kUnseenPerKey * range.Size(), 0, calm * per_count_ / 2};
  for (const HotSlice& slice : hot_) {
    const double excess = slice.ExcessIn(range);
    rate.hot += excess;
    const double error = slice.error() * excess / std::max(slice.excess(), kUnseenRate);
    rate.variance += error * error;
  }
  rate.total += rate.hot;
  return rate;
}

std::vector<Cell> LoadView::Cells(const KeyRange& range, double max_rate) const {
  std::vector<Cell> cells;
  const KeyLoadTree::Node root;
  Cut(root, calm_.Count(root) * per_count_ + kUnseenRate, range, max_rate, cells);
  double cut = 0;
  for (const Cell& cell : cells) {
    cut += cell.rate - cell.hot;
  }
  const Rate whole = Of(range);
  const double factor = cut > 0 ? (whole.total - whole.hot) / cut : 1;
  for (Cell& cell : cells) {
    cell.rate = (cell.rate - cell.hot) * factor + cell.hot;
  }
  return cells;
}

void LoadView::Cut(const KeyLoadTree::Node& node, double calm_rate, const KeyRange& range,
                   double max_rate, std::vector<Cell>& cells) const {
  if (node.range.last < range.first || node.range.first > range.last) {
    return;
  }
  const bool inside = range.Contains(node.range.first) && range.Contains(node.range.last);
  const double hot = HotIn(node.range);
  if (node.range.Size() == 1 || (inside && calm_rate + hot <= max_rate)) {
    cells.push_back({node.range, calm_rate + hot, hot});
    return;
  }
  const KeyLoadTree::Node left = node.Left();
  const double share = (calm_.Count(left) + kPriorCount) / (calm_.Count(node) + 2 * kPriorCount);
  Cut(left, calm_rate * share, range, max_rate, cells);
  Cut(node.Right(), calm_rate * (1 - share), range, max_rate, cells);
}

}  // namespace ladderstream::partition
