// Carries one change of the configuration from the operator's call to an outcome.
//
// The change commits by a conditional transaction on the configuration's row that also writes the
// operation's row, so that a lost answer is resolved by reading the operation back. It is accepted
// only when it is durable in the table service and committed in the group's log. No I/O, no thread,
// no clock: each answer in, the next action out. Not thread-safe. See
// docs/design/008-configuration.md.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/authority/authority.h"
#include "core/configuration/change.h"
#include "wire/configuration.h"
#include "wire/time.h"

namespace ladderstream::configuration {

struct SubmissionRequest {
  OperationId operation;
  /// The revision the change is made for; empty for any.
  std::optional<Revision> expected_revision;
  Change change;
  /// The revision in force at the asked node: the table service must not hold an older one.
  Revision revision_in_force;
};

/// How long to go on, and how to wait between tries.
struct SubmissionTiming {
  /// After this, a change that is not decided is answered as it stands.
  Duration deadline = absl::Seconds(5);
  Duration first_delay = absl::Milliseconds(50);
  Duration longest_delay = absl::Milliseconds(800);
};

// --- Actions. -----------------------------------------------------------------------------------

/// Run the transaction after `delay` and bring the answer to OnStoreAnswer.
struct RunTransaction {
  authority::StoreTransaction transaction;
  Duration delay = absl::ZeroDuration();
};

/// Propose the command to the group after `delay` and bring the answer to OnProposalAnswer.
struct ProposeAdoption {
  AdoptConfiguration command;
  Duration delay = absl::ZeroDuration();
};

/// The end: tell the operator.
struct SubmissionOutcome {
  /// kOk: durable, committed, and never to revert. kChangePending: not decided, or durable and not
  /// yet committed in the log. Anything else: the change was refused and did not take effect;
  /// kStoreUnavailable says so only of this call, not of an earlier one under the same operation
  /// id.
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// kOk and kChangePending: the revision that the change made (zero when not known).
  /// kRevisionConflict: the newest one. Otherwise the one that the change was tried on.
  Revision revision;
  std::vector<ConfigurationFault> faults;
};

using SubmissionAction = std::variant<RunTransaction, ProposeAdoption, SubmissionOutcome>;

class ChangeSubmission {
 public:
  ChangeSubmission(SubmissionRequest request, const SubmissionTiming& timing, Time now);

  /// The first action.
  SubmissionAction Start();

  SubmissionAction OnStoreAnswer(authority::StoreStatus status,
                                 const std::vector<authority::StoreRow>& rows, Time now);

  SubmissionAction OnProposalAnswer(ResultCode result, Time now);

 private:
  /// The two rows of interest, as one answer of the store gave them.
  struct StoredState {
    uint64_t configuration_version = 0;
    Configuration configuration;
    std::optional<ChangeRecord> record;
  };

  StoredState ReadRows(const std::vector<authority::StoreRow>& rows) const;
  SubmissionAction Decide(const StoredState& state, Time now);
  SubmissionAction DecideWhatIsRecorded(const StoredState& state);
  SubmissionAction Write(const StoredState& state, Duration delay);
  SubmissionAction RetryStore(authority::StoreStatus status, Time now);
  SubmissionAction Adopt(Configuration configuration, Revision revision);
  authority::StoreTransaction ReadTransaction() const;
  SubmissionOutcome Outcome(ResultCode code, std::string message, Revision revision) const;
  Duration NextDelay();

  SubmissionRequest request_;
  SubmissionTiming timing_;
  Time deadline_;
  uint64_t digest_;
  std::string operation_row_;
  Duration delay_ = absl::ZeroDuration();
  /// Whether the transaction under way writes.
  bool writing_ = false;
  /// The version of the configuration's row that the last write depends on.
  uint64_t written_version_ = 0;
  /// Set while a write without an answer may have taken effect or may yet: the version that it
  /// depends on.
  std::optional<uint64_t> undecided_write_;
  /// The revision that the last write makes.
  Revision written_revision_;
  /// The configuration last written; becomes the one to adopt.
  Configuration written_;
};

}  // namespace ladderstream::configuration
