// A small valid configuration for tests.
#pragma once

#include "wire/configuration.h"

namespace ladderstream::configuration {

inline ServiceConfiguration SampleService(const std::string& name, const std::string& prefix) {
  ServiceConfiguration service;
  service.name = ServiceName(name);
  service.key_prefixes = {prefix};
  service.range_count = 4;
  service.requests = {{"read", true, Priority::kNormal, 1000}};
  return service;
}

inline BackendConfiguration SampleBackend(const std::string& id, const std::string& service,
                                          uint16_t port) {
  BackendConfiguration backend;
  backend.id = BackendId(id);
  backend.service = ServiceName(service);
  backend.zone = "rennes";
  backend.endpoint = {"127.0.0.1", port};
  return backend;
}

inline Configuration SampleConfiguration() {
  Configuration configuration;
  configuration.revision = Revision(7);
  configuration.services = {SampleService("scripts", "script/"), SampleService("cards", "card/")};
  configuration.backends = {SampleBackend("scripts-1", "scripts", 9001),
                            SampleBackend("cards-1", "cards", 9002)};
  return configuration;
}

}  // namespace ladderstream::configuration
