// Messages between nodes, as msgpack. docs/design/014 describes the exchange.
//
// A node reports to the coordinator at an interval; the coordinator answers each report with a
// heartbeat and pushes a heartbeat whenever the map changes. A node that the metadata store turns
// away asks any other node for what it missed.
#pragma once

#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "core/ownership/coordinator.h"
#include "core/ownership/map_changes.h"
#include "core/ownership/ownership_map.h"
#include "wire/identifiers.h"
#include "wire/variant.h"

namespace ladderstream::membership {

struct PeerIdentity {
  uint64_t incarnation = 0;
  std::string name;
  std::string zone;
  Endpoint address;
  bool operator==(const PeerIdentity&) const = default;
  /// A node that the receiver knows already sends its incarnation only.
  bool IsComplete() const { return address.port != 0; }
  MSGPACK_DEFINE_ARRAY(incarnation, name, zone, address);
};

/// One service's load since the sender's last report.
struct LoadReport {
  std::string service;
  std::vector<uint32_t> keys;
  std::vector<float> counts;
  std::vector<std::string> backends;
  std::vector<uint32_t> answers;
  /// How long the answers of each back end took together, in microseconds.
  std::vector<uint64_t> busy_us;
  /// By back end: 1 when it tells no load, so that the times contain the wait in its queue.
  std::vector<uint8_t> includes_wait;
  /// The share of the sender's back ends that this report tells of.
  double reported_share = 1;
  std::vector<uint32_t> denied_keys;
  /// Back ends that turned requests away though they had free slots, and for how long the sender
  /// leaves each alone, in milliseconds.
  std::vector<std::string> declined_by;
  std::vector<uint32_t> backoff_ms;
  MSGPACK_DEFINE_ARRAY(service, keys, counts, backends, answers, busy_us, includes_wait,
                       reported_share, denied_keys, declined_by, backoff_ms);
};

/// Of an age that the sender does not tell.
constexpr uint32_t kUnknownAge = std::numeric_limits<uint32_t>::max();

/// A request that was at work at back ends as they crashed.
struct SharedSuspect {
  /// Its fingerprint.
  uint64_t high = 0;
  uint64_t low = 0;
  /// Incarnations of the back ends, and how long ago each was lost, in milliseconds.
  std::vector<std::string> backends;
  std::vector<uint32_t> ages_ms;
  /// How long ago it was last served, in milliseconds.
  uint32_t served_age_ms = kUnknownAge;
  MSGPACK_DEFINE_ARRAY(high, low, backends, ages_ms, served_age_ms);
};

/// What a back end takes from all nodes together (allowance::LimitRecord).
struct SharedLimit {
  std::string backend;
  /// Requests a second; below zero: it has no limit any more.
  double rate = 0;
  /// How long ago it said so, in milliseconds.
  uint32_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(backend, rate, age_ms);
};

/// From a node to the coordinator. A node that does not know the coordinator sends it, without
/// loads, to any other node.
struct Report {
  /// Not whole once the receiver has answered that it knows the sender.
  PeerIdentity sender;
  /// Counts the sender's reports from 1; the answer names it.
  uint64_t sequence = 0;
  ownership::MapVersion map_version;
  /// The newest list of members that the sender has seen.
  uint64_t members_version = 0;
  /// The store versions of the last changes that the sender's copies hold.
  uint64_t configuration_version = 0;
  uint64_t backends_version = 0;
  std::vector<LoadReport> loads;
  /// Back ends whose connections were refused to this node lately.
  std::vector<std::string> refused_backends;
  std::vector<SharedSuspect> suspects;
  std::vector<SharedLimit> limits;
  MSGPACK_DEFINE_ARRAY(sender, sequence, map_version, members_version, configuration_version,
                       backends_version, loads, refused_backends, suspects, limits);
};

/// A row as the store holds it; `version` is the store's.
struct SharedRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(key, value, version);
};

/// A row that the store removed as of `version`.
struct RemovedRow {
  std::string key;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(key, version);
};

/// What a copy of one table that is whole up to `base` lacks to be whole up to `version`.
struct TableUpdate {
  uint64_t base = 0;
  uint64_t version = 0;
  /// The table's last change up to `version`.
  uint64_t newest_change = 0;
  /// Changed after `base`, as are the removals.
  std::vector<SharedRow> rows;
  std::vector<RemovedRow> removals;
  /// How long ago the sender was last sure that this is the newest, in milliseconds.
  uint32_t age_ms = 0;
  /// As in store::TableChanges.
  uint64_t gap_first = 0;
  uint64_t gap_last = 0;
  /// How long ago the oldest of the changes here may have happened when this was sent, in
  /// milliseconds. A sender of the version before does not tell.
  uint32_t change_age_ms = kUnknownAge;
  MSGPACK_DEFINE_ARRAY(base, version, newest_change, rows, removals, age_ms, gap_first, gap_last,
                       change_age_ms);
};

/// What leads from the list of members of version `base` to that of the heartbeat.
struct MemberChanges {
  uint64_t base = 0;
  std::vector<PeerIdentity> joined;
  /// Incarnations.
  std::vector<uint64_t> left;
  MSGPACK_DEFINE_ARRAY(base, joined, left);
};

/// From the coordinator to a node; or from a node that is not the coordinator, which says in it
/// whom it believes to be.
struct Heartbeat {
  /// The sender's incarnation.
  uint64_t sender = 0;
  /// The sequence of the report that this answers; 0 for one that was pushed.
  uint64_t answered_report = 0;
  /// Epoch 0: the sender knows no coordinator.
  ownership::LeaseView lease;
  /// How long the sender's lease still runs, in milliseconds, when this was sent. 0 when the sender
  /// is not the coordinator.
  uint32_t lease_left_ms = 0;
  ownership::MapVersion map_version;
  /// Only when the receiver's version is older and nothing tells what changed since; else empty.
  std::vector<ownership::OwnershipMap> map;
  /// What leads from an older version to `map_version`; at most one.
  std::vector<ownership::MapChanges> map_changes;
  /// All nodes that reported lately, the sender included. Only when nothing tells what changed
  /// since the receiver's version.
  std::vector<PeerIdentity> members;
  /// Grows when `members` changes; members are only sent when the receiver has not seen it.
  uint64_t members_version = 0;
  /// As in a Report.
  uint64_t configuration_version = 0;
  uint64_t backends_version = 0;
  /// From the coordinator: of the configuration and of the back ends, in this order; or empty.
  std::vector<TableUpdate> tables;
  /// At most one, and none beside `members`.
  std::vector<MemberChanges> member_changes;
  /// The sender of the report that this answers is to send its whole identity.
  bool identity_wanted = false;
  /// From the coordinator: incarnations of the nodes that are to watch the store besides it.
  std::vector<uint64_t> standbys;
  std::vector<SharedSuspect> suspects;
  std::vector<SharedLimit> limits;
  MSGPACK_DEFINE_ARRAY(sender, answered_report, lease, lease_left_ms, map_version, map, map_changes,
                       members, members_version, configuration_version, backends_version, tables,
                       member_changes, identity_wanted, standbys, suspects, limits);
};

/// The sender gives up the lease it holds.
struct Resignation {
  uint64_t incarnation = 0;
  MSGPACK_DEFINE_ARRAY(incarnation);
};

/// From a node that cannot reach the metadata store, or missed a change: what have you that is
/// newer? The versions say up to where the sender's copies are whole.
struct SnapshotRequest {
  uint64_t configuration_version = 0;
  uint64_t backends_version = 0;
  /// Counts the sender's questions from 1; the answer names it.
  uint64_t sequence = 0;
  MSGPACK_DEFINE_ARRAY(configuration_version, backends_version, sequence);
};

/// The answer: rows as the sender last read them from the store.
struct Snapshot {
  /// The store version of the last change these rows hold, which are the whole table; the
  /// request's version, and no rows, when the sender has nothing newer.
  uint64_t configuration_version = 0;
  std::vector<SharedRow> configuration;
  uint64_t backends_version = 0;
  std::vector<SharedRow> backends;
  /// How long ago the sender was last sure that these are the newest, in milliseconds.
  uint32_t age_ms = 0;
  /// The sequence of the request; 0 from a sender of the version before.
  uint64_t answered_request = 0;
  MSGPACK_DEFINE_ARRAY(configuration_version, configuration, backends_version, backends, age_ms,
                       answered_request);
};

/// To a node that issues permits for a back end: how many requests may I send it now?
struct PermitRequest {
  /// Counts the sender's questions from 1; the answer names it.
  uint64_t sequence = 0;
  std::string backend;
  /// The back end's limit as the sender knows it, in requests a second.
  double rate = 0;
  uint32_t wanted = 0;
  MSGPACK_DEFINE_ARRAY(sequence, backend, rate, wanted);
};

struct PermitAnswer {
  uint64_t sequence = 0;
  uint32_t granted = 0;
  /// When another question is worth it, in milliseconds.
  uint32_t retry_ms = 0;
  MSGPACK_DEFINE_ARRAY(sequence, granted, retry_ms);
};

using Message = std::variant<Report, Heartbeat, Resignation, SnapshotRequest, Snapshot,
                             PermitRequest, PermitAnswer>;

}  // namespace ladderstream::membership
