#include "core/partition/cutting.h"

namespace ladderstream::partition {
namespace {

/// A window that brings this much of what was asked for is enough.
constexpr double kEnough = 0.93;
/// What the cut itself costs, as if so many keys moved more.
constexpr double kKeysPerCut = 40;

Window Take(const CellRun& run, size_t begin, size_t end) {
  Window window;
  window.cells.assign(run.begin() + static_cast<std::ptrdiff_t>(begin),
                      run.begin() + static_cast<std::ptrdiff_t>(end));
  for (const Cell& cell : window.cells) {
    window.rate += cell.rate;
    window.hot += cell.hot;
  }
  return window;
}

/// The shortest part of the run with at least `amount`; the whole run if it holds less.
Window SmallestInRun(const CellRun& run, double amount) {
  size_t begin = 0;
  size_t best_begin = 0;
  size_t best_end = run.size();
  double sum = 0;
  uint32_t best_keys = ownership::kLastKey + 2;
  for (size_t end = 0; end < run.size(); ++end) {
    sum += run[end].rate;
    while (begin < end && sum - run[begin].rate >= amount) {
      sum -= run[begin++].rate;
    }
    const uint32_t keys = run[end].range.last - run[begin].range.first + 1;
    if (sum >= amount && keys < best_keys) {
      best_keys = keys;
      best_begin = begin;
      best_end = end + 1;
    }
  }
  return Take(run, best_begin, best_end);
}

}  // namespace

Window SmallestWindow(const std::vector<CellRun>& runs, double amount) {
  Window best;
  double best_value = -1;
  const double enough = kEnough * amount;
  for (const CellRun& run : runs) {
    if (run.empty()) {
      continue;
    }
    Window window = SmallestInRun(run, enough);
    const double value = std::min(window.rate, amount) / (window.Range().Size() + kKeysPerCut);
    if (value > best_value) {
      best_value = value;
      best = std::move(window);
    }
  }
  return best;
}

std::vector<Piece> CutPieces(const CellRun& cells, const std::vector<Part>& parts) {
  std::vector<Piece> pieces;
  double total = 0;
  double wanted = 0;
  for (const Cell& cell : cells) {
    total += cell.rate;
  }
  for (const Part& part : parts) {
    wanted += part.load;
  }
  const double factor = wanted > 0 ? total / wanted : 0;
  size_t next = 0;
  double taken = 0;
  double due = 0;
  for (size_t i = 0; i < parts.size() && next < cells.size(); ++i) {
    due += parts[i].load * factor;
    const size_t begin = next;
    const bool last = i + 1 == parts.size();
    while (next < cells.size() && (last || taken + cells[next].rate / 2 <= due)) {
      taken += cells[next++].rate;
    }
    if (next > begin) {
      pieces.push_back({{cells[begin].range.first, cells[next - 1].range.last}, parts[i].member});
    }
  }
  return pieces;
}

}  // namespace ladderstream::partition
