// The numbered outcome of an operator's call, as the schema carries it.
#pragma once

#include <grpcpp/support/status.h>

#include <string>

#include "core/configuration/configuration_fault.h"
#include "generated/operator.pb.h"
#include "wire/identifiers.h"
#include "wire/result_code.h"

namespace ladderstream::daemon {

/// Gives the Result of a call that ended with `code`.
operators::v1::Result MakeResult(ResultCode code, const std::string& message, Revision revision);

/// Adds `faults` to `result`.
void AddFaults(const std::vector<configuration::ConfigurationFault>& faults,
               operators::v1::Result* result);

/// Gives the gRPC status that goes with a Result: OK for code 0, else one whose details are the
/// Result.
grpc::Status ToStatus(const operators::v1::Result& result);

}  // namespace ladderstream::daemon
