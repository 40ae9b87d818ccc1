#include "core/partition/key_load_tree.h"

#include <cmath>

namespace ladderstream::partition {
namespace {

constexpr size_t kKeys = ownership::kLastKey + 1;
/// Scaling down happens long before single precision could overflow.
constexpr double kMaxGrowth = 1 << 24;
/// Less than this is not worth keeping, and would become a slow subnormal number.
constexpr float kNegligible = 1e-6F;

}  // namespace

KeyLoadTree::Node KeyLoadTree::Node::Left() const {
  return {2 * index, {range.first, range.first + range.Size() / 2 - 1}};
}

KeyLoadTree::Node KeyLoadTree::Node::Right() const {
  return {2 * index + 1, {range.first + range.Size() / 2, range.last}};
}

KeyLoadTree::KeyLoadTree(Duration half_life)
    : half_life_seconds_(absl::ToDoubleSeconds(half_life)), sums_(2 * kKeys, 0.0F) {}

void KeyLoadTree::Advance(Duration elapsed, Duration observed) {
  growth_ *= std::exp2(absl::ToDoubleSeconds(elapsed) / half_life_seconds_);
  if (growth_ > kMaxGrowth) {
    ScaleDown();
  }
  observed_ += absl::ToDoubleSeconds(observed) * growth_;
}

void KeyLoadTree::ScaleDown() {
  const auto factor = static_cast<float>(1 / growth_);
  for (float& sum : sums_) {
    sum *= factor;
    if (sum < kNegligible) {
      sum = 0;
    }
  }
  observed_ /= growth_;
  growth_ = 1;
}

void KeyLoadTree::Add(Key key, double count) {
  if (key > ownership::kLastKey || !(count > 0)) {
    return;
  }
  const auto weighted = static_cast<float>(count * growth_);
  for (size_t node = kKeys + key; node > 0; node /= 2) {
    sums_[node] += weighted;
  }
}

double KeyLoadTree::Count(const KeyRange& range) const {
  double sum = 0;
  size_t low = kKeys + range.first;
  size_t high = kKeys + range.last + 1;
  while (low < high) {
    if (low % 2 == 1) {
      sum += sums_[low++];
    }
    if (high % 2 == 1) {
      sum += sums_[--high];
    }
    low /= 2;
    high /= 2;
  }
  return sum / growth_;
}

}  // namespace ladderstream::partition
