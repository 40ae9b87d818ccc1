#include "standin/fleet/route_swaps.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>

namespace ladderstream::fleet {
namespace {

constexpr char kHost[] = "probe.example";
constexpr size_t kRoutes = 4;
constexpr Duration kTimeout = absl::Seconds(1);
/// Of the larger part of a split.
constexpr double kLargeWeight = 3;

std::string PrefixOf(size_t route) { return absl::StrCat("/probe-", route, "/"); }

catalog::Route MakeRoute(size_t number, const std::string& service) {
  catalog::Route route;
  route.name = absl::StrCat("route-probe-", number);
  route.host = kHost;
  route.path_prefix = PrefixOf(number);
  route.repeatability = catalog::Repeatability::kRepeatable;
  route.timeout = kTimeout;
  route.target_latency = absl::Milliseconds(400);
  route.max_attempts = 2;
  route.priority = 1;
  route.targets = {{.service = service, .weight = 1}};
  return route;
}

std::vector<std::string> ServicesWithoutKeys(const catalog::Configuration& configuration) {
  std::vector<std::string> services;
  for (const auto& [name, service] : configuration.services) {
    if (!service.sharded) {
      services.push_back(name);
    }
  }
  return services;
}

/// Moves the route to the next of `services`, or splits it among the first two.
void Retarget(catalog::Route* route, const std::vector<std::string>& services, uint64_t choice) {
  constexpr uint64_t kSplitOneIn = 4;
  if (choice % kSplitOneIn == 0 && services.size() > 1) {
    route->targets = {{.service = services[0], .weight = kLargeWeight},
                      {.service = services[1], .weight = 1}};
    return;
  }
  const auto current = std::find(services.begin(), services.end(), route->targets.front().service);
  const size_t next = static_cast<size_t>(current - services.begin()) + 1;
  route->targets = {{.service = services[next % services.size()], .weight = 1}};
}

}  // namespace

void AddSwappedRoutes(catalog::Configuration* configuration) {
  const std::vector<std::string> services = ServicesWithoutKeys(*configuration);
  for (size_t route = 0; route < kRoutes; ++route) {
    configuration->routes.push_back(MakeRoute(route, services[route % services.size()]));
  }
}

RouteSwaps::RouteSwaps() {
  for (size_t route = 0; route < kRoutes; ++route) {
    places_.push_back({kHost, PrefixOf(route), /*keyed=*/false, /*spelled_anew=*/false});
  }
}

std::vector<size_t> RouteSwaps::Change(uint64_t target, std::mt19937_64* random,
                                       catalog::Configuration* next) const {
  const size_t number = target % kRoutes;
  const std::string name = MakeRoute(number, "").name;
  const std::vector<std::string> services = ServicesWithoutKeys(*next);
  const auto route = std::find_if(next->routes.begin(), next->routes.end(),
                                  [&name](const catalog::Route& one) { return one.name == name; });
  const uint64_t choice = (*random)();
  constexpr uint64_t kRemoveOneIn = 5;
  if (route == next->routes.end()) {
    next->routes.push_back(MakeRoute(number, services[choice % services.size()]));
  } else if (choice % kRemoveOneIn == 0) {
    next->routes.erase(route);
  } else {
    Retarget(&*route, services, choice / kRemoveOneIn);
  }
  std::vector<size_t> all(kRoutes);
  std::iota(all.begin(), all.end(), 0U);
  return all;
}

}  // namespace ladderstream::fleet
