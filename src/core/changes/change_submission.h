// State machine that takes one configuration change from the operator's call to its outcome.
//
// The change commits in one conditional transaction that writes the configuration row and the
// operation row. Its conditions are that the configuration row still has the version that was read
// and that the operation row does not exist. If the store does not respond to the write, both rows
// are read back: an existing operation row shows that the write took effect, a newer configuration
// without it that the write never will. If neither is found, the identical transaction is sent
// again; its conditions let at most one of the copies take effect.
//
// Performs no I/O and uses no thread or clock: the caller executes each action and passes the reply
// in, which returns the next action. Not thread-safe. See docs/design/015-one-ownership-design.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/changes/change.h"
#include "core/changes/change_record.h"
#include "core/changes/configuration_format.h"
#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::changes {

struct SubmissionRequest {
  std::string operation_id;
  /// The revision that the change is based on; empty accepts any.
  std::optional<uint64_t> expected_revision;
  /// Never null.
  ChangePtr change;
  /// A hash of the change that is equal in every process (see DigestOf).
  uint64_t digest = 0;
};

/// The overall time limit and the back-off between attempts.
struct SubmissionTiming {
  /// Time from the call until an undecided change is answered with kChangePending or
  /// kStoreUnavailable.
  Duration deadline = absl::Seconds(8);
  Duration initial_backoff = absl::Milliseconds(50);
  Duration max_backoff = absl::Milliseconds(800);
};

/// Read the row `key` after `delay` and pass the reply to OnRead.
struct ReadRow {
  store::RowKey key;
  Duration delay = absl::ZeroDuration();
};

/// Execute the transaction after `delay` and pass the reply to OnWrite.
struct WriteRows {
  store::Transaction transaction;
  Duration delay = absl::ZeroDuration();
};

/// The final action: report the outcome to the operator.
struct SubmissionOutcome {
  /// kOk: the change is durable and will not be reverted. kChangePending: the change may have taken
  /// effect or may still do so. Any other code: the change was rejected and did not take effect;
  /// kStoreUnavailable states this only for this call, not for an earlier one with the same
  /// operation id.
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// kOk and kChangePending: the revision that the change creates. kOperationIdReused: the revision
  /// that the recorded change created. Otherwise the newest revision read; 0 if none was.
  uint64_t revision = 0;
  std::vector<ConfigurationFault> faults;
};

using SubmissionAction = std::variant<ReadRow, WriteRows, SubmissionOutcome>;

/// Returns the row `key` from the reply to a read that starts at `key`; null if it is missing or
/// removed.
const store::Row* FindRow(const store::StoreReply& reply, const store::RowKey& key);

class ChangeSubmission {
 public:
  ChangeSubmission(SubmissionRequest request, ConfigurationFormatPtr format,
                   const SubmissionTiming& timing, Time now);

  /// Returns the first action.
  SubmissionAction Start();
  SubmissionAction OnRead(const store::StoreReply& reply, Time now);
  SubmissionAction OnWrite(const store::StoreReply& reply, Time now);

 private:
  enum class Step { kReadConfiguration, kReadOperation, kWrite };

  SubmissionAction ReadConfiguration(Duration delay);
  SubmissionAction ReadOperation(Duration delay);
  SubmissionAction Write(Duration delay);
  void LoadConfiguration(const store::StoreReply& reply);
  SubmissionAction OutcomeFromRecord(const store::Row& row) const;
  SubmissionAction PrepareWrite();
  /// Returns the action of `step` after the back-off, or GiveUp() if that would reach the deadline.
  SubmissionAction Retry(Step step, const std::string& detail, Time now);
  SubmissionAction GiveUp(const std::string& detail) const;
  SubmissionOutcome Outcome(ResultCode code, std::string message, uint64_t revision) const;
  Duration NextBackoff();

  SubmissionRequest request_;
  ConfigurationFormatPtr format_;
  SubmissionTiming timing_;
  Time deadline_;
  store::RowKey operation_row_;
  Step step_ = Step::kReadConfiguration;
  Duration backoff_ = absl::ZeroDuration();
  /// The configuration as last read, its stored value and the version of its row.
  catalog::Configuration configuration_;
  std::string stored_value_;
  store::RowVersion row_version_ = 0;
  /// The transaction being attempted and the revision that it creates.
  store::Transaction transaction_;
  uint64_t written_revision_ = 0;
  /// The version of the configuration row on which an unanswered write is conditional. Set while
  /// that write may have taken effect or may still do so.
  std::optional<store::RowVersion> unresolved_version_;
};

}  // namespace ladderstream::changes
