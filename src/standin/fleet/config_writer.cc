#include "standin/fleet/config_writer.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

using nlohmann::json;

// Versions rise in uneven steps.
constexpr uint64_t kSteps[] = {2, 1, 5, 3};

json EncodeRoute(const catalog::Route& route) {
  const bool repeatable = route.repeatability == catalog::Repeatability::kRepeatable;
  json encoded = {{"host", route.host},
                  {"path_prefix", route.path_prefix},
                  {"kind", repeatable ? "safe" : "unsafe"},
                  {"priority", route.priority},
                  {"max_attempts", route.max_attempts}};
  if (route.timeout < absl::InfiniteDuration()) {
    encoded["timeout_s"] = absl::ToDoubleSeconds(route.timeout);
  }
  if (route.target_latency < absl::InfiniteDuration()) {
    encoded["target_latency_s"] = absl::ToDoubleSeconds(route.target_latency);
  }
  if (route.targets.size() == 1) {
    encoded["service"] = route.targets.front().service;
    return encoded;
  }
  json split = json::array();
  for (const catalog::RouteTarget& target : route.targets) {
    split.push_back({{"service", target.service}, {"weight", target.weight}});
  }
  encoded["traffic_split"] = split;
  return encoded;
}

json EncodeService(const catalog::Service& service) {
  json encoded = {{"health_path", service.health_path},
                  {"max_conns", service.max_connections},
                  {"protocol", "h1"},
                  {"tls", false}};
  if (service.sharded) {
    encoded["sharded"] = true;
    encoded["warmup_s"] = absl::ToDoubleSeconds(service.warmup);
    encoded["grants"] = "direct";
  }
  return encoded;
}

}  // namespace

std::string EncodeConfiguration(const catalog::Configuration& configuration,
                                uint64_t base_version) {
  json routes = json::object();
  for (const catalog::Route& route : configuration.routes) {
    routes[route.name] = EncodeRoute(route);
  }
  json services = json::object();
  for (const auto& [name, service] : configuration.services) {
    services[name] = EncodeService(service);
  }
  const catalog::Limits& limits = configuration.limits;
  return json({{"version", absl::StrCat("r", configuration.version)},
               {"routes", routes},
               {"services", services},
               {"limits",
                {{"max_header_bytes", limits.max_header_bytes},
                 {"max_body_bytes", limits.max_body_bytes},
                 {"header_timeout_s", absl::ToDoubleSeconds(limits.header_timeout)},
                 {"idle_timeout_s", absl::ToDoubleSeconds(limits.idle_timeout)}}},
               {"base_version", absl::StrCat("r", base_version)}})
      .dump();
}

bool ConfigWriter::Write(catalog::Configuration configuration) {
  const uint64_t step = kSteps[history_->configurations.size() % std::size(kSteps)];
  configuration.version = newest_.version + step;
  store::Transaction transaction;
  transaction.puts.push_back(
      {{.table = wire::kConfigurationTable, .partition = "", .key = wire::kConfigurationKey},
       EncodeConfiguration(configuration, newest_.version)});
  TransactionResult result;
  if (!store_->Transact(transaction, &result)) {
    return false;
  }
  Note(configuration);
  return true;
}

void ConfigWriter::Note(const catalog::Configuration& configuration) {
  newest_ = configuration;
  history_->configurations.push_back({.configuration = newest_, .acknowledged = EventLoop::Now()});
}

}  // namespace ladderstream::fleet
