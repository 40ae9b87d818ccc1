#include "daemon/operator/change_runner.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <time.h>

#include <algorithm>
#include <utility>
#include <variant>

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

Time Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

Duration ProposalTimeout(Time deadline) {
  return std::clamp(deadline - Now(), kShortestProposal, kLongestProposal);
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
  const Time end = Now() + deadline;
  ChangeSubmission submission(request, timing, Now());
  SubmissionAction action = submission.Start();
  while (!std::holds_alternative<SubmissionOutcome>(action)) {
    if (const auto* const run = std::get_if<RunTransaction>(&action)) {
      absl::SleepFor(run->delay);
      const TableResult result = table_->Run(run->transaction);
      action = submission.OnStoreAnswer(result.status, result.rows, Now());
      continue;
    }
    const auto& adoption = std::get<ProposeAdoption>(action);
    absl::SleepFor(adoption.delay);
    const ProposalResult result = control_plane_->Propose(adoption.command, ProposalTimeout(end));
    action = submission.OnProposalAnswer(result.result, Now());
  }
  return std::get<SubmissionOutcome>(action);
}

ResultCode ChangeRunner::RunCommands(const std::vector<Command>& commands,
                                     Duration deadline) const {
  const Time end = Now() + deadline;
  for (const Command& command : commands) {
    ResultCode code = control_plane_->Propose(command, ProposalTimeout(end)).result;
    while (MayRetry(code) && Now() + kRetryDelay < end) {
      absl::SleepFor(kRetryDelay);
      code = control_plane_->Propose(command, ProposalTimeout(end)).result;
    }
    if (code == ResultCode::kPeerTimeout) {
      return ResultCode::kChangePending;
    }
    if (code != ResultCode::kOk) {
      return code;
    }
  }
  return ResultCode::kOk;
}

}  // namespace ladderstream::daemon
