// Drives a ChangeSubmission and ownership commands against the real table service and group.
#pragma once

#include <vector>

#include "core/configuration/change_submission.h"
#include "interfaces/control_plane.h"
#include "interfaces/table_client.h"
#include "wire/command.h"
#include "wire/time.h"

namespace ladderstream::daemon {

/// Thread-safe; each call blocks its thread until its outcome is known or its deadline has passed.
class ChangeRunner {
 public:
  ChangeRunner(TableClientPtr table, ControlPlanePtr control_plane);

  configuration::SubmissionOutcome RunChange(const configuration::SubmissionRequest& request,
                                             Duration deadline) const;

  /// Proposes the commands in order, each until it is committed. Gives kOk, kNoLeader,
  /// kChangePending or the refusal of the group.
  ResultCode RunCommands(const std::vector<Command>& commands, Duration deadline) const;

 private:
  /// Proposes until committed, refused or `end`.
  ResultCode RunCommand(const Command& command, Time end) const;

  TableClientPtr table_;
  ControlPlanePtr control_plane_;
};

}  // namespace ladderstream::daemon
