// The JSON form of lease requests, their answers and grant sets (docs/design/001).
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "wire/ownership.h"

namespace ladderstream::standin {

/// Writes the body of a lease request. 64-bit numbers travel as strings.
std::string WriteLeaseRequest(const LeaseRequest& request);

/// Reads a grant set. Throws nlohmann::json::exception or Error(kMalformedMessage).
GrantSet ReadGrantSet(const nlohmann::json& body);

/// Reads the answer to a lease request. Throws as ReadGrantSet does.
LeaseResponse ReadLeaseResponse(const std::string& body);

}  // namespace ladderstream::standin
