#include "daemon/router/load_recorder.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ladderstream {
namespace {

/// Per stripe. All stripes together keep far more than is reported, so that what is reported is
/// nearly exact.
constexpr size_t kCountersPerStripe = 64;
constexpr size_t kMaxReported = 64;
constexpr Duration kShortestPeriod = absl::Milliseconds(1);

void MoveTo(std::vector<routing::LoadSketch::Item>& all, routing::LoadSketch& sketch) {
  std::vector<routing::LoadSketch::Item> items = sketch.Take();
  std::move(items.begin(), items.end(), std::back_inserter(all));
}

/// A range's requests are spread over the stripes; adds them up.
void MergeSameShards(std::vector<routing::LoadSketch::Item>& items) {
  absl::flat_hash_map<ShardId, uint64_t> counts;
  for (const routing::LoadSketch::Item& item : items) {
    counts[item.shard] += item.count;
  }
  items.clear();
  for (const auto& [shard, count] : counts) {
    items.push_back({shard, count});
  }
}

}  // namespace

LoadRecorder::LoadRecorder(Time now) : taken_(now) {
  for (Stripe& stripe : stripes_) {
    const absl::MutexLock lock(&stripe.mutex);
    stripe.ranges = std::make_unique<routing::LoadSketch>(kCountersPerStripe);
    stripe.keys = std::make_unique<routing::LoadSketch>(kCountersPerStripe);
  }
}

void LoadRecorder::Record(const routing::ServiceRoute& service, const std::string& key) {
  ShardId shard = service.ShardOf(key);
  Stripe& stripe = stripes_[absl::HashOf(key) % kStripes];
  const absl::MutexLock lock(&stripe.mutex);
  if (shard.key.empty()) {
    stripe.ranges->Add(shard);
    shard.key = key;
  }
  stripe.keys->Add(shard);
}

std::vector<ShardLoad> LoadRecorder::Take(Time now) {
  std::vector<routing::LoadSketch::Item> ranges;
  std::vector<routing::LoadSketch::Item> keys;
  for (Stripe& stripe : stripes_) {
    const absl::MutexLock lock(&stripe.mutex);
    MoveTo(ranges, *stripe.ranges);
    MoveTo(keys, *stripe.keys);
  }
  MergeSameShards(ranges);
  routing::KeepBusiest(ranges, kMaxReported);
  routing::KeepBusiest(keys, kMaxReported);
  ranges.insert(ranges.end(), keys.begin(), keys.end());

  const absl::MutexLock lock(&taken_mutex_);
  const double seconds = absl::ToDoubleSeconds(std::max(kShortestPeriod, now - taken_));
  taken_ = now;
  std::vector<ShardLoad> loads;
  loads.reserve(ranges.size());
  for (routing::LoadSketch::Item& item : ranges) {
    loads.push_back({std::move(item.shard), static_cast<double>(item.count) / seconds});
  }
  return loads;
}

}  // namespace ladderstream
