#include "core/changes/validation.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/changes/fault_collector.h"

namespace ladderstream::changes {
namespace {

bool IsName(const std::string& text) {
  const auto allowed = [](char c) {
    return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

void RequireName(const std::string& name, const FaultCollector& at) {
  if (!IsName(name)) {
    at.AddInvalid(name, absl::StrCat("1 to ", kMaxNameLength, " characters of [A-Za-z0-9._-]"));
  }
}

bool IsHost(const std::string& host) {
  const auto allowed = [](char c) {
    return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '.' || c == '-';
  };
  return !host.empty() && host.size() <= kMaxHostLength &&
         std::all_of(host.begin(), host.end(), allowed);
}

/// Returns whether `path` begins with a slash and contains only characters that are valid in the
/// path of a request line.
bool IsPath(const std::string& path) {
  const auto allowed = [](char c) { return absl::ascii_isgraph(c) && c != '?' && c != '#'; };
  return !path.empty() && path.size() <= kMaxPathLength && path.front() == '/' &&
         std::all_of(path.begin(), path.end(), allowed);
}

/// Adds a fault unless `time` is in (0, kMaxDuration] or equals `none`, the field's value for "no
/// limit".
void RequireDuration(Duration time, Duration none, const FaultCollector& at) {
  if (time == none) {
    return;
  }
  if (time <= absl::ZeroDuration() || time > kMaxDuration) {
    at.AddInvalid(absl::FormatDuration(time),
                  absl::StrCat("more than 0, at most ", absl::FormatDuration(kMaxDuration)));
  }
}

void CheckService(const catalog::Service& service, const FaultCollector& at) {
  RequireName(service.name, at.Field("name"));
  if (!service.health_path.empty() && !IsPath(service.health_path)) {
    at.Field("health_path")
        .AddInvalid(service.health_path, "empty, or a path that begins with a slash");
  }
  at.Field("max_connections").RequireInRange(service.max_connections, 0, kMaxConnectionsPerBackend);
  RequireDuration(service.warmup, absl::ZeroDuration(), at.Field("warmup_ms"));
}

void CheckTargets(const catalog::Configuration& configuration, const catalog::Route& route,
                  const FaultCollector& at) {
  at.Field("count").RequireInRange(route.targets.size(), 1, kMaxTargetsPerRoute);
  absl::flat_hash_set<std::string> services;
  double sum = 0;
  for (const catalog::RouteTarget& target : route.targets) {
    const FaultCollector target_at = at.Element(target.service);
    if (!configuration.services.contains(target.service)) {
      target_at.Field("service").Add(ResultCode::kUnknownName, target.service,
                                     "the name of a service");
    }
    if (!services.insert(target.service).second) {
      target_at.Field("service").AddInvalid(target.service, "each service at most once");
    }
    if (!std::isfinite(target.weight) || target.weight < 0 || target.weight > kMaxTargetWeight) {
      target_at.Field("weight").AddInvalid(
          absl::StrCat(target.weight),
          absl::StrCat("a finite number from 0 to ", kMaxTargetWeight));
    }
    sum += target.weight;
  }
  if (!route.targets.empty() && !(sum > 0)) {
    at.AddInvalid(absl::StrCat(sum), "weights that are more than 0 together");
  }
}

void CheckRoute(const catalog::Configuration& configuration, const catalog::Route& route,
                const FaultCollector& at) {
  RequireName(route.name, at.Field("name"));
  if (!IsHost(route.host)) {
    at.Field("host").AddInvalid(route.host,
                                absl::StrCat("1 to ", kMaxHostLength, " characters of [a-z0-9.-]"));
  }
  if (!IsPath(route.path_prefix) || route.path_prefix.back() != '/') {
    at.Field("path_prefix")
        .AddInvalid(route.path_prefix, "a path that begins and ends with a slash");
  }
  RequireDuration(route.timeout, absl::InfiniteDuration(), at.Field("timeout_ms"));
  RequireDuration(route.target_latency, absl::InfiniteDuration(), at.Field("target_latency_ms"));
  at.Field("max_attempts").RequireInRange(route.max_attempts, 1, kMaxAttemptsPerRequest);
  at.Field("priority").RequireInRange(route.priority, 0, kMaxPriority);
  CheckTargets(configuration, route, at.Field("targets"));
}

/// Adds a fault for each route that repeats the host and path prefix of an earlier one: the same
/// requests would match both, and only one of them could be used.
void CheckRoutesUnique(const catalog::Configuration& configuration, const FaultCollector& at) {
  absl::flat_hash_map<std::pair<std::string, std::string>, std::string> routes_by_prefix;
  for (const catalog::Route& route : configuration.routes) {
    const auto [first, inserted] =
        routes_by_prefix.try_emplace({route.host, route.path_prefix}, route.name);
    if (!inserted) {
      at.Element(route.name)
          .Field("path_prefix")
          .Add(ResultCode::kAlreadyExists, route.path_prefix,
               absl::StrCat("a prefix that route ", first->second,
                            " of the same host does not use"));
    }
  }
}

void CheckLimits(const catalog::Limits& limits, const FaultCollector& at) {
  at.Field("max_header_bytes")
      .RequireInRange(limits.max_header_bytes, kMinHeaderBytes, kMaxHeaderBytes);
  at.Field("max_body_bytes").RequireInRange(limits.max_body_bytes, 1, kMaxBodyBytes);
  RequireDuration(limits.header_timeout, absl::InfiniteDuration(), at.Field("header_timeout_ms"));
  RequireDuration(limits.idle_timeout, absl::InfiniteDuration(), at.Field("idle_timeout_ms"));
}

}  // namespace

std::vector<ConfigurationFault> Validate(const catalog::Configuration& configuration) {
  std::vector<ConfigurationFault> faults;
  const FaultCollector root("", &faults);
  const FaultCollector services = root.Field("services");
  const FaultCollector routes = root.Field("routes");
  services.Field("count").RequireInRange(configuration.services.size(), 0, kMaxServices);
  routes.Field("count").RequireInRange(configuration.routes.size(), 0, kMaxRoutes);
  for (const auto& [name, service] : configuration.services) {
    CheckService(service, services.Element(name));
  }
  for (const catalog::Route& route : configuration.routes) {
    CheckRoute(configuration, route, routes.Element(route.name));
  }
  CheckRoutesUnique(configuration, routes);
  CheckLimits(configuration.limits, root.Field("limits"));
  return faults;
}

bool IsOperationId(const std::string& id) { return IsName(id); }

}  // namespace ladderstream::changes
