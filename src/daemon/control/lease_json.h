// The JSON of lease requests, lease responses and grant sets, as back ends speak it
// (docs/design/001). 64-bit numbers and tokens travel as strings.
#pragma once

#include <string>

#include "wire/ownership.h"

namespace ladderstream::control {

/// Reads the body of `POST /v1/backends/{backend}/lease`. Throws Error(kMalformedMessage).
LeaseRequest ParseLeaseRequest(const BackendId& backend, const std::string& body);

std::string FormatLeaseResponse(const LeaseResponse& response);

/// The body of `POST /grants`.
std::string FormatGrantSet(const GrantSet& grants);

}  // namespace ladderstream::control
