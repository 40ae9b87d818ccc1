// Validation of a complete configuration. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/changes/configuration_fault.h"

namespace ladderstream::changes {

// Limits on the values that operators may configure.
inline constexpr size_t kMaxNameLength = 64;
inline constexpr size_t kMaxHostLength = 253;
inline constexpr size_t kMaxPathLength = 1024;
inline constexpr size_t kMaxServices = 1024;
inline constexpr size_t kMaxRoutes = 4096;
inline constexpr size_t kMaxTargetsPerRoute = 64;
inline constexpr uint32_t kMaxAttemptsPerRequest = 16;
inline constexpr uint32_t kMaxPriority = 1000;
inline constexpr uint32_t kMaxConnectionsPerBackend = 65535;
inline constexpr double kMaxTargetWeight = 1e9;
inline constexpr Duration kMaxDuration = absl::Hours(1);
inline constexpr size_t kMinHeaderBytes = 1024;
inline constexpr size_t kMaxHeaderBytes = 1U << 20U;
inline constexpr size_t kMaxBodyBytes = 1U << 30U;

/// Returns every fault of `configuration`; empty if it is valid.
std::vector<ConfigurationFault> Validate(const catalog::Configuration& configuration);

/// Returns whether `id` is a valid operation id: 1 to 64 characters of [A-Za-z0-9._-].
bool IsOperationId(const std::string& id);

}  // namespace ladderstream::changes
