// Settings of the data path.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::gateway {

struct BackendPoolSettings {
  /// The share of a back end's connections that all nodes together use.
  double connection_share = 0.8;
  /// A node may have this many connections to one back end, however many nodes there are.
  uint32_t min_connections = 4;
  /// Idle connections kept to one back end.
  uint32_t max_idle_connections = 4;
  /// An idle connection is closed at this age when the back end told none.
  Duration idle_timeout = absl::Seconds(4);
  /// An idle connection is closed this long before the age that the back end told.
  Duration idle_margin = absl::Milliseconds(300);
  /// A connection is given up when bytes stay unacknowledged this long. Longer than two intervals
  /// of keep-alive probes; see BoundSilence.
  Duration user_timeout = absl::Milliseconds(2500);
  /// The longest body of an answer, in bytes.
  size_t max_answer_bytes = 64U << 20U;
  /// See BindSource.
  std::string source_host;
};

struct CallerServerSettings {
  Endpoint listen;
  /// Beyond it the longest idle connections are closed; when none is idle, requests on new
  /// connections are refused.
  size_t max_connections = 3000;
  /// A caller that takes no byte of its answer for this long is given up.
  Duration write_timeout = absl::Seconds(5);
  /// How long a connection is read after its last answer, so that the answer is not lost.
  Duration linger = absl::Seconds(1);
};

struct DataPathSettings {
  CallerServerSettings callers;
  BackendPoolSettings backends;
  /// Bytes of bodies held at one time; new bodies beyond it are refused.
  size_t max_held_bytes = 96U << 20U;
  /// How often time-outs of connections are looked at; they are late by at most this.
  Duration sweep_interval = absl::Milliseconds(250);
};

}  // namespace ladderstream::gateway
