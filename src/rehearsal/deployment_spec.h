// The deployments that can be rehearsed: zones, services, back ends and the mix of requests.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

#include "rehearsal/load_generator.h"
#include "wire/configuration.h"

namespace ladderstream::rehearsal {

/// One service, its back ends and what is asked of it.
struct ServiceSpec {
  /// As declared to the operators' endpoint.
  ServiceConfiguration configuration;
  uint32_t backend_count = 1;
  /// Mean time that a back end works on one request.
  absl::Duration service_time;
  /// Its share of the mix, one kind per request rule.
  std::vector<RequestKind> kinds;
};

struct DeploymentSpec {
  std::string name;
  std::string region;
  std::vector<std::string> zones;
  /// One way, between zones.
  absl::Duration zone_delay;
  /// One way, between callers and nodes.
  absl::Duration caller_delay;
  /// Of every back end.
  uint32_t slots = 2;
  uint32_t max_connections = 100;
  absl::Duration connect_cost;
  absl::Duration probe_cost;
  std::vector<ServiceSpec> services;
  /// Calls per second of all callers together.
  double rate = 1000;
  uint32_t callers = 128;
};

/// Call-centre scripts and profile cards by key, call-back bookings by load.
DeploymentSpec BretagneDeployment();

/// Puzzle boards and albums by key, payments by load.
DeploymentSpec TirolDeployment();

/// Gives the deployment of that name. Throws Error(kUnknownName).
DeploymentSpec FindDeployment(const std::string& name);

/// The name of a service's back end of that index, such as "scripts-03".
std::string BackendName(const ServiceSpec& service, uint32_t index);

/// Every kind of request of the deployment.
std::vector<RequestKind> MixOf(const DeploymentSpec& deployment);

/// The services whose keys have owners.
std::vector<std::string> KeyedServices(const DeploymentSpec& deployment);

}  // namespace ladderstream::rehearsal
