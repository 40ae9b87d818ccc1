// How the lease and the assignments are written in the metadata store: one lease row and one row a
// service, all in one table and partition.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "core/ownership/ownership_map.h"
#include "wire/identifiers.h"

namespace ladderstream::ownership {

/// The key of the lease row. Sorts before the keys of services.
inline constexpr char kLeaseRowKey[] = "lease";

/// Who holds the lease. Every transaction of a holder rewrites this row, with another nonce each
/// time, so that reading it tells which of several unanswered transactions was applied.
struct LeaseRow {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  /// Unique among all writes of one incarnation.
  uint64_t nonce = 0;
  Endpoint peer_address;
  MSGPACK_DEFINE_ARRAY(epoch, incarnation, nonce, peer_address);
};

/// The committed assignment of one service.
struct ServiceRow {
  Assignments assignments;
  /// Where the owners were registered, so that a successor can reach one whose registration is
  /// gone.
  std::map<std::string, Endpoint> addresses;
};

/// The key of a service's row.
std::string ServiceRowKey(const std::string& service);
/// The service of a row's key; empty when the row is not a service's.
std::string ServiceOfRowKey(std::string_view key);

std::string EncodeLeaseRow(const LeaseRow& row);
/// Throws Error(kMalformedMessage).
LeaseRow DecodeLeaseRow(std::string_view value);

std::string EncodeServiceRow(const ServiceRow& row);
/// Throws Error(kMalformedMessage), also when the assignments do not cover all keys.
ServiceRow DecodeServiceRow(std::string_view value);

}  // namespace ladderstream::ownership
