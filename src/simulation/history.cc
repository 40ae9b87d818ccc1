#include "simulation/history.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "wire/codec.h"

namespace ladderstream::simulation {
namespace {

std::string NameOf(const ShardId& shard) {
  return absl::StrCat(shard.service.value(), "/", shard.range.value(), "/", shard.key);
}

}  // namespace

void History::CheckOwners(const std::vector<const BackendProcess*>& backends) {
  owners_.clear();
  for (const BackendProcess* backend : backends) {
    if (!backend->HasLease()) {
      continue;
    }
    for (const Grant& grant : backend->held().grants) {
      CheckGrant(*backend, grant);
    }
  }
}

void History::CheckGrant(const BackendProcess& backend, const Grant& grant) {
  const auto [owner, is_new] = owners_.emplace(grant.shard, &backend);
  if (!is_new) {
    throw InvariantViolation(absl::StrCat("two owners of ", NameOf(grant.shard), ": ",
                                          owner->second->id().value(), " and ",
                                          backend.id().value()));
  }
  GrantToken& newest = newest_token_[grant.shard];
  if (grant.token < newest) {
    throw InvariantViolation(absl::StrCat("token of ", NameOf(grant.shard), " went back from ",
                                          FormatToken(newest), " to ", FormatToken(grant.token)));
  }
  newest = grant.token;
}

void History::CheckRevision(NodeId node, const Configuration& configuration) {
  Revision& known = revision_of_node_[node];
  if (configuration.revision < known) {
    throw InvariantViolation(absl::StrCat("revision went back from ", known.value(), " to ",
                                          configuration.revision.value(), " at node ",
                                          node.value()));
  }
  if (configuration.revision == known) {
    return;
  }
  known = configuration.revision;
  std::string bytes = Encode(configuration);
  const auto [first, is_new] = configurations_.emplace(known, bytes);
  if (first->second != bytes) {
    throw InvariantViolation(absl::StrCat("revision ", known.value(), " has two meanings"));
  }
}

void History::NoteRun(uint64_t request) {
  if (++calls_[request].runs > 1) {
    throw InvariantViolation(absl::StrCat("request ", request, " ran twice"));
  }
}

void History::NoteOutcome(uint64_t request, CallOutcome outcome) {
  calls_[request].outcome = outcome;
  counts_.answered += outcome == CallOutcome::kAnswered ? 1 : 0;
  counts_.not_run += outcome == CallOutcome::kDidNotRun ? 1 : 0;
  counts_.unknown += outcome == CallOutcome::kUnknown ? 1 : 0;
}

void History::NoteMove(const AcknowledgedMove& move) {
  moves_.push_back(move);
  ++counts_.moves;
}

void History::NoteRevision(Revision revision) {
  newest_acknowledged_ = std::max(newest_acknowledged_, revision);
  ++counts_.revisions;
}

void History::CheckCalls() const {
  for (const auto& [request, call] : calls_) {
    const bool wrong_refusal = call.outcome == CallOutcome::kDidNotRun && call.runs != 0;
    const bool wrong_answer = call.outcome == CallOutcome::kAnswered && call.runs != 1;
    if (wrong_refusal || wrong_answer) {
      throw InvariantViolation(absl::StrCat("request ", request, " ran ", call.runs,
                                            " times, its caller was told otherwise"));
    }
  }
}

void History::CheckMoves(const authority::RoutingState& state, uint64_t generation) const {
  for (const AcknowledgedMove& move : moves_) {
    const bool is_known =
        std::any_of(state.assignments.begin(), state.assignments.end(), [&](const auto& item) {
          return item.shard == move.shard && item.changed_at >= move.token;
        });
    if (move.token.generation == generation && !is_known) {
      throw InvariantViolation(absl::StrCat("acknowledged move ", FormatToken(move.token), " of ",
                                            NameOf(move.shard), " was lost"));
    }
  }
}

}  // namespace ladderstream::simulation
