// Whether a caller's request is one that operators have declared, and within its limits.
#pragma once

#include <optional>
#include <string>

#include "core/routing/route_table.h"
#include "daemon/http/caller_handler.h"
#include "wire/time.h"

namespace ladderstream {

/// Why a request is refused.
struct ValidationFault {
  ResultCode code = ResultCode::kMalformedRequest;
  std::string message;
};

/// Gives the first fault of `request`, or nothing.
std::optional<ValidationFault> FindFault(const routing::RouteTable& table,
                                         const CallerRequest& request, Duration max_deadline);

}  // namespace ladderstream
