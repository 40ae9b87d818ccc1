#include "standin/fleet/configuration_draws.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace ladderstream::fleet {
namespace {

/// Each holds the ones before it, so that a route may hide another or uncover it again.
constexpr const char* kPrefixes[] = {"/", "/probe/", "/probe/a/", "/probe/a/b.c-d/"};
constexpr const char* kHosts[] = {"probe.example", "probe-2.example", "new.probe.example"};
constexpr uint64_t kMostEdits = 3;
constexpr uint64_t kMostParts = 3;
constexpr double kWeights[] = {1, 3, 90, 0.5};
constexpr char kUnaskedPrefix[] = "route-unasked-";
/// As many as fit into a row of 64 KiB beside the others.
constexpr size_t kUnaskedRoutes = 150;
constexpr int64_t kShortestTimeoutMs = 600;
constexpr int64_t kLongestTimeoutMs = 1800;
constexpr int64_t kTargetsPerTimeout = 3;
constexpr uint64_t kMostAttempts = 4;
constexpr uint64_t kPriorities = 4;

uint64_t Below(uint64_t end, std::mt19937_64* random) { return (*random)() % end; }

std::string NameOf(size_t place) { return absl::StrCat("route-probe-", place); }

std::string DrawService(const catalog::Configuration& configuration, std::mt19937_64* random) {
  auto service = configuration.services.begin();
  std::advance(service, Below(configuration.services.size(), random));
  return service->first;
}

std::vector<catalog::RouteTarget> DrawTargets(const catalog::Configuration& configuration,
                                              std::mt19937_64* random) {
  std::vector<catalog::RouteTarget> targets;
  const uint64_t parts = 1 + Below(kMostParts, random);
  while (targets.size() < parts) {
    const std::string service = DrawService(configuration, random);
    const bool is_new = std::none_of(targets.begin(), targets.end(),
                                     [&](const auto& one) { return one.service == service; });
    if (!is_new) {
      break;
    }
    targets.push_back({service, kWeights[Below(std::size(kWeights), random)]});
  }
  if (targets.size() > 1 && Below(3, random) == 0) {
    targets.back().weight = 0;
  }
  return targets;
}

/// Settings that a route may change without other requests going elsewhere.
void Tune(std::mt19937_64* random, catalog::Route* route) {
  const uint64_t span = kLongestTimeoutMs - kShortestTimeoutMs;
  route->timeout =
      absl::Milliseconds(kShortestTimeoutMs + static_cast<int64_t>(Below(span, random)));
  route->target_latency =
      absl::Milliseconds(absl::ToInt64Milliseconds(route->timeout) / kTargetsPerTimeout);
  route->max_attempts = static_cast<uint32_t>(1 + Below(kMostAttempts, random));
  route->priority = static_cast<uint32_t>(Below(kPriorities, random));
  route->repeatability = Below(2, random) == 0 ? catalog::Repeatability::kAtMostOnce
                                               : catalog::Repeatability::kRepeatable;
}

/// Within what the callers of the load keep to.
void DrawLimits(std::mt19937_64* random, catalog::Limits* limits) {
  constexpr size_t kHeaderBytes[] = {8192, 16384, 65536};
  constexpr size_t kBodyBytes[] = {1U << 20U, 64U << 20U};
  constexpr int64_t kHeaderSeconds[] = {3, 5, 10};
  constexpr int64_t kIdleSeconds[] = {15, 20, 60};
  limits->max_header_bytes = kHeaderBytes[Below(std::size(kHeaderBytes), random)];
  limits->max_body_bytes = kBodyBytes[Below(std::size(kBodyBytes), random)];
  limits->header_timeout = absl::Seconds(kHeaderSeconds[Below(std::size(kHeaderSeconds), random)]);
  limits->idle_timeout = absl::Seconds(kIdleSeconds[Below(std::size(kIdleSeconds), random)]);
}

bool IsUnasked(const catalog::Route& route) { return absl::StartsWith(route.name, kUnaskedPrefix); }

/// Adds the routes that nobody asks for, or removes them.
void SwitchUnaskedRoutes(catalog::Configuration* next) {
  if (std::erase_if(next->routes, IsUnasked) > 0) {
    return;
  }
  for (size_t number = 0; number < kUnaskedRoutes; ++number) {
    catalog::Route route;
    route.name = absl::StrCat(kUnaskedPrefix, number);
    route.host = absl::StrCat("unasked-", number, ".example");
    route.path_prefix.assign(1, '/');
    route.targets = {{next->services.begin()->first, 1}};
    next->routes.push_back(std::move(route));
  }
}

}  // namespace

ConfigurationDraws::ConfigurationDraws(uint64_t seed) : seed_(seed) {
  for (const char* host : kHosts) {
    for (const char* prefix : kPrefixes) {
      places_.push_back({host, prefix, /*keyed=*/true, /*spelled_anew=*/true});
    }
  }
}

catalog::Route ConfigurationDraws::DrawRoute(size_t place,
                                             const catalog::Configuration& configuration,
                                             std::mt19937_64* random) const {
  catalog::Route route;
  route.name = NameOf(place);
  route.host = places_[place].host;
  route.path_prefix = places_[place].path_prefix;
  Tune(random, &route);
  route.targets = DrawTargets(configuration, random);
  return route;
}

void ConfigurationDraws::AddFirstRoutes(catalog::Configuration* configuration) const {
  constexpr size_t kFirstEveryNth = 3;
  std::mt19937_64 random(seed_);
  for (size_t place = 1; place < places_.size(); place += kFirstEveryNth) {
    configuration->routes.push_back(DrawRoute(place, *configuration, &random));
  }
}

void ConfigurationDraws::ChangeRouteOf(size_t place, std::mt19937_64* random,
                                       catalog::Configuration* next) const {
  enum : uint64_t { kRemove, kTune, kRetarget, kKinds };
  const auto route =
      std::find_if(next->routes.begin(), next->routes.end(),
                   [&](const catalog::Route& one) { return one.name == NameOf(place); });
  if (route == next->routes.end()) {
    next->routes.push_back(DrawRoute(place, *next, random));
    return;
  }
  switch (Below(kKinds, random)) {
    case kRemove:
      next->routes.erase(route);
      break;
    case kTune:
      Tune(random, &*route);
      break;
    default:
      route->targets = DrawTargets(*next, random);
  }
}

std::vector<size_t> ConfigurationDraws::Change(uint64_t target, std::mt19937_64* random,
                                               catalog::Configuration* next) const {
  constexpr uint64_t kLimitsOneIn = 6;
  constexpr uint64_t kUnaskedOneIn = 8;
  std::vector<size_t> changed;
  const uint64_t edits = 1 + Below(kMostEdits, random);
  for (uint64_t edit = 0; edit < edits; ++edit) {
    changed.push_back((target + edit * (1 + Below(places_.size() - 1, random))) % places_.size());
    ChangeRouteOf(changed.back(), random, next);
  }
  if (Below(kLimitsOneIn, random) == 0) {
    DrawLimits(random, &next->limits);
  }
  if (Below(kUnaskedOneIn, random) == 0) {
    SwitchUnaskedRoutes(next);
  }
  return changed;
}

ConfigurationEncoding ConfigurationDraws::NextEncoding(std::mt19937_64* random) const {
  return DrawEncoding(random);
}

}  // namespace ladderstream::fleet
