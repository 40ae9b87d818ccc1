// The numbered outcome of an operator's call, as the schema carries it.
#pragma once

#include <grpcpp/support/status.h>

#include <string>

#include "core/changes/configuration_fault.h"
#include "generated/operators.pb.h"
#include "wire/result_code.h"

namespace ladderstream::operator_service {

/// Gives the Result of a call that ended with `code`.
operators::v2::Result MakeResult(ResultCode code, const std::string& message, uint64_t revision);

/// Adds `faults` to `result`.
void AddFaults(const std::vector<changes::ConfigurationFault>& faults,
               operators::v2::Result* result);

/// Gives the gRPC status that goes with a Result: OK for code 0, else one whose details are the
/// Result.
grpc::Status ToStatus(const operators::v2::Result& result);

}  // namespace ladderstream::operator_service
