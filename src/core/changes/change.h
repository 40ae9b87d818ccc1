// Configuration changes that operators request, and their application to a configuration. No I/O.
#pragma once

#include <memory>
#include <string>
#include <variant>

#include "core/catalog/catalog.h"
#include "core/changes/configuration_fault.h"

namespace ladderstream::changes {

struct CreateService {
  catalog::Service service;
};

/// Replaces the service of the same name. `sharded` must not differ from the current value.
struct UpdateService {
  catalog::Service service;
};

/// Rejected with kStillInUse while any route targets the service.
struct DeleteService {
  std::string name;
};

struct CreateRoute {
  catalog::Route route;
};

/// Replaces the route of the same name.
struct UpdateRoute {
  catalog::Route route;
};

struct DeleteRoute {
  std::string name;
};

/// Replaces all limits.
struct UpdateLimits {
  catalog::Limits limits;
};

using Change = std::variant<CreateService, UpdateService, DeleteService, CreateRoute, UpdateRoute,
                            DeleteRoute, UpdateLimits>;

using ChangePtr = std::shared_ptr<const Change>;

/// Returns a copy of `configuration` with `change` applied and the version increased by one. Throws
/// ConfigurationError, which lists every fault, if the change cannot be applied or the result is
/// invalid.
catalog::Configuration ApplyChange(const catalog::Configuration& configuration,
                                   const Change& change);

}  // namespace ladderstream::changes
