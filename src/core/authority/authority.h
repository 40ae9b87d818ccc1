// One node's part in deciding who owns what. Every node runs one; the group's leader decides.
//
// Composes the replicated log, the state machine on it, and the leader's duties: leases, moves,
// takeover after a loss, homes, membership, adoption of configurations from the table service, and
// checkpoints. No I/O, no thread, no clock: events and time in, actions out. The daemon, the
// simulator and hollow nodes all drive this class. Not thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/replication/replica.h"
#include "wire/peer_message.h"
#include "wire/time.h"

namespace ladderstream::authority {

struct AuthoritySettings {
  GroupId group;
  NodeDescriptor self;
  replication::Timing replication;
  /// Voters the group wants; odd.
  uint32_t voter_count = 3;
  /// The longest lease a back end gets. Never more than what is left of the leader's own lease.
  Duration backend_lease = absl::Milliseconds(900);
  Duration report_interval = absl::Milliseconds(250);
  Duration pull_interval = absl::Milliseconds(500);
  /// A node unheard for this long loses its homes and its vote.
  Duration node_timeout = absl::Milliseconds(900);
  /// A back end whose lease ended this long ago loses its shards (on top of the lease itself).
  Duration expiry_margin = absl::Milliseconds(50);
  Duration store_poll_interval = absl::Seconds(1);
  Duration checkpoint_interval = absl::Seconds(10);
  /// How long founding waits, with the store up, so that more nodes are seen first.
  Duration founding_delay = absl::Milliseconds(500);
  /// A group whose leader nobody heard, and whose row in the table service nobody wrote, for this
  /// long, and of whose voters a majority is known to have ended, is founded anew from its newest
  /// checkpoint.
  Duration recovery_delay = absl::Seconds(25);
  /// A node whose newest confirmation is older than this serves no request.
  Duration confirmation_limit = absl::Seconds(5);
  uint64_t seed = 1;
};

/// Throws Error(kInconsistentSettings) naming every inequality that does not hold.
void CheckAuthoritySettings(const AuthoritySettings& settings);

// --- The table service, as the authority sees it. -----------------------------------------------

struct StoreRow {
  std::string key;
  /// Zero for a row that does not exist.
  uint64_t version = 0;
  std::string value;
};

/// Takes effect only if every condition holds; reads are answered in any case.
struct StoreTransaction {
  struct Condition {
    std::string key;
    uint64_t version = 0;
  };
  struct Write {
    std::string key;
    std::string value;
  };
  std::vector<std::string> reads;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

enum class StoreStatus {
  kCommitted,
  /// A condition did not hold; nothing was written.
  kConflict,
  /// Surely not written (rate limit, connection refused).
  kRefused,
  /// The answer was lost; it may have been written.
  kUnknown,
};

// --- Events. ------------------------------------------------------------------------------------

/// A message from another node. `correlation` is given back with the answer, if there is one.
struct MessageArrived {
  NodeId from;
  uint64_t correlation = 0;
  bool is_response = false;
  PeerBody body;
};

/// A lease request that came from a back end to this node.
struct LeaseRequested {
  uint64_t correlation = 0;
  LeaseRequest request;
};

/// A command from this node's own operator endpoint.
struct CommandProposed {
  uint64_t correlation = 0;
  Command command;
};

struct StoreAnswered {
  uint64_t correlation = 0;
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreRow> rows;
};

/// The lagging machine list (nodes with ids), with the seeds of the settings file (ids zero) or
/// without. Each event replaces the earlier list. Only a hint, but one that counts when the
/// majority of a group is silent: a voter that the list names may be alive (docs/design/002).
struct PeersDiscovered {
  std::vector<NodeDescriptor> peers;
};

/// What this node's data path saw since the last event of this kind.
struct LoadObserved {
  std::vector<ShardLoad> shards;
  std::vector<BackendLoad> backends;
};

/// The node is to stop: hand over leadership, vote and homes.
struct StopRequested {};

using Event = std::variant<MessageArrived, LeaseRequested, CommandProposed, StoreAnswered,
                           PeersDiscovered, LoadObserved, StopRequested>;

// --- Actions. -----------------------------------------------------------------------------------

/// Sends to a node. With `is_response`, `correlation` is the one of the event answered; otherwise
/// it is the authority's own, zero when no answer is wanted.
struct SendMessage {
  NodeDescriptor to;
  uint64_t correlation = 0;
  bool is_response = false;
  PeerBody body;
};

/// Answers LeaseRequested.
struct AnswerLease {
  uint64_t correlation = 0;
  LeaseResponse response;
};

/// Answers CommandProposed.
struct AnswerCommand {
  uint64_t correlation = 0;
  ProposalResult result;
};

struct RunStoreTransaction {
  uint64_t correlation = 0;
  StoreTransaction transaction;
};

/// Pushes a grant set to a back end whose home is this node, so that it need not wait for its next
/// lease request. Only a hint: it carries no lease, and losing it costs time alone.
struct PushGrants {
  BackendConfiguration backend;
  GrantSet grants;
};

/// The routing state changed; the data path takes a new copy from Authority::routing_state().
struct RoutingChanged {};

/// Nothing depends on this node any more: the process may exit.
struct MayStop {};

/// For logs and metrics: something an operator would want to know.
struct Notice {
  std::string text;
};

using Action = std::variant<SendMessage, AnswerLease, AnswerCommand, RunStoreTransaction,
                            PushGrants, RoutingChanged, MayStop, Notice>;

// --- What the data path routes by. --------------------------------------------------------------

struct RoutingState {
  Configuration configuration;
  std::vector<Assignment> assignments;
  std::vector<BackendHome> homes;
  /// Valid until this moment on the local clock; afterwards the node answers
  /// kConfigurationUnconfirmed.
  Time confirmed_until = absl::InfinitePast();
};

/// For the operators' status call.
struct AuthorityStatus {
  replication::Role role = replication::Role::kIdle;
  uint64_t generation = 0;
  uint64_t term = 0;
  uint64_t commit_index = 0;
  NodeDescriptor leader;
  GroupMembers members;
  Revision revision;
  Duration confirmed_age = absl::InfiniteDuration();
  /// As leader: the nodes reporting, with the revision in force on each.
  std::vector<NodeReport> nodes;
  uint64_t assignments_changed = 0;
};

class Authority {
 public:
  Authority(const AuthoritySettings& settings, Time now);
  ~Authority();

  std::vector<Action> Handle(const Event& event, Time now);
  std::vector<Action> Tick(Time now);
  /// When Tick is next due.
  Time NextTick() const;

  RoutingState routing_state(Time now) const;
  /// The `confirmed_until` of the routing state, without the rest. It moves without RoutingChanged.
  Time confirmed_until() const;
  AuthorityStatus status(Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::authority
