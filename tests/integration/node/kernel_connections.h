// What the kernel still sends for the sockets of other processes, ended ones included.
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "wire/identifiers.h"

namespace ladderstream::fleet {

/// Bytes that IPv4 connections from the address `source` to one of `receivers` have written and
/// that were not acknowledged. Connections of a process that has ended count for as long as the
/// kernel keeps them. Throws std::runtime_error when the kernel's list cannot be read.
uint64_t CountUnacknowledgedBytes(const std::string& source, const std::set<Endpoint>& receivers);

}  // namespace ladderstream::fleet
