#include "core/changes/change.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/changes/fault_collector.h"
#include "core/changes/validation.h"

namespace ladderstream::changes {
namespace {

using Faults = std::vector<ConfigurationFault>;

const char* BoolText(bool value) { return value ? "true" : "false"; }

/// Applies a change to `configuration` in place; appends to `faults` what prevents it.
class ChangeVisitor {
 public:
  ChangeVisitor(catalog::Configuration* configuration, Faults* faults)
      : configuration_(*configuration),
        services_(FaultCollector("services", faults)),
        routes_(FaultCollector("routes", faults)) {}

  void operator()(const CreateService& change) {
    const std::string& name = change.service.name;
    if (!configuration_.services.emplace(name, change.service).second) {
      AddAlreadyExists(services_, name);
    }
  }

  void operator()(const UpdateService& change) {
    const auto found = configuration_.services.find(change.service.name);
    if (found == configuration_.services.end()) {
      AddUnknown(services_, change.service.name);
      return;
    }
    const bool sharded = found->second.sharded;
    if (sharded != change.service.sharded) {
      services_.Element(change.service.name)
          .Field("sharded")
          .AddInvalid(BoolText(change.service.sharded),
                      absl::StrCat(BoolText(sharded), ", fixed at creation"));
    }
    found->second = change.service;
  }

  void operator()(const DeleteService& change) {
    if (!configuration_.services.contains(change.name)) {
      AddUnknown(services_, change.name);
      return;
    }
    const catalog::Route* const route = FirstRouteTo(change.name);
    if (route != nullptr) {
      services_.Element(change.name)
          .Add(ResultCode::kStillInUse, absl::StrCat("route ", route->name),
               "a service that no route targets");
      return;
    }
    configuration_.services.erase(change.name);
  }

  void operator()(const CreateRoute& change) {
    if (FindRoute(change.route.name) != configuration_.routes.end()) {
      AddAlreadyExists(routes_, change.route.name);
      return;
    }
    configuration_.routes.push_back(change.route);
  }

  void operator()(const UpdateRoute& change) {
    const auto found = FindRoute(change.route.name);
    if (found == configuration_.routes.end()) {
      AddUnknown(routes_, change.route.name);
      return;
    }
    *found = change.route;
  }

  void operator()(const DeleteRoute& change) {
    const auto found = FindRoute(change.name);
    if (found == configuration_.routes.end()) {
      AddUnknown(routes_, change.name);
      return;
    }
    configuration_.routes.erase(found);
  }

  void operator()(const UpdateLimits& change) { configuration_.limits = change.limits; }

 private:
  static void AddAlreadyExists(const FaultCollector& list, const std::string& name) {
    list.Element(name).Field("name").Add(ResultCode::kAlreadyExists, name,
                                         "a name that is not in use");
  }

  static void AddUnknown(const FaultCollector& list, const std::string& name) {
    list.Element(name).Field("name").Add(ResultCode::kUnknownName, name,
                                         "a name that exists in the configuration");
  }

  std::vector<catalog::Route>::iterator FindRoute(const std::string& name) {
    return std::find_if(configuration_.routes.begin(), configuration_.routes.end(),
                        [&](const catalog::Route& route) { return route.name == name; });
  }

  const catalog::Route* FirstRouteTo(const std::string& service) const {
    for (const catalog::Route& route : configuration_.routes) {
      for (const catalog::RouteTarget& target : route.targets) {
        if (target.service == service) {
          return &route;
        }
      }
    }
    return nullptr;
  }

  catalog::Configuration& configuration_;
  FaultCollector services_;
  FaultCollector routes_;
};

}  // namespace

catalog::Configuration ApplyChange(const catalog::Configuration& configuration,
                                   const Change& change) {
  catalog::Configuration changed = configuration;
  Faults faults;
  std::visit(ChangeVisitor(&changed, &faults), change);
  for (ConfigurationFault& fault : Validate(changed)) {
    faults.push_back(std::move(fault));
  }
  if (!faults.empty()) {
    throw ConfigurationError(std::move(faults));
  }
  changed.version = configuration.version + 1;
  return changed;
}

}  // namespace ladderstream::changes
