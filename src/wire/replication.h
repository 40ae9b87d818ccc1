// Messages of the replicated log (Raft, with pre-vote, leader leases, learners and snapshots).
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "wire/duration.h"
#include "wire/identifiers.h"
#include "wire/variant.h"

namespace ladderstream {

/// The replicas of a group. Changes by one voter at a time.
struct GroupMembers {
  std::vector<NodeDescriptor> voters;
  std::vector<NodeDescriptor> learners;

  bool operator==(const GroupMembers&) const = default;
  MSGPACK_DEFINE_ARRAY(voters, learners);
};

enum class EntryKind : uint8_t { kLeaderStart = 1, kCommand = 2, kMembers = 3 };

}  // namespace ladderstream

MSGPACK_ADD_ENUM(ladderstream::EntryKind);

namespace ladderstream {

struct LogEntry {
  uint64_t term = 0;
  uint64_t index = 0;
  EntryKind kind = EntryKind::kCommand;
  /// An encoded Command (kCommand) or GroupMembers (kMembers); empty for kLeaderStart.
  std::string payload;

  bool operator==(const LogEntry&) const = default;
  MSGPACK_DEFINE_ARRAY(term, index, kind, payload);
};

struct VoteRequest {
  uint64_t term = 0;
  uint64_t last_log_term = 0;
  uint64_t last_log_index = 0;
  /// Asks whether a vote would be given; changes nothing at the voter.
  bool pre_vote = false;
  /// The leader itself asked the candidate to take over: voters answer though they hear it.
  bool leadership_transfer = false;
  MSGPACK_DEFINE_ARRAY(term, last_log_term, last_log_index, pre_vote, leadership_transfer);
};

struct VoteResponse {
  uint64_t term = 0;
  bool granted = false;
  bool pre_vote = false;
  /// How much longer the voter's promise to an earlier leader may keep that leader's lease alive.
  /// The new leader gives no shard to a new owner before it has passed.
  absl::Duration promise_remaining = absl::ZeroDuration();
  MSGPACK_DEFINE_ARRAY(term, granted, pre_vote, promise_remaining);
};

struct AppendRequest {
  uint64_t term = 0;
  uint64_t previous_term = 0;
  uint64_t previous_index = 0;
  uint64_t commit_index = 0;
  /// Counts the leader's rounds; echoed in the response, so that the leader knows when the request
  /// that a voter has answered was sent.
  uint64_t round = 0;
  /// How much longer leases of leaders before the sender may last. The receiver remembers it, so
  /// that it is not lost when voters are replaced.
  absl::Duration earlier_lease_remaining = absl::ZeroDuration();
  std::vector<LogEntry> entries;
  MSGPACK_DEFINE_ARRAY(term, previous_term, previous_index, commit_index, round,
                       earlier_lease_remaining, entries);
};

struct AppendResponse {
  uint64_t term = 0;
  uint64_t round = 0;
  bool success = false;
  /// On success the last index that matches; otherwise the index of the first entry to send next.
  uint64_t match_index = 0;
  MSGPACK_DEFINE_ARRAY(term, round, success, match_index);
};

struct SnapshotRequest {
  uint64_t term = 0;
  uint64_t round = 0;
  uint64_t last_term = 0;
  uint64_t last_index = 0;
  GroupMembers members;
  std::string state;
  /// As in AppendRequest.
  absl::Duration earlier_lease_remaining = absl::ZeroDuration();
  MSGPACK_DEFINE_ARRAY(term, round, last_term, last_index, members, state, earlier_lease_remaining);
};

/// The leader asks a voter to stand for election at once.
struct TransferRequest {
  uint64_t term = 0;
  MSGPACK_DEFINE_ARRAY(term);
};

/// AppendRequest and SnapshotRequest are answered with AppendResponse, VoteRequest with
/// VoteResponse.
using ReplicationBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse,
                                     SnapshotRequest, TransferRequest>;

struct ReplicationMessage {
  GroupId group;
  uint64_t generation = 0;
  ReplicationBody body;
  MSGPACK_DEFINE_ARRAY(group, generation, body);
};

}  // namespace ladderstream
