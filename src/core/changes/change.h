// A change of the configuration by an operator, and what it makes of a configuration. No I/O.
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

/// Replaces the whole service of that name; whether it is sharded stays.
struct UpdateService {
  catalog::Service service;
};

/// Refused while a route leads to the service.
struct DeleteService {
  std::string name;
};

struct CreateRoute {
  catalog::Route route;
};

/// Replaces the whole route of that name.
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

/// Gives `configuration` with the change made and the version one higher. Throws
/// ConfigurationError with every fault when the change does not fit.
catalog::Configuration ApplyChange(const catalog::Configuration& configuration,
                                   const Change& change);

}  // namespace ladderstream::changes
