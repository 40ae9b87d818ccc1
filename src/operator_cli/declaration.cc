#include "operator_cli/declaration.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <toml.hpp>

#include "operator_cli/usage_error.h"

namespace ladderstream::operator_cli {
namespace {

constexpr char kRoutingPrefix[] = "ROUTING_KIND_";
constexpr char kPriorityPrefix[] = "PRIORITY_";
constexpr size_t kRequestParts = 4;
constexpr size_t kWeightParts = 3;

/// "by-key" becomes "ROUTING_KIND_BY_KEY"; what has the prefix already stays.
std::string LongName(const std::string& prefix, const std::string& text) {
  if (absl::StartsWith(text, prefix)) {
    return text;
  }
  return prefix + absl::AsciiStrToUpper(absl::StrReplaceAll(text, {{"-", "_"}}));
}

std::string ShortName(const std::string& prefix, const std::string& name) {
  return absl::AsciiStrToLower(absl::StrReplaceAll(name.substr(prefix.size()), {{"_", "-"}}));
}

proto::RoutingKind ParseRouting(const std::string& text) {
  proto::RoutingKind routing = proto::ROUTING_KIND_UNSPECIFIED;
  if (!proto::RoutingKind_Parse(LongName(kRoutingPrefix, text), &routing)) {
    throw UsageError(absl::StrCat("--routing=", text, "; allowed: by-key, by-load"));
  }
  return routing;
}

[[noreturn]] void ThrowBadRequest(const std::string& text) {
  throw UsageError(absl::StrCat("--requests: \"", text,
                                "\"; allowed: NAME:repeatable|once:critical|normal|bulk:"
                                "DEADLINE_MS, such as read:repeatable:normal:1000"));
}

proto::RequestRule ParseRequest(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  if (parts.size() != kRequestParts || (parts[1] != "repeatable" && parts[1] != "once")) {
    ThrowBadRequest(text);
  }
  proto::RequestRule rule;
  rule.set_name(parts[0]);
  rule.set_repeatable(parts[1] == "repeatable");
  proto::Priority priority = proto::PRIORITY_UNSPECIFIED;
  uint32_t deadline_ms = 0;
  const bool is_valid = proto::Priority_Parse(LongName(kPriorityPrefix, parts[2]), &priority) &&
                        absl::SimpleAtoi(parts[3], &deadline_ms);
  if (!is_valid) {
    ThrowBadRequest(text);
  }
  rule.set_priority(priority);
  rule.set_default_deadline_ms(deadline_ms);
  return rule;
}

void ApplyRequests(const std::string& text, proto::Service* service) {
  service->clear_requests();
  for (const std::string& item :
       std::vector<std::string>(absl::StrSplit(text, ',', absl::SkipEmpty()))) {
    *service->add_requests() = ParseRequest(item);
  }
}

void ApplyWeights(const std::string& text, proto::Service* service) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  std::vector<double> weights(kWeightParts);
  bool is_valid = parts.size() == kWeightParts;
  for (size_t i = 0; is_valid && i < kWeightParts; ++i) {
    is_valid = absl::SimpleAtod(parts[i], &weights[i]);
  }
  if (!is_valid) {
    throw UsageError(absl::StrCat("--weights=", text,
                                  "; allowed: IMBALANCE:CHURN:UNAVAILABLE_TIME, such as 1:1:5"));
  }
  service->mutable_weights()->set_imbalance(weights[0]);
  service->mutable_weights()->set_churn(weights[1]);
  service->mutable_weights()->set_unavailable_time(weights[2]);
}

void ApplyLimits(const ServiceOptions& options, proto::Service* service) {
  proto::ServiceLimits* const limits = service->mutable_limits();
  if (options.max_body_bytes) {
    limits->set_max_body_bytes(*options.max_body_bytes);
  }
  if (options.max_key_bytes) {
    limits->set_max_key_bytes(*options.max_key_bytes);
  }
  if (options.max_queue) {
    limits->set_max_queue(*options.max_queue);
  }
  if (options.retry_budget_permille) {
    limits->set_retry_budget_permille(*options.retry_budget_permille);
  }
  if (options.hedge_after_ms) {
    limits->set_hedge_after_ms(*options.hedge_after_ms);
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

/// Lets a file say "by-key" and "normal" for the schema's long names.
void LengthenNames(nlohmann::json* node) {
  for (auto& [name, member] : node->items()) {
    if (member.is_structured()) {
      LengthenNames(&member);
    } else if (name == "routing" && member.is_string()) {
      member = LongName(kRoutingPrefix, member.get<std::string>());
    } else if (name == "priority" && member.is_string()) {
      member = LongName(kPriorityPrefix, member.get<std::string>());
    }
  }
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
  if (options.routing) {
    service->set_routing(ParseRouting(*options.routing));
  }
  if (options.key_prefixes) {
    service->clear_key_prefixes();
    for (const std::string& prefix :
         std::vector<std::string>(absl::StrSplit(*options.key_prefixes, ',', absl::SkipEmpty()))) {
      service->add_key_prefixes(prefix);
    }
  }
  if (options.requests) {
    ApplyRequests(*options.requests, service);
  }
  if (options.weights) {
    ApplyWeights(*options.weights, service);
  }
  if (options.range_count) {
    service->set_range_count(*options.range_count);
  }
  ApplyLimits(options, service);
}

void ApplyOptions(const BackendOptions& options, proto::Backend* backend) {
  if (options.service) {
    backend->set_service(*options.service);
  }
  if (options.zone) {
    backend->set_zone(*options.zone);
  }
  if (options.endpoint) {
    backend->set_endpoint(*options.endpoint);
  }
  if (options.slots) {
    backend->set_slots(*options.slots);
  }
  if (options.max_connections) {
    backend->set_max_connections(*options.max_connections);
  }
}

Declaration ReadDeclaration(const std::string& path) {
  nlohmann::json content = ReadFile(path);
  LengthenNames(&content);
  proto::GetConfigurationResponse parsed;
  const auto status = google::protobuf::util::JsonStringToMessage(content.dump(), &parsed);
  if (!status.ok()) {
    throw UsageError(absl::StrCat(path, ": ", std::string(status.message()),
                                  "; allowed: the fields of Service and Backend in "
                                  "proto/operator.proto"));
  }
  Declaration declaration;
  declaration.services.assign(parsed.services().begin(), parsed.services().end());
  declaration.backends.assign(parsed.backends().begin(), parsed.backends().end());
  return declaration;
}

std::string RoutingText(proto::RoutingKind routing) {
  return ShortName(kRoutingPrefix, proto::RoutingKind_Name(routing));
}

std::string PriorityText(proto::Priority priority) {
  return ShortName(kPriorityPrefix, proto::Priority_Name(priority));
}

}  // namespace ladderstream::operator_cli
