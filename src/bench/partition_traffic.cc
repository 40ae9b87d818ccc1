#include "bench/partition_traffic.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace ladderstream::bench {
namespace {

using ownership::Key;

constexpr uint32_t kThings = 60000;
constexpr double kSkew = 0.7;
/// Hot slices begin this far apart and last a little less.
constexpr Duration kSliceEvery = absl::Milliseconds(5500);
constexpr Duration kSliceLength = absl::Milliseconds(4500);

std::vector<double> Popularity(KeyShape shape, std::mt19937_64& random) {
  constexpr uint32_t kPeakCount = 4;
  constexpr uint32_t kNeighbourhood = 64;
  constexpr uint32_t kKeys = ownership::kLastKey + 1;
  std::vector<uint32_t> blocks(kKeys / kNeighbourhood);
  std::iota(blocks.begin(), blocks.end(), 0);
  std::shuffle(blocks.begin(), blocks.end(), random);
  std::vector<double> weights(kKeys, 0);
  for (uint32_t rank = 0; rank < kThings; ++rank) {
    Key key = rank;
    if (shape == KeyShape::kPeaks) {
      constexpr uint32_t kWidth = kKeys / kPeakCount;
      const uint32_t within = rank / kPeakCount;
      const uint32_t offset = within % 2 == 0 ? within / 2 : kWidth - 1 - within / 2;
      key = (rank % kPeakCount) * kWidth + (offset + kWidth / 3) % kWidth;
    } else if (shape == KeyShape::kNeighbourhoods) {
      key = blocks[rank / kNeighbourhood] * kNeighbourhood + rank % kNeighbourhood;
    }
    weights[key] += std::pow(rank + 1.0, -kSkew);
  }
  std::partial_sum(weights.begin(), weights.end(), weights.begin());
  return weights;
}

}  // namespace

PartitionTraffic::PartitionTraffic(const PartitionScenario& scenario, uint64_t seed)
    : scenario_(scenario),
      random_(seed),
      work_random_(~seed),
      popularity_(Popularity(scenario.shape, random_)) {
  DrawSlices();
}

Duration PartitionTraffic::DrawGap(Time now) {
  std::exponential_distribution<double> gap(1);
  return absl::Seconds(gap(random_) / RateAt(now));
}

void PartitionTraffic::DrawSlices() {
  constexpr double kLowestShare = 0.3;
  constexpr double kMostShare = 0.45;
  if (scenario_.slices.empty()) {
    return;
  }
  std::uniform_real_distribution<double> share(kLowestShare, kMostShare);
  std::uniform_int_distribution<Key> key(0, ownership::kLastKey);
  std::uniform_int_distribution<int64_t> start_ms(500, 4000);
  Time from = absl::UnixEpoch() + absl::Milliseconds(start_ms(random_));
  for (size_t i = 0; from < absl::UnixEpoch() + scenario_.length; ++i) {
    const uint32_t keys = scenario_.slices[i % scenario_.slices.size()];
    const Key first = std::min(key(random_), ownership::kLastKey + 1 - keys);
    slices_.push_back({from, from + kSliceLength, first, keys, share(random_)});
    from += kSliceEvery;
  }
}

Key PartitionTraffic::DrawKey(Time now) {
  std::uniform_real_distribution<double> even(0, 1);
  for (const Slice& slice : slices_) {
    if (slice.from <= now && now < slice.until && even(random_) < slice.share) {
      return slice.first + static_cast<Key>(even(random_) * slice.keys);
    }
  }
  const double at = even(random_) * popularity_.back();
  const auto found = std::upper_bound(popularity_.begin(), popularity_.end(), at);
  return std::min<Key>(static_cast<Key>(found - popularity_.begin()), ownership::kLastKey);
}

Duration PartitionTraffic::DrawWork() {
  constexpr double kSpread = 0.3;
  constexpr double kTail = 0.01;
  constexpr double kTailFactor = 5;
  std::lognormal_distribution<double> work(-kSpread * kSpread / 2, kSpread);
  std::uniform_real_distribution<double> even(0, 1);
  const double factor = even(work_random_) < kTail ? kTailFactor : 1;
  return scenario_.mean_work * (work(work_random_) * factor / (1 + kTail * (kTailFactor - 1)));
}

double PartitionTraffic::RateAt(Time now) const {
  constexpr double kSwing = 0.15;
  constexpr double kPeriodSeconds = 11;
  const double phase =
      2 * std::numbers::pi * absl::ToDoubleSeconds(now - absl::UnixEpoch()) / kPeriodSeconds;
  return scenario_.rate * (1 + kSwing * std::sin(phase)) * factor_;
}

}  // namespace ladderstream::bench
