#include "core/partition/recent_load.h"

#include <algorithm>

namespace ladderstream::partition {
namespace {

constexpr Duration kWindow = absl::Seconds(2);
/// What several nodes tell within this time is one batch.
constexpr Duration kBatchLength = absl::Milliseconds(100);

}  // namespace

void RecentLoad::Add(const std::vector<KeyCount>& counts, Duration observed, Time now) {
  if (batches_.empty() || now - batches_.back().at >= kBatchLength) {
    batches_.push_back({now, 0, {}});
  }
  Batch& batch = batches_.back();
  batch.seconds += absl::ToDoubleSeconds(observed);
  for (const KeyCount& count : counts) {
    if (count.key <= ownership::kLastKey && count.count > 0) {
      batch.counts.push_back(count);
    }
  }
  std::stable_sort(batch.counts.begin(), batch.counts.end(),
                   [](const KeyCount& a, const KeyCount& b) { return a.key < b.key; });
  while (now - batches_.front().at > kWindow) {
    batches_.pop_front();
  }
}

}  // namespace ladderstream::partition
