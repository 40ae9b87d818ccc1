#include "simulation/operators.h"

#include <absl/strings/str_cat.h>

#include <optional>
#include <utility>

namespace ladderstream::simulation {
namespace {

constexpr Duration kMeanGap = absl::Milliseconds(400);
constexpr double kShareOfMoves = 0.7;
constexpr uint32_t kLargestQueue = 500;

}  // namespace

struct Operators::Submission {
  Submission(size_t at, configuration::SubmissionRequest request, Time now)
      : node(at), state(std::move(request), configuration::SubmissionTiming(), now) {}

  size_t node;
  configuration::ChangeSubmission state;
};

void Operators::Run(Time end) {
  Environment& environment = cluster_.environment();
  if (environment.now() >= end) {
    return;
  }
  const size_t node = environment.DrawNumber() % cluster_.node_count();
  const bool moves = environment.Draw() < kShareOfMoves;
  environment.AtHost(cluster_.NodeHost(node), absl::ZeroDuration(), [this, node, moves] {
    if (moves) {
      MoveShard(node);
    } else {
      ChangeService(node);
    }
  });
  environment.At(environment.now() + 2 * kMeanGap * environment.Draw(), [this, end] { Run(end); });
}

void Operators::MoveShard(size_t node) {
  Environment& environment = cluster_.environment();
  const auto& backends = cluster_.first_configuration().backends;
  const BackendConfiguration& target = backends[environment.DrawNumber() % backends.size()];
  const ServiceConfiguration* const service =
      FindService(cluster_.first_configuration(), target.service);
  const auto range = static_cast<uint32_t>(environment.DrawNumber() % service->range_count);
  const ShardId shard{target.service, RangeIndex(range), ""};
  cluster_.Node(node)->Propose(RevokeShards{{{shard, target.id}}},
                               [this, shard](const auto& result) {
                                 if (result.result == ResultCode::kOk) {
                                   cluster_.history().NoteMove({shard, result.token});
                                 }
                               });
}

void Operators::ChangeService(size_t node) {
  const Configuration known = cluster_.Node(node)->Routing().configuration;
  if (known.services.empty()) {
    return;
  }
  Environment& environment = cluster_.environment();
  configuration::SubmissionRequest request;
  request.operation = OperationId(absl::StrCat("operation-", next_operation_++));
  if (environment.Draw() < 0.5) {
    request.expected_revision = known.revision;
  }
  request.revision_in_force = known.revision;
  ServiceConfiguration service = known.services[environment.DrawNumber() % known.services.size()];
  service.limits.max_queue = 1 + static_cast<uint32_t>(environment.DrawNumber() % kLargestQueue);
  request.change = configuration::UpdateService{service};
  auto submission =
      std::make_shared<Submission>(node, std::move(request), cluster_.Node(node)->LocalNow());
  Continue(submission, submission->state.Start());
}

void Operators::Continue(const std::shared_ptr<Submission>& submission,
                         const configuration::SubmissionAction& action) {
  std::visit([&](const auto& chosen) { RunAction(submission, chosen); }, action);
}

void Operators::RunAction(const std::shared_ptr<Submission>& submission,
                          const configuration::RunTransaction& action) {
  const HostId host = cluster_.NodeHost(submission->node);
  cluster_.environment().AtHost(host, action.delay, [=, this, transaction = action.transaction] {
    NodeProcess* const node = cluster_.Node(submission->node);
    node->RunTransaction(transaction, [=, this](const StoreResult& result) {
      Continue(submission,
               submission->state.OnStoreAnswer(result.status, result.rows, node->LocalNow()));
    });
  });
}

void Operators::RunAction(const std::shared_ptr<Submission>& submission,
                          const configuration::ProposeAdoption& action) {
  const HostId host = cluster_.NodeHost(submission->node);
  cluster_.environment().AtHost(host, action.delay, [=, this, command = action.command] {
    NodeProcess* const node = cluster_.Node(submission->node);
    node->Propose(command, [=, this](const ProposalResult& result) {
      Continue(submission, submission->state.OnProposalAnswer(result.result, node->LocalNow()));
    });
  });
}

void Operators::RunAction(const std::shared_ptr<Submission>& /*submission*/,
                          const configuration::SubmissionOutcome& outcome) {
  if (outcome.code == ResultCode::kOk) {
    cluster_.history().NoteRevision(outcome.revision);
  }
}

}  // namespace ladderstream::simulation
