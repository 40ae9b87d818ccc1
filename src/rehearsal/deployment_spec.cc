#include "rehearsal/deployment_spec.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr uint32_t kKeysPerService = 5000;
// With 5000 keys the hottest then draws about what one of 14 back ends should carry.
constexpr double kZipfExponent = 0.9;

// How a deployment's services differ from one another.
struct ServiceTraits {
  std::string name;
  RoutingKind routing = RoutingKind::kByKey;
  std::string request = "read";
  bool repeatable = true;
  Priority priority = Priority::kNormal;
  uint32_t backend_count = 1;
  absl::Duration service_time;
  absl::Duration deadline;
  double weight = 1;
  CostWeights costs;
};

ServiceSpec MakeService(const ServiceTraits& traits) {
  ServiceSpec spec;
  spec.backend_count = traits.backend_count;
  spec.service_time = traits.service_time;
  spec.configuration.name = ServiceName(traits.name);
  spec.configuration.routing = traits.routing;
  spec.configuration.key_prefixes = {absl::StrCat(traits.name, "-")};
  spec.configuration.requests = {RequestRule{
      .name = traits.request,
      .repeatable = traits.repeatable,
      .priority = traits.priority,
      .default_deadline_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(traits.deadline))}};
  spec.configuration.weights = traits.costs;
  RequestKind kind;
  kind.service = traits.name;
  kind.request = traits.request;
  kind.repeatable = traits.repeatable;
  kind.weight = traits.weight;
  kind.key_prefix = spec.configuration.key_prefixes.front();
  kind.key_count = kKeysPerService;
  kind.zipf_exponent = kZipfExponent;
  kind.deadline = traits.deadline;
  spec.kinds = {kind};
  return spec;
}

}  // namespace

DeploymentSpec BretagneDeployment() {
  // A live caller cannot wait: unavailable time weighs most.
  const CostWeights costs{.imbalance = 1, .churn = 1, .unavailable_time = 10};
  DeploymentSpec spec;
  spec.name = "bretagne";
  spec.region = "bretagne";
  spec.zones = {"rennes", "brest", "vannes"};
  spec.zone_delay = absl::Milliseconds(1);
  spec.caller_delay = absl::Milliseconds(1);
  spec.slots = 2;
  spec.max_connections = 130;
  spec.connect_cost = absl::Milliseconds(1);
  spec.probe_cost = absl::Milliseconds(6);
  spec.services = {MakeService({.name = "scripts",
                                .backend_count = 14,
                                .service_time = absl::Milliseconds(3),
                                .deadline = absl::Milliseconds(500),
                                .weight = 5,
                                .costs = costs}),
                   MakeService({.name = "callbacks",
                                .routing = RoutingKind::kByLoad,
                                .request = "book",
                                .repeatable = false,
                                .priority = Priority::kCritical,
                                .backend_count = 7,
                                .service_time = absl::Milliseconds(5),
                                .deadline = absl::Milliseconds(2000),
                                .weight = 1,
                                .costs = costs}),
                   MakeService({.name = "cards",
                                .backend_count = 12,
                                .service_time = absl::Milliseconds(3),
                                .deadline = absl::Milliseconds(500),
                                .weight = 4,
                                .costs = costs})};
  return spec;
}

DeploymentSpec TirolDeployment() {
  // Nobody is awake to repair needless moves: churn weighs most.
  const CostWeights costs{.imbalance = 1, .churn = 10, .unavailable_time = 1};
  DeploymentSpec spec;
  spec.name = "tirol";
  spec.region = "tirol";
  spec.zones = {"innsbruck-1", "innsbruck-2", "hall"};
  spec.zone_delay = absl::Microseconds(500);
  spec.caller_delay = absl::Milliseconds(3);
  spec.slots = 3;
  spec.max_connections = 50;
  spec.connect_cost = absl::Milliseconds(1);
  spec.probe_cost = absl::ZeroDuration();
  spec.services = {MakeService({.name = "boards",
                                .backend_count = 14,
                                .service_time = absl::Milliseconds(4),
                                .deadline = absl::Milliseconds(1000),
                                .weight = 5,
                                .costs = costs}),
                   MakeService({.name = "payments",
                                .routing = RoutingKind::kByLoad,
                                .request = "purchase",
                                .repeatable = false,
                                .priority = Priority::kCritical,
                                .backend_count = 6,
                                .service_time = absl::Milliseconds(8),
                                .deadline = absl::Milliseconds(3000),
                                .weight = 1,
                                .costs = costs}),
                   MakeService({.name = "albums",
                                .priority = Priority::kBulk,
                                .backend_count = 13,
                                .service_time = absl::Milliseconds(4),
                                .deadline = absl::Milliseconds(3000),
                                .weight = 4,
                                .costs = costs})};
  return spec;
}

DeploymentSpec FindDeployment(const std::string& name) {
  for (const DeploymentSpec& spec : {BretagneDeployment(), TirolDeployment()}) {
    if (spec.name == name) {
      return spec;
    }
  }
  throw Error(ResultCode::kUnknownName,
              absl::StrCat("deployment \"", name, "\": want bretagne or tirol"));
}

std::string BackendName(const ServiceSpec& service, uint32_t index) {
  return absl::StrFormat("%s-%02d", service.configuration.name.value(), index);
}

std::vector<RequestKind> MixOf(const DeploymentSpec& deployment) {
  std::vector<RequestKind> mix;
  for (const ServiceSpec& service : deployment.services) {
    mix.insert(mix.end(), service.kinds.begin(), service.kinds.end());
  }
  return mix;
}

std::vector<std::string> KeyedServices(const DeploymentSpec& deployment) {
  std::vector<std::string> names;
  for (const ServiceSpec& service : deployment.services) {
    if (service.configuration.routing == RoutingKind::kByKey) {
      names.push_back(service.configuration.name.value());
    }
  }
  return names;
}

}  // namespace ladderstream::rehearsal
