#include "model_backend.h"

#include <algorithm>

namespace ladderstream::ownership {
namespace {

/// Factor by which the back end's clock runs slow.
constexpr double kSlowClock = 1.02;

}  // namespace

OrderStatus ModelBackend::Grant(const KeyRange& range, Fence fence, Duration hold, bool late,
                                Time now) {
  bool fenced = false;
  held.ForEach(range, [&](const KeyRange& /*keys*/, const HeldKeys& keys_held) {
    fenced = fenced || keys_held.seen > fence;
  });
  if (fenced) {
    return OrderStatus::kFenced;
  }
  held.Update(range, [&](HeldKeys& keys_held) {
    if (!keys_held.HeldAt(now)) {
      keys_held.since = now;
    }
    const Time until = now + hold * kSlowClock;
    const bool renews = keys_held.fence == fence && keys_held.HeldAt(now);
    const bool keeps = keeps_longest_hold && renews && keys_held.until > until;
    keys_held.seen = fence;
    keys_held.fence = fence;
    keys_held.until = keeps ? keys_held.until : until;
    if (!late) {
      keys_held.timely_until = keeps ? std::max(keys_held.timely_until, until) : until;
    }
  });
  return OrderStatus::kDone;
}

void ModelBackend::Release(const KeyRange& range, Fence fence, Time now) {
  held.Update(range, [&](HeldKeys& keys_held) {
    if (keys_held.fence <= fence || accepts_old_releases) {
      keys_held.until = std::min(keys_held.until, now);
      keys_held.timely_until = std::min(keys_held.timely_until, now);
    }
    keys_held.seen = std::max(keys_held.seen, fence);
  });
}

}  // namespace ladderstream::ownership
