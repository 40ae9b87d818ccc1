// One incarnation of a back end in the model: its holds, their expiry, and the fences that it has
// seen.
#pragma once

#include <map>
#include <string>

#include "core/ownership/coordinator.h"
#include "key_map.h"
#include "wire/time.h"

namespace ladderstream::ownership {

struct HeldKeys {
  Fence seen = 0;
  Fence fence = 0;
  /// Start and end of the uninterrupted hold; not held if `until` is in the past.
  Time since = absl::InfinitePast();
  Time until = absl::InfinitePast();
  /// `until` as it would be without grants that were received late.
  Time timely_until = absl::InfinitePast();

  bool HeldAt(Time now) const { return now < until; }
};

class ModelBackend {
 public:
  std::string id;
  std::string service;
  Endpoint address;
  bool up = true;
  bool draining = false;
  /// One of kZones, assigned in turn.
  std::string zone;
  Time cold_until = absl::InfinitePast();
  /// Whether the platform lists the back end as registered.
  bool listed = true;
  Time frozen_until = absl::InfinitePast();
  /// Until then, orders are received late and their answers are lost.
  Time late_until = absl::InfinitePast();
  /// Until then, orders are received in time and their answers are lost.
  Time answers_lost_until = absl::InfinitePast();
  /// Until then, no order arrives: from any node, and from single nodes by index.
  Time cut_until = absl::InfinitePast();
  std::map<size_t, Time> cut_from_until;

  bool CutFrom(size_t node, Time now) const {
    const auto single = cut_from_until.find(node);
    return now < cut_until || (single != cut_from_until.end() && now < single->second);
  }
  /// Duration of the work still running when keys are released.
  Duration work;
  /// Whether a release under a lower fence than that of the grant still ends the grant.
  bool accepts_old_releases = false;
  /// Whether a renewal with a shorter hold leaves the end of the previous hold unchanged.
  bool keeps_longest_hold = false;

  OrderStatus Grant(const KeyRange& range, Fence fence, Duration hold, bool late, Time now);
  void Release(const KeyRange& range, Fence fence, Time now);
  bool Holds(Key key, Time now) const { return up && held.At(key).HeldAt(now); }

  KeyMap<HeldKeys> held;
  std::map<Key, Time> last_start;
};

}  // namespace ladderstream::ownership
