// Messages between nodes, encoded as msgpack. Fields are encoded by order: new ones are appended.
//
// A node reports to the coordinator at an interval; the coordinator answers each report with a
// heartbeat and pushes a heartbeat whenever the map changes. A node that cannot reach the metadata
// store requests what it missed from any other node.
#pragma once

#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "core/membership/relay_messages.h"
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
  /// False for a node already known to the receiver, which sends its incarnation only.
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
  /// Total response time of each back end, in microseconds.
  std::vector<uint64_t> busy_us;
  /// By back end: 1 when it reports no load, so that the times include the wait in its queue.
  std::vector<uint8_t> includes_wait;
  /// The share of the sender's back ends that this report covers.
  double reported_share = 1;
  /// Keys of requests that the addressed back end rejected because it does not own them.
  std::vector<uint32_t> rejected_keys;
  /// Back ends that declined requests although they had free slots, and for how long the sender
  /// sends none to each, in milliseconds.
  std::vector<std::string> declined_by;
  std::vector<uint32_t> backoff_ms;
  MSGPACK_DEFINE_ARRAY(service, keys, counts, backends, answers, busy_us, includes_wait,
                       reported_share, rejected_keys, declined_by, backoff_ms);
};

/// Value of an age field when the sender does not report the age.
constexpr uint32_t kUnknownAge = std::numeric_limits<uint32_t>::max();

/// A request that was being processed by back ends when they crashed or were lost.
struct SharedSuspect {
  /// Fingerprint of the request.
  uint64_t high = 0;
  uint64_t low = 0;
  /// Incarnations of the back ends, and how long ago each was lost, in milliseconds.
  std::vector<std::string> backends;
  std::vector<uint32_t> ages_ms;
  /// How long ago the request was last served, in milliseconds.
  uint32_t served_age_ms = kUnknownAge;
  /// By back end: a quarantine::LossState that is a crash. Empty from a sender of the previous
  /// version.
  std::vector<uint8_t> states;
  /// Back ends whose loss was no crash, or is not settled; a previous version knows only crashes.
  std::vector<std::string> other_backends;
  std::vector<uint32_t> other_ages_ms;
  std::vector<uint8_t> other_states;
  /// How often it was tried again after its hold had lapsed.
  uint32_t trials = 0;
  /// How long ago it was tried last, in milliseconds.
  uint32_t tried_age_ms = kUnknownAge;
  MSGPACK_DEFINE_ARRAY(high, low, backends, ages_ms, served_age_ms, states, other_backends,
                       other_ages_ms, other_states, trials, tried_age_ms);
};

/// The rate limit of a back end for all nodes together (allowance::LimitRecord).
struct SharedLimit {
  std::string backend;
  /// Requests per second; negative when the back end no longer has a limit.
  double rate = 0;
  /// How long ago the back end announced it, in milliseconds.
  uint32_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(backend, rate, age_ms);
};

/// Sent by a node to the coordinator. A node that does not know the coordinator sends it, without
/// loads, to any other node.
struct Report {
  /// Incarnation only, once the receiver has answered that it knows the sender.
  PeerIdentity sender;
  /// Number of the sender's report, counted from 1; repeated in the answer.
  uint64_t sequence = 0;
  ownership::MapVersion map_version;
  /// The newest list of members that the sender has seen.
  uint64_t members_version = 0;
  /// The store versions of the last changes that the sender's copies hold.
  uint64_t configuration_version = 0;
  uint64_t backends_version = 0;
  std::vector<LoadReport> loads;
  /// Back ends that recently refused connections from the sender.
  std::vector<std::string> refused_backends;
  std::vector<SharedSuspect> suspects;
  std::vector<SharedLimit> limits;
  /// The sender's clock when it sent this, in microseconds; see TransitClock. 0 when it is not
  /// told.
  int64_t sent_us = 0;
  MSGPACK_DEFINE_ARRAY(sender, sequence, map_version, members_version, configuration_version,
                       backends_version, loads, refused_backends, suspects, limits, sent_us);
};

/// A row of the store with its store version.
struct SharedRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(key, value, version);
};

/// A row that was removed at store version `version`.
struct RemovedRow {
  std::string key;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(key, version);
};

/// The changes that bring a copy of one table that is complete up to `base` to `version`.
struct TableUpdate {
  uint64_t base = 0;
  uint64_t version = 0;
  /// Version of the table's last change up to `version`.
  uint64_t newest_change = 0;
  /// Rows changed after `base`; so are the removals.
  std::vector<SharedRow> rows;
  std::vector<RemovedRow> removals;
  /// How long ago the sender last confirmed that this is current, in milliseconds.
  uint32_t age_ms = 0;
  /// As in store::TableChanges.
  uint64_t gap_first = 0;
  uint64_t gap_last = 0;
  /// Maximum age of the oldest change here when this was sent, in milliseconds. A sender of the
  /// previous version does not report it.
  uint32_t change_age_ms = kUnknownAge;
  MSGPACK_DEFINE_ARRAY(base, version, newest_change, rows, removals, age_ms, gap_first, gap_last,
                       change_age_ms);
};

/// The changes from the list of members of version `base` to that of the heartbeat.
struct MemberChanges {
  uint64_t base = 0;
  std::vector<PeerIdentity> joined;
  /// Incarnations.
  std::vector<uint64_t> left;
  MSGPACK_DEFINE_ARRAY(base, joined, left);
};

/// Sent by the coordinator to a node, or as an answer by another node, which names in `lease` the
/// coordinator that it knows.
struct Heartbeat {
  /// The sender's incarnation.
  uint64_t sender = 0;
  /// The sequence of the report that this answers; 0 for a pushed heartbeat.
  uint64_t answered_report = 0;
  /// Epoch 0: the sender knows no coordinator.
  ownership::LeaseView lease;
  /// Remaining time of the sender's lease when this was sent, in milliseconds. 0 when the sender is
  /// not the coordinator.
  uint32_t lease_left_ms = 0;
  ownership::MapVersion map_version;
  /// Set only when the receiver's version is older and the changes since are not known; else empty.
  std::vector<ownership::OwnershipMap> map;
  /// The changes from an older version to `map_version`; at most one element.
  std::vector<ownership::MapChanges> map_changes;
  /// All nodes that reported recently, the sender included. Set only when the changes since the
  /// receiver's version are not known.
  std::vector<PeerIdentity> members;
  /// Increases when `members` changes; members are sent only to receivers with an older version.
  uint64_t members_version = 0;
  /// As in a Report.
  uint64_t configuration_version = 0;
  uint64_t backends_version = 0;
  /// From the coordinator: updates of the configuration and the back ends, in this order; or empty.
  std::vector<TableUpdate> tables;
  /// At most one element, and none when `members` is set.
  std::vector<MemberChanges> member_changes;
  /// The sender of the answered report must send its full identity.
  bool identity_wanted = false;
  /// From the coordinator: incarnations of the nodes that also watch the store.
  std::vector<uint64_t> standbys;
  std::vector<SharedSuspect> suspects;
  std::vector<SharedLimit> limits;
  /// The sender knows the requests that were held before it started, and `suspects` has them all.
  bool suspects_known = false;
  /// As in a Report.
  int64_t sent_us = 0;
  MSGPACK_DEFINE_ARRAY(sender, answered_report, lease, lease_left_ms, map_version, map, map_changes,
                       members, members_version, configuration_version, backends_version, tables,
                       member_changes, identity_wanted, standbys, suspects, limits, suspects_known,
                       sent_us);
};

/// The sender gives up the lease it holds.
struct Resignation {
  uint64_t incarnation = 0;
  MSGPACK_DEFINE_ARRAY(incarnation);
};

/// Sent by a node that cannot reach the metadata store or missed a change, to request newer rows.
/// The sender's copies are complete up to the versions given.
struct SnapshotRequest {
  uint64_t configuration_version = 0;
  uint64_t backends_version = 0;
  /// Number of the sender's request, counted from 1; repeated in the answer.
  uint64_t sequence = 0;
  MSGPACK_DEFINE_ARRAY(configuration_version, backends_version, sequence);
};

/// The answer to a SnapshotRequest: rows as the sender last read them from the store.
struct Snapshot {
  /// The store version of the last change in these rows, which are the full table; the version of
  /// the request, without rows, when the sender has nothing newer.
  uint64_t configuration_version = 0;
  std::vector<SharedRow> configuration;
  uint64_t backends_version = 0;
  std::vector<SharedRow> backends;
  /// How long ago the sender last confirmed that these are current, in milliseconds.
  uint32_t age_ms = 0;
  /// The sequence of the request; 0 from a sender of the previous version.
  uint64_t answered_request = 0;
  MSGPACK_DEFINE_ARRAY(configuration_version, configuration, backends_version, backends, age_ms,
                       answered_request);
};

/// Sent to the node that issues permits for a back end, to request permission to send requests.
struct PermitRequest {
  /// Number of the sender's request, counted from 1; repeated in the answer.
  uint64_t sequence = 0;
  std::string backend;
  /// The back end's limit known to the sender, in requests per second.
  double rate = 0;
  uint32_t wanted = 0;
  MSGPACK_DEFINE_ARRAY(sequence, backend, rate, wanted);
};

struct PermitAnswer {
  uint64_t sequence = 0;
  uint32_t granted = 0;
  /// Time after which another request may be granted, in milliseconds.
  uint32_t retry_ms = 0;
  MSGPACK_DEFINE_ARRAY(sequence, granted, retry_ms);
};

using Message = std::variant<Report, Heartbeat, Resignation, SnapshotRequest, Snapshot,
                             PermitRequest, PermitAnswer, RelayedOrder, RelayedOrderResult,
                             RelayedRequest, RelayedAnswer, RelayCancel>;

}  // namespace ladderstream::membership
