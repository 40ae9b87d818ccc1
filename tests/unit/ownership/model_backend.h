// One incarnation of a back end as the model sees it: what it holds, until when, and which fences
// it has seen.
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
  /// Since when without a break, and until when; past means not held.
  Time since = absl::InfinitePast();
  Time until = absl::InfinitePast();
  /// The same, had no grant been taken late.
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
  /// Of kZones; given in turn.
  std::string zone;
  Time cold_until = absl::InfinitePast();
  /// Registered with the platform, as far as the platform knows.
  bool listed = true;
  Time frozen_until = absl::InfinitePast();
  /// Takes orders late and leaves them unanswered, until then.
  Time late_until = absl::InfinitePast();
  /// Takes orders at once and leaves them unanswered, until then.
  Time answers_lost_until = absl::InfinitePast();
  /// No order reaches it, until then; from all nodes, and from single ones by their index.
  Time cut_until = absl::InfinitePast();
  std::map<size_t, Time> cut_from_until;

  bool CutFrom(size_t node, Time now) const {
    const auto single = cut_from_until.find(node);
    return now < cut_until || (single != cut_from_until.end() && now < single->second);
  }
  /// Work that runs when keys are released.
  Duration work;
  /// A release under a lower fence than that of the grant still ends the grant.
  bool accepts_old_releases = false;
  /// A renewal with a shorter hold does not shorten the one before it.
  bool keeps_longest_hold = false;

  OrderStatus Grant(const KeyRange& range, Fence fence, Duration hold, bool late, Time now);
  void Release(const KeyRange& range, Fence fence, Time now);
  bool Holds(Key key, Time now) const { return up && held.At(key).HeldAt(now); }

  KeyMap<HeldKeys> held;
  std::map<Key, Time> last_start;
};

}  // namespace ladderstream::ownership
