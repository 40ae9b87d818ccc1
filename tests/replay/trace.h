// A recorded stretch of a day: what was asked for when, and what failed. And the outcome that its
// replay is to have.
//
// A trace is JSON, one object a line. The first says {"trace":2,"nodes":N,"length_ms":L,
// "services":{NAME:BACKENDS,...},"origin":TEXT}. Every other one has "at_ms" and "event":
// "requests" (with "service" and "keys"), or a fault (with "for_ms", and "target" unless it is
// the store): "table_down", "kill_node", "stop_node", "freeze_node", "kill_backend",
// "freeze_backend", "drain_backend". Targets are "node-1", "SERVICE-03".
#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "wire/time.h"

namespace ladderstream::replay {

/// Requests that came at about the same time.
struct Batch {
  Duration at;
  std::string service;
  std::vector<ownership::Key> keys;
};

enum class FaultKind {
  kStoreDown,
  kNodeKilled,
  kNodeStopped,
  kNodeFrozen,
  kBackendKilled,
  kBackendFrozen,
  kBackendDrained,
};

struct Fault {
  Duration at;
  /// After this it is over: what ended is started again.
  Duration length;
  FaultKind kind = FaultKind::kStoreDown;
  /// Of a back end.
  std::string service;
  /// Of the node, or of the back end within its service.
  size_t number = 0;
};

struct Trace {
  size_t nodes = 0;
  Duration length;
  /// How many back ends each has.
  std::map<std::string, size_t> services;
  std::vector<Batch> batches;
  std::vector<Fault> faults;
};

/// Bounds on what a replay gives.
struct Expectation {
  /// The least share of the requests that is answered within a second.
  double in_time_share = 1;
  /// The most work of one back end of a service over the mean.
  double imbalance = 1;
  /// The most keys that change owners, as a share of all keys, summed up.
  double churn = 0;
  /// The longest that a request waits for an owner who serves.
  Duration unavailable;
};

/// Throws Error(kMalformedMessage) that names the line.
Trace ReadTrace(std::istream& input);
/// Throws Error(kMalformedMessage) when a bound is missing.
Expectation ReadExpectation(std::istream& input);

}  // namespace ladderstream::replay
