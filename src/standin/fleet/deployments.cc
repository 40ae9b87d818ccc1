#include "standin/fleet/deployments.h"

#include <absl/strings/str_cat.h>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

/// A service with the one route to it and the calls on that route.
struct ServicePlan {
  std::string name;
  std::string request;
  bool sharded = false;
  bool repeatable = true;
  bool fresh_connections = false;
  uint32_t backends_per_zone = 1;
  uint32_t slots = 2;
  Duration service_time;
  Duration target_latency = absl::Milliseconds(200);
  Duration timeout = absl::Seconds(1);
  Duration deadline = absl::Seconds(1);
  double per_second = 0;
  uint32_t retries = 2;
};

ServiceSpec MakeSpec(const ServicePlan& plan) {
  ServiceSpec spec;
  spec.name = plan.name;
  spec.sharded = plan.sharded;
  spec.backends_per_zone = plan.backends_per_zone;
  spec.slots = plan.slots;
  spec.service_time = plan.service_time;
  return spec;
}

catalog::Route MakeRoute(const ServicePlan& plan, const RequestClass& request_class) {
  catalog::Route route;
  route.name = absl::StrCat("route-", plan.name);
  route.host = request_class.host;
  route.path_prefix = request_class.path_prefix;
  route.repeatability =
      plan.repeatable ? catalog::Repeatability::kRepeatable : catalog::Repeatability::kAtMostOnce;
  route.timeout = plan.timeout;
  route.target_latency = plan.target_latency;
  route.max_attempts = 2;
  route.priority = plan.repeatable ? 2 : 1;
  route.targets = {{.service = plan.name, .weight = 1}};
  return route;
}

RequestClass MakeClass(const ServicePlan& plan) {
  constexpr size_t kOrderBytes = 1200;
  RequestClass request_class;
  request_class.name = plan.request;
  request_class.host = absl::StrCat(plan.name, ".example");
  request_class.path_prefix = absl::StrCat("/", plan.name, "/");
  request_class.repeatable = plan.repeatable;
  request_class.keyed = plan.sharded;
  request_class.per_second = plan.per_second;
  request_class.deadline = plan.deadline;
  request_class.retries = plan.retries;
  request_class.fresh_connections = plan.fresh_connections;
  request_class.body_bytes = plan.repeatable ? 0 : kOrderBytes;
  return request_class;
}

Deployment Build(const std::vector<ServicePlan>& plans) {
  Deployment deployment;
  catalog::Configuration& configuration = deployment.fleet.configuration;
  configuration.limits.header_timeout = absl::Seconds(3);
  configuration.limits.idle_timeout = absl::Seconds(15);
  for (const ServicePlan& plan : plans) {
    const ServiceSpec spec = MakeSpec(plan);
    const RequestClass request_class = MakeClass(plan);
    deployment.fleet.services.push_back(spec);
    deployment.load.push_back(request_class);
    configuration.routes.push_back(MakeRoute(plan, request_class));
    catalog::Service& service = configuration.services[spec.name];
    service.name = spec.name;
    service.health_path = spec.health_path;
    service.max_connections = spec.max_connections;
    service.sharded = spec.sharded;
    service.warmup = spec.warmup;
  }
  return deployment;
}

Deployment Bretagne() {
  return Build({{.name = "scripts",
                 .request = "script-step",
                 .sharded = true,
                 .backends_per_zone = 5,
                 .service_time = absl::Milliseconds(60),
                 .target_latency = absl::Milliseconds(200),
                 .timeout = absl::Milliseconds(1200),
                 .deadline = absl::Milliseconds(1200),
                 .per_second = 192},
                {.name = "bookings",
                 .request = "callback-booking",
                 .repeatable = false,
                 .backends_per_zone = 3,
                 .service_time = absl::Milliseconds(78),
                 .target_latency = absl::Milliseconds(250),
                 .timeout = absl::Milliseconds(800),
                 .deadline = absl::Milliseconds(1500),
                 .per_second = 70},
                {.name = "cards",
                 .request = "customer-card",
                 .fresh_connections = true,
                 .backends_per_zone = 4,
                 .service_time = absl::Milliseconds(150),
                 .target_latency = absl::Milliseconds(400),
                 .timeout = absl::Milliseconds(1200),
                 .deadline = absl::Milliseconds(2500),
                 .per_second = 66}});
}

Deployment Tirol() {
  return Build({{.name = "boards",
                 .request = "board-read",
                 .sharded = true,
                 .backends_per_zone = 5,
                 .slots = 3,
                 .service_time = absl::Milliseconds(90),
                 .target_latency = absl::Milliseconds(300),
                 .timeout = absl::Milliseconds(800),
                 .deadline = absl::Milliseconds(800),
                 .per_second = 245,
                 .retries = 1},
                {.name = "purchases",
                 .request = "pack-buy",
                 .repeatable = false,
                 .backends_per_zone = 2,
                 .slots = 3,
                 .service_time = absl::Milliseconds(120),
                 .target_latency = absl::Milliseconds(400),
                 .timeout = absl::Milliseconds(1000),
                 .deadline = absl::Milliseconds(1000),
                 .per_second = 77,
                 .retries = 1},
                {.name = "albums",
                 .request = "album-read",
                 .fresh_connections = true,
                 .backends_per_zone = 4,
                 .slots = 3,
                 .service_time = absl::Milliseconds(220),
                 .target_latency = absl::Milliseconds(600),
                 .timeout = absl::Milliseconds(1500),
                 .deadline = absl::Milliseconds(1500),
                 .per_second = 86,
                 .retries = 1}});
}

/// 201 back ends, and a fifth of the requests that they could serve.
Deployment Texas() {
  return Build({{.name = "seatmap",
                 .request = "seatmap-read",
                 .backends_per_zone = 25,
                 .slots = 6,
                 .service_time = absl::Milliseconds(220),
                 .target_latency = absl::Milliseconds(500),
                 .timeout = absl::Milliseconds(1200),
                 .deadline = absl::Milliseconds(2500),
                 .per_second = 150,
                 .retries = 1},
                {.name = "settlement",
                 .request = "settle-purchase",
                 .repeatable = false,
                 .backends_per_zone = 10,
                 .slots = 6,
                 .service_time = absl::Milliseconds(290),
                 .target_latency = absl::Milliseconds(800),
                 .timeout = absl::Milliseconds(1500),
                 .deadline = absl::Milliseconds(3000),
                 .per_second = 50,
                 .retries = 1},
                {.name = "listings",
                 .request = "listing-history",
                 .sharded = true,
                 .backends_per_zone = 32,
                 .slots = 6,
                 .service_time = absl::Milliseconds(550),
                 .target_latency = absl::Seconds(3),
                 .timeout = absl::Seconds(3),
                 .deadline = absl::Seconds(6),
                 .per_second = 80,
                 .retries = 1}});
}

}  // namespace

Deployment SmallDeployment() {
  return Build({{.name = "scripts",
                 .request = "script",
                 .sharded = true,
                 .service_time = absl::Milliseconds(10),
                 .target_latency = absl::Milliseconds(200),
                 .timeout = absl::Seconds(1),
                 .deadline = absl::Seconds(1),
                 .per_second = 80},
                {.name = "bookings",
                 .request = "booking",
                 .repeatable = false,
                 .service_time = absl::Milliseconds(15),
                 .target_latency = absl::Milliseconds(200),
                 .timeout = absl::Seconds(1),
                 .deadline = absl::Seconds(1),
                 .per_second = 40},
                {.name = "cards",
                 .request = "card",
                 .fresh_connections = true,
                 .service_time = absl::Milliseconds(20),
                 .target_latency = absl::Milliseconds(400),
                 .timeout = absl::Seconds(1),
                 .deadline = absl::Seconds(1),
                 .per_second = 40}});
}

Deployment FindDeployment(const std::string& name) {
  if (name == "small") {
    return SmallDeployment();
  }
  if (name == "bretagne") {
    return Bretagne();
  }
  if (name == "tirol") {
    return Tirol();
  }
  if (name == "texas") {
    return Texas();
  }
  throw Error(ResultCode::kUnknownName,
              absl::StrCat("deployment \"", name, "\": want small, bretagne, tirol or texas"));
}

void AddUnaskedServices(Deployment* deployment) {
  const Deployment added =
      Build({{.name = "archive",
              .request = "archive-read",
              .sharded = true,
              .service_time = absl::Milliseconds(20)},
             {.name = "spare", .request = "spare-read", .service_time = absl::Milliseconds(20)}});
  FleetSettings& fleet = deployment->fleet;
  fleet.services.insert(fleet.services.end(), added.fleet.services.begin(),
                        added.fleet.services.end());
  fleet.configuration.services.insert(added.fleet.configuration.services.begin(),
                                      added.fleet.configuration.services.end());
}

}  // namespace ladderstream::fleet
