// Requests of callers, nodes that forward them, and the queues of back ends, on simulated time.
//
// The nodes are forwarding::Dispatcher as it runs; baselines and the all-knowing reference take its
// place under the same arrivals. The back ends' queues, speeds and disturbances are the model's.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/forwarding_deployment.h"
#include "core/forwarding/dispatcher.h"
#include "wire/time.h"

namespace ladderstream::bench {

enum class ForwardingPolicy {
  /// The project's, as its settings are.
  kInForce,
  /// Any back end, or the owner, at once.
  kRandom,
  kRoundRobin,
  /// Of two drawn at random the one with fewer requests of this node.
  kLeastOfTwo,
  /// Knows all queues, speeds and each request's work: takes the back end where the request ends
  /// first and refuses what would end after its target. Greedy, so not the best possible; see
  /// ForwardingOutcome::bound for that.
  kAllKnowing,
  /// The same, but for the work of the request itself, which it takes to be the usual one.
  kKnowsQueues,
};

struct ForwardingPlay {
  ForwardingDeployment deployment;
  ForwardingPolicy policy = ForwardingPolicy::kInForce;
  /// Of kInForce.
  forwarding::DispatcherSettings dispatcher;
  /// How often each node exchanges news of load with all others through one; zero: never.
  Duration news_interval = absl::ZeroDuration();
  Duration length = absl::Seconds(12);
  uint64_t seed = 1;
};

struct ForwardingOutcome {
  uint64_t callers = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  /// Callers whose last word was a refusal, and those that got another failure or nothing.
  uint64_t refused = 0;
  uint64_t failed = 0;
  /// Refused tries that came back and were refused again.
  uint64_t refused_again = 0;
  /// Arrivals that a back end turned away.
  uint64_t turned_away = 0;
  /// Credit over what all callers were owed.
  double credit = 0;
  /// No router can earn more: see Model::Bound. Loose, since it takes machines as undisturbed, all
  /// work as known and arrivals as if they could be put anywhere in the play.
  double bound = 0;
};

/// Plays one deployment. Deterministic for its input.
ForwardingOutcome PlayForwarding(const ForwardingPlay& play);

}  // namespace ladderstream::bench
