// A fleet of nodes that all want to send to one cold back end as often as they may, while nodes
// start, join, vanish and are cut off: how many requests reach it in any second, and how much of
// what it bears is used.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/allowance/cold_senders.h"
#include "wire/time.h"

namespace ladderstream::bench {

/// Who may send, and how fast.
enum class ColdPolicy {
  /// As the nodes do it: a few senders by rendezvous hashing (forwarding::ColdSenders).
  kSenders,
  /// Each node sends its equal share of the rate, by the members that it knows.
  kEqualShare,
  /// Each node sends at the whole rate, as if it were alone.
  kEachAlone,
};

enum class ColdEvent {
  kCalm,
  /// No node has run before.
  kAllStart,
  /// As many again join, half a second after the back end turned cold.
  kHalfJoin,
  /// Half of the nodes vanish then.
  kHalfVanish,
  /// Half of the nodes hear nothing of the others any more, and go on serving.
  kHalfCutOff,
  /// Nodes come and go all the time.
  kChurn,
};

struct ColdStart {
  ColdPolicy policy = ColdPolicy::kSenders;
  ColdEvent event = ColdEvent::kCalm;
  uint32_t nodes = 11;
  /// What the back end bears, in requests a second, and the bound in any second: `rate` x
  /// `overshoot` + `slack`.
  double rate = 4.2;
  double overshoot = 1.5;
  double slack = 8;
  /// For how long it is cold.
  Duration cold = absl::Seconds(3);
  /// How often requests come to a node that could go there.
  Duration demand = absl::Milliseconds(60);
  uint64_t seed = 1;
};

struct ColdStartOutcome {
  uint32_t requests = 0;
  /// In the busiest second.
  uint32_t most_in_a_second = 0;
  /// Requests over what the back end bears while it is cold.
  double used_share = 0;
};

/// Plays one cold time. Deterministic for its input.
ColdStartOutcome PlayColdStart(const ColdStart& start);

}  // namespace ladderstream::bench
