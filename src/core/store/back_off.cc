#include "core/store/back_off.h"

#include <algorithm>

namespace ladderstream::store {
namespace {

/// Avoids overflow of the shift; more doublings exceed `longest` for any practical setting.
constexpr uint32_t kMaxDoublings = 16;

}  // namespace

BackOff::BackOff(Duration shortest, Duration longest, uint64_t seed)
    : shortest_(shortest), longest_(std::max(shortest, longest)), random_(seed) {}

Duration BackOff::Next() {
  failures_ = std::min(failures_ + 1, kMaxDoublings);
  const Duration bound = std::min(longest_, shortest_ * (1U << failures_));
  constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53: maps 53 random bits to [0, 1)
  const double share = static_cast<double>(random_() >> 11U) * kUnit;
  return shortest_ + (bound - shortest_) * share;
}

}  // namespace ladderstream::store
