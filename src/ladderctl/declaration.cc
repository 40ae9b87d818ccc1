#include "ladderctl/declaration.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <toml.hpp>
#include <utility>
#include <vector>

#include "ladderctl/usage_error.h"

namespace ladderstream::ladderctl {
namespace {

void ApplyTargets(const std::string& text, proto::Route* route) {
  route->clear_targets();
  for (const std::string& item :
       std::vector<std::string>(absl::StrSplit(text, ',', absl::SkipEmpty()))) {
    const std::pair<std::string, std::string> parts = absl::StrSplit(item, absl::MaxSplits(':', 1));
    double weight = 1;
    if (absl::StrContains(item, ':') && !absl::SimpleAtod(parts.second, &weight)) {
      throw UsageError(absl::StrCat("--targets: \"", item,
                                    "\"; allowed: SERVICE or SERVICE:WEIGHT, such as scripts:90"));
    }
    proto::RouteTarget* const target = route->add_targets();
    target->set_service(parts.first);
    target->set_weight(weight);
  }
}

nlohmann::json ToJson(const toml::value& value) {
  if (value.is_table()) {
    nlohmann::json object = nlohmann::json::object();
    for (const auto& [name, member] : value.as_table()) {
      object[name] = ToJson(member);
    }
    return object;
  }
  if (value.is_array()) {
    nlohmann::json array = nlohmann::json::array();
    for (const toml::value& item : value.as_array()) {
      array.push_back(ToJson(item));
    }
    return array;
  }
  if (value.is_boolean()) {
    return value.as_boolean();
  }
  if (value.is_integer()) {
    return value.as_integer();
  }
  if (value.is_floating()) {
    return value.as_floating();
  }
  return value.is_string() ? value.as_string().str : toml::format(value);
}

nlohmann::json ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw UsageError(absl::StrCat(path, ": allowed: a file that can be read"));
  }
  try {
    return absl::EndsWith(path, ".toml") ? ToJson(toml::parse(file, path))
                                         : nlohmann::json::parse(file);
  } catch (const std::exception& error) {
    throw UsageError(absl::StrCat(path, ": ", error.what()));
  }
}

}  // namespace

void ApplyOptions(const ServiceOptions& options, proto::Service* service) {
  if (options.sharded) {
    service->set_sharded(*options.sharded);
  }
  if (options.warmup_ms) {
    service->set_warmup_ms(*options.warmup_ms);
  }
  if (options.health_path) {
    service->set_health_path(*options.health_path);
  }
  if (options.max_connections) {
    service->set_max_connections(*options.max_connections);
  }
}

void ApplyOptions(const RouteOptions& options, proto::Route* route) {
  if (options.host) {
    route->set_host(*options.host);
  }
  if (options.path_prefix) {
    route->set_path_prefix(*options.path_prefix);
  }
  if (options.repeatable) {
    route->set_repeatable(*options.repeatable);
  }
  if (options.timeout_ms) {
    route->set_timeout_ms(*options.timeout_ms);
  }
  if (options.target_latency_ms) {
    route->set_target_latency_ms(*options.target_latency_ms);
  }
  if (options.max_attempts) {
    route->set_max_attempts(*options.max_attempts);
  }
  if (options.priority) {
    route->set_priority(*options.priority);
  }
  if (options.targets) {
    ApplyTargets(*options.targets, route);
  }
}

void ApplyOptions(const LimitsOptions& options, proto::Limits* limits) {
  if (options.max_header_bytes) {
    limits->set_max_header_bytes(*options.max_header_bytes);
  }
  if (options.max_body_bytes) {
    limits->set_max_body_bytes(*options.max_body_bytes);
  }
  if (options.header_timeout_ms) {
    limits->set_header_timeout_ms(*options.header_timeout_ms);
  }
  if (options.idle_timeout_ms) {
    limits->set_idle_timeout_ms(*options.idle_timeout_ms);
  }
}

proto::GetConfigurationResponse ReadDeclaration(const std::string& path) {
  const nlohmann::json content = ReadFile(path);
  proto::GetConfigurationResponse declaration;
  const auto status = google::protobuf::util::JsonStringToMessage(content.dump(), &declaration);
  if (!status.ok()) {
    throw UsageError(absl::StrCat(path, ": ", std::string(status.message()),
                                  "; allowed: the fields of Service, Route and Limits in "
                                  "proto/operators.proto"));
  }
  return declaration;
}

std::string TargetsText(const proto::Route& route) {
  return absl::StrJoin(route.targets(), ",",
                       [](std::string* out, const proto::RouteTarget& target) {
                         absl::StrAppend(out, target.service(), ":", target.weight());
                       });
}

}  // namespace ladderstream::ladderctl
