// A small valid configuration for tests.
#pragma once

#include <absl/strings/str_cat.h>

#include <string>

#include "core/catalog/catalog.h"

namespace ladderstream::changes {

inline catalog::Route SampleRoute(const std::string& name, const std::string& service) {
  catalog::Route route;
  route.name = name;
  route.host = "example.org";
  route.path_prefix = absl::StrCat("/", name, "/");
  route.targets = {{.service = service, .weight = 1}};
  return route;
}

inline catalog::Service SampleService(const std::string& name) {
  catalog::Service service;
  service.name = name;
  return service;
}

inline catalog::Configuration SampleConfiguration() {
  catalog::Configuration configuration;
  configuration.version = 7;
  configuration.services = {{"scripts", SampleService("scripts")},
                            {"cards", SampleService("cards")}};
  configuration.services["scripts"].sharded = true;
  configuration.routes = {SampleRoute("read", "scripts"), SampleRoute("pay", "cards")};
  return configuration;
}

}  // namespace ladderstream::changes
