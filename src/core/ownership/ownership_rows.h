// Encoding of the lease and the assignments in the metadata store: one lease row, and for each
// service either one row or a head row with segments. All rows share one table and partition.
//
// A service whose assignment fits into one row has only a head row, which holds the full
// assignment. The head row of a larger service lists its segments, each of which holds the
// assignments of a contiguous key range, so that row size does not grow with the service. A reader
// that supports only the single-row format rejects a segment list as malformed and treats the
// owners of these keys as unknown.
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

/// Key of the lease row. Sorts before the keys of services and segments.
inline constexpr char kLeaseRowKey[] = "lease";

/// The lease holder. Every transaction of the holder rewrites this row with a new nonce, so that
/// reading the row shows which of several unanswered transactions was applied.
struct LeaseRow {
  uint64_t epoch = 0;
  uint64_t incarnation = 0;
  /// Unique among all writes of one incarnation.
  uint64_t nonce = 0;
  Endpoint peer_address;
  MSGPACK_DEFINE_ARRAY(epoch, incarnation, nonce, peer_address);
};

/// The committed assignment of one service or of one segment.
struct ServiceRow {
  Assignments assignments;
  /// Addresses at which the owners were registered, so that a successor can reach an owner that is
  /// no longer registered.
  std::map<std::string, Endpoint> addresses;
};

/// Returns the key of a service's head row.
std::string ServiceRowKey(const std::string& service);
/// Returns the service of a head row's key; empty if the key is not that of a head row.
std::string ServiceOfRowKey(std::string_view key);
/// Returns the key of the segment that begins at `first`.
std::string SegmentRowKey(const std::string& service, Key first);
struct SegmentId {
  std::string service;
  Key first = 0;
};
/// Returns the segment of a row's key; nullopt if the key is not that of a segment.
std::optional<SegmentId> SegmentOfRowKey(std::string_view key);
/// Returns whether the key is that of a head row or a segment.
bool IsAssignmentKey(std::string_view key);

std::string EncodeLeaseRow(const LeaseRow& row);
/// Throws Error(kMalformedMessage).
LeaseRow DecodeLeaseRow(std::string_view value);

/// Encodes the head row of a service without segments.
std::string EncodeServiceRow(const ServiceRow& row);
/// Throws Error(kMalformedMessage), also if the assignments do not cover all keys.
ServiceRow DecodeServiceRow(std::string_view value);

/// Encodes the head row of a service whose segments begin at `firsts`, which must ascend from 0.
std::string EncodeSegmentList(const std::vector<Key>& firsts);
/// Returns whether a head row holds a segment list.
bool IsSegmentList(std::string_view value);
/// Throws Error(kMalformedMessage).
std::vector<Key> DecodeSegmentList(std::string_view value);

/// Encodes the assignments of a contiguous key range.
std::string EncodeSegment(const ServiceRow& row);
/// Throws Error(kMalformedMessage), also if the assignments are not contiguous from `first` on.
ServiceRow DecodeSegment(std::string_view value, Key first);

/// Splits `row` into contiguous parts, each of which takes at most `max_bytes` as a segment. A part
/// with a single assignment may take more.
std::vector<ServiceRow> SplitRow(const ServiceRow& row, size_t max_bytes);

/// One service as read from all rows of the table.
struct StoredService {
  ServiceRow row;
  /// True if the head row lists segments; false if it holds the full assignment or cannot be read.
  bool has_segments = false;
  /// First keys of the segments; only 0 if there are none.
  std::vector<Key> segment_firsts;
  /// Key ranges whose rows are missing or cannot be read; they have no owner in `row`.
  std::vector<KeyRange> unreadable;
  /// One message for each row that cannot be read, for logs.
  std::vector<std::string> faults;
};

/// Returns the services found in `rows`, which may be in any order. Segments that their head row
/// does not list are ignored.
std::map<std::string, StoredService> ReadServices(const std::vector<store::Row>& rows);

}  // namespace ladderstream::ownership
