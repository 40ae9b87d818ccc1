// A change of the configuration by an operator, and what it makes of a configuration. No I/O.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <variant>

#include "core/configuration/configuration_fault.h"
#include "wire/configuration.h"
#include "wire/variant.h"

namespace ladderstream::configuration {

struct CreateService {
  ServiceConfiguration service;
  MSGPACK_DEFINE_ARRAY(service);
};

/// Replaces the whole service of that name; its routing and range count stay.
struct UpdateService {
  ServiceConfiguration service;
  MSGPACK_DEFINE_ARRAY(service);
};

/// Refused while the service has back ends.
struct DeleteService {
  ServiceName name;
  MSGPACK_DEFINE_ARRAY(name);
};

struct RegisterBackend {
  BackendConfiguration backend;
  MSGPACK_DEFINE_ARRAY(backend);
};

/// Replaces the whole back end of that id; its service stays.
struct UpdateBackend {
  BackendConfiguration backend;
  MSGPACK_DEFINE_ARRAY(backend);
};

struct RemoveBackend {
  BackendId id;
  MSGPACK_DEFINE_ARRAY(id);
};

using Change = std::variant<CreateService, UpdateService, DeleteService, RegisterBackend,
                            UpdateBackend, RemoveBackend>;

/// Gives `configuration` with the change made and the revision one higher. Throws
/// ConfigurationError with every fault when the change does not fit.
Configuration ApplyChange(const Configuration& configuration, const Change& change);

/// A hash that tells two changes apart, the same in every process and build.
uint64_t DigestOf(const Change& change);

}  // namespace ladderstream::configuration
