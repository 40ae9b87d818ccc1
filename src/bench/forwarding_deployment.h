// A deployment of the forwarding model, from a checked file: a service, its back ends and its
// callers. examples/forwarding has several.
#pragma once

#include <cstdint>
#include <string>

#include "wire/time.h"

namespace ladderstream::bench {

struct ForwardingDeployment {
  std::string name = "unnamed";
  uint32_t nodes = 11;
  uint32_t backends = 14;
  /// Whether each back end owns a part of the keys.
  bool sharded = false;
  bool repeatable = true;
  uint32_t slots = 3;
  /// Requests that wait at a back end at most; more are turned away.
  uint32_t queue = 12;
  bool tells_load = true;
  /// Mean work of a request on a back end of speed 1, its spread (of a lognormal distribution), and
  /// the share of requests that take `tail_factor` times as long.
  Duration work = absl::Milliseconds(160);
  double work_spread = 0.5;
  double tail_share = 0.01;
  double tail_factor = 3;
  /// Speeds are spread evenly between these.
  double slowest = 0.7;
  double fastest = 1.6;
  /// Machines are disturbed by other users: this share of them at a time, work taking so many times
  /// as long, drawn anew at this interval.
  double disturbed_share = 0;
  double disturbed_factor = 3;
  Duration disturbed_interval = absl::Milliseconds(400);
  Duration target = absl::Milliseconds(600);
  Duration deadline = absl::Seconds(3);
  /// What a late answer is worth, of 1.
  double late_worth = 0.3;
  /// How often a caller comes back after a refusal.
  uint32_t caller_retries = 2;
  uint32_t max_attempts = 2;
  /// Offered work over what all back ends can do, disturbances counted.
  double load = 0.8;
  /// Keys are drawn from so many, the first ones more often: rank to the power of minus this.
  uint32_t keys = 5000;
  double key_skew = 0.4;
  /// Of all requests, the share that is for one key from a third of the play to two thirds.
  double hot_share = 0;
  /// The load of each range, which the partition weighs, is known with this relative error.
  double partition_error = 0.15;
};

/// Throws settings::SettingsError with every fault.
ForwardingDeployment LoadForwardingDeployment(const std::string& path);

}  // namespace ladderstream::bench
