#include "core/membership/load_sampling.h"

#include <cstdint>
#include <numeric>
#include <utility>
#include <vector>

namespace ladderstream::membership {
namespace {

/// Systematic sampling: draws points at equal distances along the cumulative counts.
void SampleKeys(size_t max_count, double draw, LoadReport* load) {
  const double total = std::accumulate(load->counts.begin(), load->counts.end(), 0.0);
  const double step = total / static_cast<double>(max_count);
  std::vector<uint32_t> keys;
  std::vector<float> counts;
  double laid = 0;
  size_t points = 0;
  for (size_t i = 0; i < load->keys.size(); ++i) {
    laid += load->counts[i];
    double drawn = 0;
    for (; points < max_count && (draw + static_cast<double>(points)) * step < laid; ++points) {
      drawn += step;
    }
    if (drawn > 0) {
      keys.push_back(load->keys[i]);
      counts.push_back(static_cast<float>(drawn));
    }
  }
  load->keys = std::move(keys);
  load->counts = std::move(counts);
}

template <typename Value>
void KeepFrom(size_t first, size_t max_count, std::vector<Value>* values) {
  std::vector<Value> kept;
  kept.reserve(max_count);
  for (size_t i = 0; i < max_count; ++i) {
    kept.push_back(std::move((*values)[(first + i) % values->size()]));
  }
  *values = std::move(kept);
}

void SampleBackends(size_t max_count, double draw, LoadReport* load) {
  const size_t backends = load->backends.size();
  const auto first = static_cast<size_t>(draw * static_cast<double>(backends));
  KeepFrom(first, max_count, &load->backends);
  KeepFrom(first, max_count, &load->answers);
  KeepFrom(first, max_count, &load->busy_us);
  KeepFrom(first, max_count, &load->includes_wait);
  load->reported_share = static_cast<double>(max_count) / static_cast<double>(backends);
}

}  // namespace

void SampleLoad(size_t max_count, double draw, LoadReport* load) {
  if (load->keys.size() > max_count) {
    SampleKeys(max_count, draw, load);
  }
  if (load->backends.size() > max_count) {
    SampleBackends(max_count, draw, load);
  }
}

}  // namespace ladderstream::membership
