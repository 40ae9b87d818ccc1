// What the operator and the platform declare: routes, services, limits and back ends.
//
// Plain values without behaviour; every node holds the newest of each that it has seen.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::catalog {

/// Whether a request of a route may run more than once.
enum class Repeatability { kRepeatable, kAtMostOnce };

/// One part of a traffic split.
struct RouteTarget {
  std::string service;
  /// Its share is this over the sum of the route's weights.
  double weight = 1;
  bool operator==(const RouteTarget&) const = default;
};

/// Which requests go to which service, and what they are allowed.
struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  Repeatability repeatability = Repeatability::kAtMostOnce;
  /// The longest time a request is held; infinite when the operator gives none.
  Duration timeout = absl::InfiniteDuration();
  /// Inside this time an answer is worth its full value.
  Duration target_latency = absl::InfiniteDuration();
  /// The most back ends that one request may be sent to.
  uint32_t max_attempts = 1;
  /// 0 is the highest rank.
  uint32_t priority = 0;
  /// At least one.
  std::vector<RouteTarget> targets;
  bool operator==(const Route&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  /// Connections that one back end takes from all nodes together; 0 when unknown.
  uint32_t max_connections = 0;
  /// Whether each back end owns a part of the keys.
  bool sharded = false;
  /// How long keys that came without a handover are slow.
  Duration warmup = absl::ZeroDuration();
  /// How long a back end is cold from a start during traffic.
  Duration cold_time = absl::ZeroDuration();
  /// What a cold back end bears, from all nodes together; 0: no bound is known.
  double cold_requests_per_second = 0;
  bool operator==(const Service&) const = default;
};

/// What callers may send, and how long they may take.
struct Limits {
  size_t max_header_bytes = 16384;
  size_t max_body_bytes = 64U << 20U;
  Duration header_timeout = absl::Seconds(5);
  Duration idle_timeout = absl::Seconds(30);
  bool operator==(const Limits&) const = default;
};

/// One version of everything the operator declares.
struct Configuration {
  /// 0: none is known yet.
  uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service> services;
  Limits limits;
  bool operator==(const Configuration&) const = default;
};

/// One incarnation of a back end, as it registered itself.
struct Backend {
  /// Unique to this incarnation: a restarted back end has another. See IncarnationId.
  std::string id;
  /// The Unix millisecond of its start; 0 when it does not tell.
  uint64_t started_at_ms = 0;
  std::string service;
  Endpoint address;
  std::string zone;
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer it is slow from its start, as of when the row was written.
  Duration cold_left = absl::ZeroDuration();

  // What BackendRegistry adds:

  /// The operator has emptied its zone.
  bool evacuated = false;
  /// It is slow from a start, or taken to be, until then.
  Time cold_until = absl::InfinitePast();
  /// Of its service.
  double cold_requests_per_second = 0;

  /// It is to get no new work, and its keys go elsewhere.
  bool Leaves() const { return draining || evacuated; }
  /// It is cold, and bears only so many requests a second meanwhile.
  bool BoundedByCold(Time now) const { return now < cold_until && cold_requests_per_second > 0; }
  bool operator==(const Backend&) const = default;
};

}  // namespace ladderstream::catalog
