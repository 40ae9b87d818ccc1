#include "standin/fleet/configuration_encoding.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace ladderstream::fleet {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr int kIndent = 2;

/// Writes an optional field, or shows in the way of the encoding that it has no value.
template <typename Value>
void SetOptional(const char* name, bool has_value, const Value& value,
                 const ConfigurationEncoding& encoding, json* object) {
  if (has_value) {
    (*object)[name] = value;
  } else if (encoding.nulls) {
    (*object)[name] = nullptr;
  }
}

json EncodeTargets(const catalog::Route& route) {
  json split = json::array();
  for (const catalog::RouteTarget& target : route.targets) {
    split.push_back({{"service", target.service}, {"weight", target.weight}});
  }
  return split;
}

json EncodeRoute(const catalog::Route& route, const ConfigurationEncoding& encoding) {
  const bool repeatable = route.repeatability == catalog::Repeatability::kRepeatable;
  json encoded = {{"host", route.host},
                  {"path_prefix", route.path_prefix},
                  {"kind", repeatable ? "safe" : "unsafe"}};
  const bool all = !encoding.omits_defaults;
  SetOptional("priority", all || route.priority != 0, route.priority, encoding, &encoded);
  SetOptional("max_attempts", all || route.max_attempts != 1, route.max_attempts, encoding,
              &encoded);
  SetOptional("timeout_s", route.timeout < absl::InfiniteDuration(),
              absl::ToDoubleSeconds(route.timeout), encoding, &encoded);
  SetOptional("target_latency_s", route.target_latency < absl::InfiniteDuration(),
              absl::ToDoubleSeconds(route.target_latency), encoding, &encoded);
  const bool whole = route.targets.size() == 1 && !encoding.splits_of_one;
  SetOptional("service", whole, route.targets.front().service, encoding, &encoded);
  SetOptional("traffic_split", !whole, EncodeTargets(route), encoding, &encoded);
  return encoded;
}

json EncodeService(const catalog::Service& service, const ConfigurationEncoding& encoding) {
  json encoded = {{"health_path", service.health_path}, {"max_conns", service.max_connections}};
  if (!encoding.omits_defaults) {
    encoded["protocol"] = "h1";
    encoded["tls"] = false;
  }
  SetOptional("sharded", service.sharded, true, encoding, &encoded);
  SetOptional("warmup_s", service.sharded, absl::ToDoubleSeconds(service.warmup), encoding,
              &encoded);
  SetOptional("grants", service.sharded, "direct", encoding, &encoded);
  return encoded;
}

json EncodeDocument(const catalog::Configuration& configuration, uint64_t base_version,
                    const ConfigurationEncoding& encoding) {
  json routes = json::object();
  for (const catalog::Route& route : configuration.routes) {
    routes[route.name] = EncodeRoute(route, encoding);
  }
  json services = json::object();
  for (const auto& [name, service] : configuration.services) {
    services[name] = EncodeService(service, encoding);
  }
  const catalog::Limits& limits = configuration.limits;
  return {{"version", absl::StrCat("r", configuration.version)},
          {"routes", routes},
          {"services", services},
          {"limits",
           {{"max_header_bytes", limits.max_header_bytes},
            {"max_body_bytes", limits.max_body_bytes},
            {"header_timeout_s", absl::ToDoubleSeconds(limits.header_timeout)},
            {"idle_timeout_s", absl::ToDoubleSeconds(limits.idle_timeout)}}},
          {"base_version", absl::StrCat("r", base_version)}};
}

/// The same document with the order, numbers and additional fields of the encoding.
ordered_json Reshape(const json& value, const ConfigurationEncoding& encoding) {
  if (value.is_array()) {
    ordered_json list = ordered_json::array();
    for (const json& item : value) {
      list.push_back(Reshape(item, encoding));
    }
    return list;
  }
  if (value.is_number_integer()) {
    return encoding.fractions ? ordered_json(value.get<double>())
                              : ordered_json(value.get<uint64_t>());
  }
  if (!value.is_object()) {
    return ordered_json::parse(value.dump());
  }
  std::vector<std::string> names;
  for (const auto& [name, member] : value.items()) {
    names.push_back(name);
  }
  if (encoding.reversed) {
    names = {names.rbegin(), names.rend()};
  }
  ordered_json object = ordered_json::object();
  for (const std::string& name : names) {
    object[name] = Reshape(value.at(name), encoding);
  }
  return object;
}

void AddUnknownFields(json* document) {
  const json unknown = {{"since", "r1"}, {"parts", {1, 2.5, nullptr}}};
  (*document)["annotations"] = unknown;
  for (const char* table : {"routes", "services"}) {
    for (auto& [name, entry] : document->at(table).items()) {
      entry["annotations"] = unknown;
    }
  }
}

}  // namespace

ConfigurationEncoding DrawEncoding(std::mt19937_64* random) {
  const uint64_t bits = (*random)();
  const auto drawn = [bits](unsigned bit) { return (bits >> bit & 1U) != 0; };
  unsigned bit = 0;
  ConfigurationEncoding encoding;
  for (bool* field :
       {&encoding.fractions, &encoding.nulls, &encoding.omits_defaults, &encoding.unknown_fields,
        &encoding.splits_of_one, &encoding.indented, &encoding.reversed, &encoding.escaped}) {
    *field = drawn(bit++);
  }
  return encoding;
}

std::string EncodeConfiguration(const catalog::Configuration& configuration, uint64_t base_version,
                                const ConfigurationEncoding& encoding) {
  json document = EncodeDocument(configuration, base_version, encoding);
  if (encoding.unknown_fields) {
    AddUnknownFields(&document);
  }
  const std::string text = Reshape(document, encoding).dump(encoding.indented ? kIndent : -1);
  return encoding.escaped ? absl::StrReplaceAll(text, {{"/", "\\/"}, {"probe", "\\u0070robe"}})
                          : text;
}

std::string EncodeDamaged(const catalog::Configuration& configuration, ConfigurationDamage damage) {
  json document = EncodeDocument(configuration, configuration.version, {});
  json& route = document.at("routes").begin().value();
  switch (damage) {
    case ConfigurationDamage::kCutShort: {
      const std::string text = document.dump();
      return text.substr(0, text.size() / 2);
    }
    case ConfigurationDamage::kNegativeTimeout:
      route["timeout_s"] = -1;
      break;
    case ConfigurationDamage::kNoWeight:
      route["traffic_split"] = {{{"service", "none"}, {"weight", 0}}};
      break;
    case ConfigurationDamage::kBarePrefix:
      route["path_prefix"] = "/bare";
      break;
    case ConfigurationDamage::kTextForNumber:
      route["max_attempts"] = "2";
      break;
    case ConfigurationDamage::kNoVersion:
    case ConfigurationDamage::kCount:
      document.erase("version");
      break;
  }
  return document.dump();
}

}  // namespace ladderstream::fleet
