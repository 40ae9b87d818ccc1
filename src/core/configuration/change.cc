#include "core/configuration/change.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

#include "core/configuration/fault_collector.h"
#include "core/configuration/validation.h"
#include "wire/codec.h"

namespace ladderstream::configuration {
namespace {

using Faults = std::vector<ConfigurationFault>;

std::string RoutingName(RoutingKind routing) {
  return routing == RoutingKind::kByLoad ? "by-load" : "by-key";
}

FaultCollector ServiceAt(const ServiceName& name, Faults* faults) {
  return FaultCollector("services", faults).Element(name.value());
}

FaultCollector BackendAt(const BackendId& id, Faults* faults) {
  return FaultCollector("backends", faults).Element(id.value());
}

void AddUnknown(const FaultCollector& at, const std::string& name, const std::string& allowed) {
  at.Add(ResultCode::kUnknownName, name, allowed);
}

/// Makes each kind of change in `configuration_`, or adds to `faults_`.
class ChangeVisitor {
 public:
  ChangeVisitor(Configuration* configuration, Faults* faults)
      : configuration_(*configuration), faults_(faults) {}

  void operator()(const CreateService& change) {
    configuration_.services.push_back(change.service);
  }

  void operator()(const UpdateService& change) {
    const FaultCollector at = ServiceAt(change.service.name, faults_);
    ServiceConfiguration* const service = Find(change.service.name);
    if (service == nullptr) {
      AddUnknown(at.Field("name"), change.service.name.value(), "the name of a service");
      return;
    }
    if (service->routing != change.service.routing) {
      at.Field("routing").AddInvalid(
          RoutingName(change.service.routing),
          absl::StrCat(RoutingName(service->routing), ", fixed at creation"));
    }
    if (service->range_count != change.service.range_count) {
      at.Field("range_count")
          .AddInvalid(absl::StrCat(change.service.range_count),
                      absl::StrCat(service->range_count, ", fixed at creation"));
    }
    *service = change.service;
  }

  void operator()(const DeleteService& change) {
    const FaultCollector at = ServiceAt(change.name, faults_);
    if (Find(change.name) == nullptr) {
      AddUnknown(at.Field("name"), change.name.value(), "the name of a service");
      return;
    }
    const auto backends =
        std::count_if(configuration_.backends.begin(), configuration_.backends.end(),
                      [&](const auto& backend) { return backend.service == change.name; });
    if (backends > 0) {
      at.Add(ResultCode::kStillInUse, absl::StrCat(backends, " back ends"),
             "a service without back ends; remove them first");
      return;
    }
    std::erase_if(configuration_.services,
                  [&](const auto& service) { return service.name == change.name; });
  }

  void operator()(const RegisterBackend& change) {
    configuration_.backends.push_back(change.backend);
  }

  void operator()(const UpdateBackend& change) {
    const FaultCollector at = BackendAt(change.backend.id, faults_);
    BackendConfiguration* const backend = Find(change.backend.id);
    if (backend == nullptr) {
      AddUnknown(at.Field("id"), change.backend.id.value(), "the id of a back end");
      return;
    }
    if (backend->service != change.backend.service) {
      at.Field("service").AddInvalid(
          change.backend.service.value(),
          absl::StrCat(backend->service.value(), ", fixed at registration"));
    }
    *backend = change.backend;
  }

  void operator()(const RemoveBackend& change) {
    if (Find(change.id) == nullptr) {
      AddUnknown(BackendAt(change.id, faults_).Field("id"), change.id.value(),
                 "the id of a back end");
      return;
    }
    std::erase_if(configuration_.backends,
                  [&](const auto& backend) { return backend.id == change.id; });
  }

 private:
  ServiceConfiguration* Find(const ServiceName& name) {
    return const_cast<ServiceConfiguration*>(FindService(configuration_, name));
  }

  BackendConfiguration* Find(const BackendId& id) {
    return const_cast<BackendConfiguration*>(FindBackend(configuration_, id));
  }

  Configuration& configuration_;
  Faults* faults_;
};

}  // namespace

Configuration ApplyChange(const Configuration& configuration, const Change& change) {
  Configuration changed = configuration;
  Faults faults;
  std::visit(ChangeVisitor(&changed, &faults), change);
  for (ConfigurationFault& fault : Validate(changed)) {
    faults.push_back(std::move(fault));
  }
  if (!faults.empty()) {
    throw ConfigurationError(std::move(faults));
  }
  changed.revision = Revision(configuration.revision.value() + 1);
  return changed;
}

uint64_t DigestOf(const Change& change) {
  const std::string bytes = Encode(change);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace ladderstream::configuration
