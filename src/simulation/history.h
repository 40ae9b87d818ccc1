// What a run did, as its invariants need it. Violations are thrown as they are found.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/authority/authority.h"
#include "simulation/backend_process.h"

namespace ladderstream::simulation {

/// What the caller of a request was told.
enum class CallOutcome { kNone, kAnswered, kDidNotRun, kUnknown };

/// A change of ownership that was acknowledged to an operator.
struct AcknowledgedMove {
  ShardId shard;
  GrantToken token;
};

struct Counts {
  uint64_t events = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t moves = 0;
  uint64_t revisions = 0;
};

class History {
 public:
  /// At most one back end would serve a shard at this instant, under a token not lower than any it
  /// was served under before. `backends` are all that live, paused or not.
  void CheckOwners(const std::vector<const BackendProcess*>& backends);

  /// The revision in force at a node never goes back, and is the same configuration everywhere.
  void CheckRevision(NodeId node, const Configuration& configuration);

  void NoteRun(uint64_t request);
  void NoteOutcome(uint64_t request, CallOutcome outcome);
  void NoteMove(const AcknowledgedMove& move);
  void NoteRevision(Revision revision);

  /// At the end: outcomes agree with what ran.
  void CheckCalls() const;
  /// At the end: every acknowledged move is known to the leader's state.
  void CheckMoves(const authority::RoutingState& state, uint64_t generation) const;

  Revision newest_acknowledged() const { return newest_acknowledged_; }
  const Counts& counts() const { return counts_; }
  void CountEvent() { ++counts_.events; }

 private:
  void CheckGrant(const BackendProcess& backend, const Grant& grant);

  struct Call {
    int runs = 0;
    CallOutcome outcome = CallOutcome::kNone;
  };

  std::map<ShardId, const BackendProcess*> owners_;
  std::map<ShardId, GrantToken> newest_token_;
  std::map<NodeId, Revision> revision_of_node_;
  std::map<Revision, std::string> configurations_;
  std::map<uint64_t, Call> calls_;
  std::vector<AcknowledgedMove> moves_;
  Revision newest_acknowledged_;
  Counts counts_;
};

}  // namespace ladderstream::simulation
