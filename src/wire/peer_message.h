// Messages between nodes. One frame carries one PeerFrame; docs/design/ describes the protocol.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <variant>
#include <vector>

#include "wire/command.h"
#include "wire/configuration.h"
#include "wire/duration.h"
#include "wire/identifiers.h"
#include "wire/ownership.h"
#include "wire/replication.h"
#include "wire/result_code.h"
#include "wire/variant.h"

namespace ladderstream {

/// A load report about one shard. Only the busiest shards of a node are reported by name.
struct ShardLoad {
  ShardId shard;
  /// Requests per second over the reporting period.
  double rate = 0;
  MSGPACK_DEFINE_ARRAY(shard, rate);
};

/// What a home node saw of one back end on real requests.
struct BackendLoad {
  BackendId backend;
  /// Requests per second answered.
  double rate = 0;
  uint32_t in_flight = 0;
  uint32_t queued = 0;
  /// Connection failures, time-outs and refusals per second.
  double failure_rate = 0;
  MSGPACK_DEFINE_ARRAY(backend, rate, in_flight, queued, failure_rate);
};

/// Sent by each node of a group to the leader (or to any voter, which answers with the leader).
struct NodeReport {
  NodeDescriptor node;
  Revision revision_in_force;
  std::vector<ShardLoad> shards;
  std::vector<BackendLoad> backends;
  /// Set when the node wants to stop: its homes and its vote are handed over first.
  bool leaving = false;
  MSGPACK_DEFINE_ARRAY(node, revision_in_force, shards, backends, leaving);
};

struct NodeReportAck {
  bool from_leader = false;
  /// Where to report next; id zero when no leader is known.
  NodeDescriptor leader;
  /// The reporter is neither home of a back end nor a voter any more: it may stop.
  bool may_stop = false;
  MSGPACK_DEFINE_ARRAY(from_leader, leader, may_stop);
};

/// Passes a back end's lease request on to the leader. `hops` stops endless passing.
struct ForwardedLeaseRequest {
  LeaseRequest request;
  uint32_t hops = 0;
  MSGPACK_DEFINE_ARRAY(request, hops);
};

/// Tells a back end's home node that a newer grant set exists, so that it pushes it to the back
/// end.
struct GrantsChanged {
  BackendId backend;
  GrantSet grants;
  MSGPACK_DEFINE_ARRAY(backend, grants);
};

/// Asks the leader to put a command into the log.
struct Proposal {
  Command command;
  uint32_t hops = 0;
  MSGPACK_DEFINE_ARRAY(command, hops);
};

/// The answer, once the command is committed and applied, or refused.
struct ProposalResult {
  ResultCode result = ResultCode::kNoLeader;
  /// The place of the committed entry.
  GrantToken token;
  MSGPACK_DEFINE_ARRAY(result, token);
};

/// Which node holds a back end's connections and queue.
struct BackendHome {
  BackendId backend;
  NodeDescriptor home;
  bool draining = false;
  MSGPACK_DEFINE_ARRAY(backend, home, draining);
};

/// Asks a peer for configuration and ownership newer than what the asker knows.
struct StatePull {
  Revision known_revision;
  /// The highest `changed_at` known of the group's assignments.
  GrantToken known_ownership;
  MSGPACK_DEFINE_ARRAY(known_revision, known_ownership);
};

struct StatePullResponse {
  /// The highest revision that the answering node holds.
  Revision revision;
  /// How long ago, read after the request arrived, the leader is known to have confirmed `revision`
  /// as the newest. The asker adds the time since it sent the request.
  absl::Duration confirmed_age = absl::InfiniteDuration();
  /// One element when newer than the asker's; otherwise none.
  std::vector<Configuration> configuration;
  /// The state of ownership this answer brings the asker to.
  GrantToken ownership_version;
  /// Set when `assignments` replaces all that the asker knew.
  bool ownership_is_full = false;
  std::vector<Assignment> assignments;
  /// Split keys given back to their ranges.
  std::vector<ShardId> removed;
  std::vector<BackendHome> homes;
  MSGPACK_DEFINE_ARRAY(revision, confirmed_age, configuration, ownership_version, ownership_is_full,
                       assignments, removed, homes);
};

/// A caller's request on its way to the home node of the chosen back end.
struct ForwardRequest {
  ServiceName service;
  std::string key;
  /// The name of the RequestRule.
  std::string request;
  std::string body;
  std::string content_type;
  BackendId backend;
  /// Empty (all zero) for services routed by load.
  GrantToken token;
  absl::Duration remaining = absl::ZeroDuration();
  Priority priority = Priority::kNormal;
  /// Distinguishes one attempt at the back end, for cancellation.
  std::string request_id;
  /// The caller's own id, passed on to the back end; may be empty.
  std::string caller_id;
  MSGPACK_DEFINE_ARRAY(service, key, request, body, content_type, backend, token, remaining,
                       priority, request_id, caller_id);
};

/// What came of one attempt, in full.
struct ForwardResponse {
  ResultCode result = ResultCode::kNodeLost;
  /// The back end's own status when `result` is kOk.
  uint32_t status = 0;
  std::string body;
  std::string content_type;
  /// With a refusal: when to come back.
  absl::Duration retry_after = absl::ZeroDuration();
  MSGPACK_DEFINE_ARRAY(result, status, body, content_type, retry_after);
};

/// The caller has gone: the attempt need not be finished.
struct ForwardCancel {
  std::string request_id;
  MSGPACK_DEFINE_ARRAY(request_id);
};

using PeerBody = std::variant<ReplicationMessage, NodeReport, NodeReportAck, ForwardedLeaseRequest,
                              LeaseResponse, GrantsChanged, Proposal, ProposalResult, StatePull,
                              StatePullResponse, ForwardRequest, ForwardResponse, ForwardCancel>;

/// `correlation` ties an answer to its question; zero for messages that want no answer.
struct PeerFrame {
  NodeId from;
  uint64_t correlation = 0;
  bool is_response = false;
  PeerBody body;
  MSGPACK_DEFINE_ARRAY(from, correlation, is_response, body);
};

}  // namespace ladderstream
