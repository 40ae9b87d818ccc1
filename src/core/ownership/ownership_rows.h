// How the lease and the assignments are written in the metadata store: one lease row, and for each
// service one row or a head row with segments, all in one table and partition.
//
// A service whose assignment fits into one row has just that: its head row holds all of it. Of a
// larger one the head row names the segments, each of which holds the assignments of adjoining
// keys, so that no row grows with the service. A reader that knows only the first form finds such
// a head row malformed and so takes the keys for ones whose owners are not known.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ownership/ownership_map.h"
#include "core/store/store_types.h"
#include "wire/identifiers.h"

namespace ladderstream::ownership {

/// The key of the lease row. Sorts before the keys of services and segments.
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

/// The committed assignment of one service, or of the keys of one segment.
struct ServiceRow {
  Assignments assignments;
  /// Where the owners were registered, so that a successor can reach one whose registration is
  /// gone.
  std::map<std::string, Endpoint> addresses;
};

/// The key of a service's head row.
std::string ServiceRowKey(const std::string& service);
/// The service of a head row's key; empty when the row is not a head row.
std::string ServiceOfRowKey(std::string_view key);
/// The key of the segment that begins at `first`.
std::string SegmentRowKey(const std::string& service, Key first);
struct SegmentId {
  std::string service;
  Key first = 0;
};
/// The segment of a row's key; none when the row is not a segment.
std::optional<SegmentId> SegmentOfRowKey(std::string_view key);
/// Whether the row holds assignments: a head row or a segment.
bool IsAssignmentKey(std::string_view key);

std::string EncodeLeaseRow(const LeaseRow& row);
/// Throws Error(kMalformedMessage).
LeaseRow DecodeLeaseRow(std::string_view value);

/// The head row of a service without segments.
std::string EncodeServiceRow(const ServiceRow& row);
/// Throws Error(kMalformedMessage), also when the assignments do not cover all keys.
ServiceRow DecodeServiceRow(std::string_view value);

/// The head row of a service with segments that begin at these keys, in rising order from 0 on.
std::string EncodeSegmentList(const std::vector<Key>& firsts);
/// Whether a head row names segments.
bool IsSegmentList(std::string_view value);
/// Throws Error(kMalformedMessage).
std::vector<Key> DecodeSegmentList(std::string_view value);

/// The assignments of adjoining keys.
std::string EncodeSegment(const ServiceRow& row);
/// Throws Error(kMalformedMessage), also when the assignments do not adjoin each other from `first`
/// on.
ServiceRow DecodeSegment(std::string_view value, Key first);

/// Cuts `row` into parts of adjoining keys that take at most `max_bytes` each as a segment; a part
/// with a single assignment may take more.
std::vector<ServiceRow> SplitRow(const ServiceRow& row, size_t max_bytes);

/// One service as read from all rows of the table.
struct StoredService {
  ServiceRow row;
  /// The head row names segments; else it holds everything, or cannot be read.
  bool has_segments = false;
  /// Where the segments begin; just 0 without any.
  std::vector<Key> segment_firsts;
  /// Keys whose rows are missing or cannot be read; nobody owns them in `row`.
  std::vector<KeyRange> unreadable;
  /// One entry for each row that cannot be read, for logs.
  std::vector<std::string> faults;
};

/// The services among the rows of the table, in any order. Segments that their head row does not
/// name are left out.
std::map<std::string, StoredService> ReadServices(const std::vector<store::Row>& rows);

}  // namespace ladderstream::ownership
