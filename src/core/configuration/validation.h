// Checks a whole configuration. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "core/configuration/configuration_fault.h"
#include "wire/configuration.h"

namespace ladderstream::configuration {

// Bounds on what operators may declare.
inline constexpr uint32_t kMaxNameLength = 64;
inline constexpr uint32_t kMaxServices = 1024;
inline constexpr uint32_t kMaxBackends = 16384;
inline constexpr uint32_t kMaxKeyPrefixes = 1024;
inline constexpr uint32_t kMaxRequestRules = 64;
inline constexpr uint32_t kMaxRangeCount = 65536;
inline constexpr uint32_t kMaxBodyBytes = 8U << 20U;
inline constexpr uint32_t kMaxKeyBytes = 1024;
inline constexpr uint32_t kMaxQueue = 10000;
inline constexpr uint32_t kMaxPermille = 1000;
inline constexpr uint32_t kMaxDeadlineMs = 60000;
inline constexpr uint32_t kMaxSlots = 1024;
inline constexpr uint32_t kMaxBackendConnections = 65535;
inline constexpr double kMaxWeight = 1e6;

/// Gives every fault of `configuration`; none when it may be put in force.
std::vector<ConfigurationFault> Validate(const Configuration& configuration);

/// Whether `id` may be an operation id: 1 to 64 characters of [A-Za-z0-9._-].
bool IsOperationId(const std::string& id);

}  // namespace ladderstream::configuration
