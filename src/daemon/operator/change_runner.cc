#include "daemon/operator/change_runner.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "daemon/operator/boot_time.h"

namespace ladderstream::daemon {
namespace {

using configuration::ChangeSubmission;
using configuration::ProposeAdoption;
using configuration::RunTransaction;
using configuration::SubmissionAction;
using configuration::SubmissionOutcome;

constexpr Duration kLongestProposal = absl::Seconds(1);
constexpr Duration kShortestProposal = absl::Milliseconds(100);
constexpr Duration kRetryDelay = absl::Milliseconds(100);

Duration ProposalTimeout(Time deadline) {
  return std::clamp(deadline - BootTimeNow(), kShortestProposal, kLongestProposal);
}

bool MayRetry(ResultCode code) {
  return code == ResultCode::kNoLeader || code == ResultCode::kPeerTimeout;
}

}  // namespace

ChangeRunner::ChangeRunner(TableClientPtr table, ControlPlanePtr control_plane)
    : table_(std::move(table)), control_plane_(std::move(control_plane)) {}

SubmissionOutcome ChangeRunner::RunChange(const configuration::SubmissionRequest& request,
                                          Duration deadline) const {
  configuration::SubmissionTiming timing;
  timing.deadline = deadline;
  const Time end = BootTimeNow() + deadline;
  ChangeSubmission submission(request, timing, BootTimeNow());
  SubmissionAction action = submission.Start();
  while (!std::holds_alternative<SubmissionOutcome>(action)) {
    if (const auto* const run = std::get_if<RunTransaction>(&action)) {
      absl::SleepFor(run->delay);
      const TableResult result = table_->Run(run->transaction);
      action = submission.OnStoreAnswer(result.status, result.rows, BootTimeNow());
      continue;
    }
    const auto& adoption = std::get<ProposeAdoption>(action);
    absl::SleepFor(adoption.delay);
    const ProposalResult result = control_plane_->Propose(adoption.command, ProposalTimeout(end));
    action = submission.OnProposalAnswer(result.result, BootTimeNow());
  }
  return std::get<SubmissionOutcome>(action);
}

ResultCode ChangeRunner::RunCommands(const std::vector<Command>& commands,
                                     Duration deadline) const {
  const Time end = BootTimeNow() + deadline;
  for (const Command& command : commands) {
    const ResultCode code = RunCommand(command, end);
    if (code != ResultCode::kOk) {
      return code;
    }
  }
  return ResultCode::kOk;
}

ResultCode ChangeRunner::RunCommand(const Command& command, Time end) const {
  bool may_be_committed = false;
  while (true) {
    const ResultCode code = control_plane_->Propose(command, ProposalTimeout(end)).result;
    const bool is_split =
        code == ResultCode::kAlreadyExists && std::holds_alternative<SplitKey>(command);
    if (code == ResultCode::kOk || is_split) {
      return ResultCode::kOk;
    }
    may_be_committed = may_be_committed || code == ResultCode::kPeerTimeout;
    if (MayRetry(code) && BootTimeNow() + kRetryDelay < end) {
      absl::SleepFor(kRetryDelay);
      continue;
    }
    // A refusal after an answer was lost may only say that the first try did its work.
    return may_be_committed ? ResultCode::kChangePending : code;
  }
}

}  // namespace ladderstream::daemon
