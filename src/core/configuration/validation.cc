#include "core/configuration/validation.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <string>
#include <utility>

#include "core/configuration/fault_collector.h"

namespace ladderstream::configuration {
namespace {

/// A key prefix and the service that declares it.
struct DeclaredPrefix {
  std::string prefix;
  ServiceName service;
};

bool IsName(const std::string& name) {
  const auto allowed = [](char c) {
    return absl::ascii_islower(c) || absl::ascii_isdigit(c) || c == '-';
  };
  return !name.empty() && name.size() <= kMaxNameLength && absl::ascii_islower(name.front()) &&
         std::all_of(name.begin(), name.end(), allowed);
}

void RequireName(const std::string& name, const FaultCollector& at) {
  if (!IsName(name)) {
    at.AddInvalid(name, absl::StrCat("1 to ", kMaxNameLength,
                                     " characters of a-z, 0-9 and '-', beginning with a letter"));
  }
}

bool IsIpNumber(const std::string& host) {
  in_addr v4{};
  in6_addr v6{};
  return inet_pton(AF_INET, host.c_str(), &v4) == 1 || inet_pton(AF_INET6, host.c_str(), &v6) == 1;
}

void RequireWeight(double weight, const FaultCollector& at) {
  if (!std::isfinite(weight) || weight < 0 || weight > kMaxWeight) {
    at.AddInvalid(absl::StrCat(weight), absl::StrCat("a finite number from 0 to ", kMaxWeight));
  }
}

void CheckWeights(const CostWeights& weights, const FaultCollector& at) {
  RequireWeight(weights.imbalance, at.Field("imbalance"));
  RequireWeight(weights.churn, at.Field("churn"));
  RequireWeight(weights.unavailable_time, at.Field("unavailable_time"));
  if (weights.imbalance == 0 && weights.churn == 0 && weights.unavailable_time == 0) {
    at.AddInvalid("0, 0, 0", "at least one weight above 0");
  }
}

void CheckLimits(const ServiceLimits& limits, const FaultCollector& at) {
  at.Field("max_body_bytes").RequireInRange(limits.max_body_bytes, 1, kMaxBodyBytes);
  at.Field("max_key_bytes").RequireInRange(limits.max_key_bytes, 1, kMaxKeyBytes);
  at.Field("max_queue").RequireInRange(limits.max_queue, 1, kMaxQueue);
  at.Field("retry_budget_permille").RequireInRange(limits.retry_budget_permille, 0, kMaxPermille);
  at.Field("hedge_after_ms").RequireInRange(limits.hedge_after_ms, 0, kMaxDeadlineMs);
}

void CheckRequests(const std::vector<RequestRule>& rules, const FaultCollector& at) {
  at.Field("count").RequireInRange(rules.size(), 1, kMaxRequestRules);
  absl::flat_hash_set<std::string> names;
  for (const RequestRule& rule : rules) {
    const FaultCollector rule_at = at.Element(rule.name);
    RequireName(rule.name, rule_at.Field("name"));
    if (!names.insert(rule.name).second) {
      rule_at.Field("name").AddInvalid(rule.name, "each request name once");
    }
    if (rule.priority > Priority::kBulk) {
      rule_at.Field("priority")
          .AddInvalid(absl::StrCat(static_cast<int>(rule.priority)), "critical, normal or bulk");
    }
    rule_at.Field("default_deadline_ms")
        .RequireInRange(rule.default_deadline_ms, 1, kMaxDeadlineMs);
  }
}

void CheckKeyPrefixes(const ServiceConfiguration& service, const FaultCollector& at) {
  const bool needs_keys = service.routing == RoutingKind::kByKey;
  at.Field("count").RequireInRange(service.key_prefixes.size(), needs_keys ? 1 : 0,
                                   kMaxKeyPrefixes);
  for (const std::string& prefix : service.key_prefixes) {
    if (prefix.size() > service.limits.max_key_bytes) {
      at.Element(prefix).AddInvalid(
          prefix,
          absl::StrCat("at most limits.max_key_bytes = ", service.limits.max_key_bytes, " bytes"));
    }
  }
}

void CheckService(const ServiceConfiguration& service, const FaultCollector& at) {
  RequireName(service.name.value(), at.Field("name"));
  if (service.routing != RoutingKind::kByKey && service.routing != RoutingKind::kByLoad) {
    at.Field("routing").AddInvalid(absl::StrCat(static_cast<int>(service.routing)),
                                   "by-key or by-load");
  }
  if (!std::has_single_bit(service.range_count) || service.range_count > kMaxRangeCount) {
    at.Field("range_count")
        .AddInvalid(absl::StrCat(service.range_count),
                    absl::StrCat("a power of two from 1 to ", kMaxRangeCount));
  }
  CheckKeyPrefixes(service, at.Field("key_prefixes"));
  CheckRequests(service.requests, at.Field("requests"));
  CheckLimits(service.limits, at.Field("limits"));
  CheckWeights(service.weights, at.Field("weights"));
}

void CheckServiceNames(const Configuration& configuration, const FaultCollector& at) {
  absl::flat_hash_set<ServiceName> names;
  for (const ServiceConfiguration& service : configuration.services) {
    if (!names.insert(service.name).second) {
      at.Element(service.name.value())
          .Field("name")
          .Add(ResultCode::kAlreadyExists, service.name.value(), "each service name once");
    }
  }
}

/// In sorted order a prefix that covers others stands before them, with only covered ones between.
void CheckPrefixOverlap(const Configuration& configuration, const FaultCollector& at) {
  std::vector<DeclaredPrefix> declared;
  for (const ServiceConfiguration& service : configuration.services) {
    for (const std::string& prefix : service.key_prefixes) {
      declared.push_back({prefix, service.name});
    }
  }
  std::sort(declared.begin(), declared.end(), [](const auto& left, const auto& right) {
    return std::tie(left.prefix, left.service) < std::tie(right.prefix, right.service);
  });
  const DeclaredPrefix* covering = nullptr;
  for (const DeclaredPrefix& current : declared) {
    if (covering == nullptr || !absl::StartsWith(current.prefix, covering->prefix)) {
      covering = &current;
      continue;
    }
    at.Element(current.service.value())
        .Field("key_prefixes")
        .Element(current.prefix)
        .Add(ResultCode::kKeysOverlap, current.prefix,
             absl::StrCat("no prefix that begins with \"", covering->prefix, "\" of service ",
                          covering->service.value()));
  }
}

void CheckBackend(const BackendConfiguration& backend, const FaultCollector& at) {
  RequireName(backend.id.value(), at.Field("id"));
  if (backend.zone.empty() || backend.zone.size() > kMaxNameLength) {
    at.Field("zone").AddInvalid(backend.zone, absl::StrCat("1 to ", kMaxNameLength, " characters"));
  }
  if (!IsIpNumber(backend.endpoint.host) || backend.endpoint.port == 0) {
    // Port zero stands for an address that could not be read; the host is then its whole text.
    const bool was_read = backend.endpoint.port != 0;
    at.Field("endpoint")
        .AddInvalid(was_read ? FormatEndpoint(backend.endpoint) : backend.endpoint.host,
                    "an IP number and a port from 1 to 65535");
  }
  at.Field("slots").RequireInRange(backend.slots, 1, kMaxSlots);
  at.Field("max_connections")
      .RequireInRange(backend.max_connections, std::max(1U, std::min(backend.slots, kMaxSlots)),
                      kMaxBackendConnections);
}

void CheckBackends(const Configuration& configuration, const FaultCollector& at) {
  absl::flat_hash_set<ServiceName> services;
  for (const ServiceConfiguration& service : configuration.services) {
    services.insert(service.name);
  }
  absl::flat_hash_set<BackendId> ids;
  absl::flat_hash_map<std::string, BackendId> endpoints;
  for (const BackendConfiguration& backend : configuration.backends) {
    const FaultCollector backend_at = at.Element(backend.id.value());
    CheckBackend(backend, backend_at);
    if (!services.contains(backend.service)) {
      backend_at.Field("service").Add(ResultCode::kUnknownName, backend.service.value(),
                                      "the name of a service");
    }
    if (!ids.insert(backend.id).second) {
      backend_at.Field("id").Add(ResultCode::kAlreadyExists, backend.id.value(),
                                 "each back end id once");
    }
    const auto [taken, is_new] =
        endpoints.try_emplace(FormatEndpoint(backend.endpoint), backend.id);
    if (!is_new) {
      backend_at.Field("endpoint")
          .Add(ResultCode::kAlreadyExists, taken->first,
               absl::StrCat("an address that ", taken->second.value(), " does not have"));
    }
  }
}

}  // namespace

std::vector<ConfigurationFault> Validate(const Configuration& configuration) {
  std::vector<ConfigurationFault> faults;
  const FaultCollector root("", &faults);
  const FaultCollector services = root.Field("services");
  const FaultCollector backends = root.Field("backends");
  services.Field("count").RequireInRange(configuration.services.size(), 0, kMaxServices);
  backends.Field("count").RequireInRange(configuration.backends.size(), 0, kMaxBackends);
  for (const ServiceConfiguration& service : configuration.services) {
    CheckService(service, services.Element(service.name.value()));
  }
  CheckServiceNames(configuration, services);
  CheckPrefixOverlap(configuration, services);
  CheckBackends(configuration, backends);
  return faults;
}

bool IsOperationId(const std::string& id) {
  const auto allowed = [](char c) {
    return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
  };
  return !id.empty() && id.size() <= kMaxNameLength && std::all_of(id.begin(), id.end(), allowed);
}

}  // namespace ladderstream::configuration
