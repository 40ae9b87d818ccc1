// Carries one change of the configuration from the operator's call to an outcome.
//
// The change commits by one conditional transaction that writes the configuration's row and the
// operation's row: the first as it was read, the second not there yet. A write without an answer is
// settled by reading back: the operation's row shows that it took effect, and a newer configuration
// that it never will. If neither is there, the very same write is sent again, of which at most one
// takes effect. No I/O, no thread, no clock: each answer in,
// the next action out. Not thread-safe. See docs/design/015-one-ownership-design.md.
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
  /// The revision the change is made for; empty for any.
  std::optional<uint64_t> expected_revision;
  /// Never null.
  ChangePtr change;
  /// The same for the same change, in every process.
  uint64_t digest = 0;
};

/// How long to go on, and how to wait between tries.
struct SubmissionTiming {
  /// After this, a change that is not decided is answered as it stands.
  Duration deadline = absl::Seconds(8);
  Duration initial_backoff = absl::Milliseconds(50);
  Duration max_backoff = absl::Milliseconds(800);
};

/// Read the row `key` after `delay` and bring the answer to OnRead.
struct ReadRow {
  store::RowKey key;
  Duration delay = absl::ZeroDuration();
};

/// Run the transaction after `delay` and bring the answer to OnWrite.
struct WriteRows {
  store::Transaction transaction;
  Duration delay = absl::ZeroDuration();
};

/// The end: tell the operator.
struct SubmissionOutcome {
  /// kOk: durable, never to revert. kChangePending: not decided. Anything else: the change was
  /// refused and did not take effect; kStoreUnavailable says so only of this call, not of an
  /// earlier one under the same operation id.
  ResultCode code = ResultCode::kOk;
  std::string message;
  /// kOk and kChangePending: the revision that the change made. Otherwise the newest one that was
  /// read; 0 when none was.
  uint64_t revision = 0;
  std::vector<ConfigurationFault> faults;
};

using SubmissionAction = std::variant<ReadRow, WriteRows, SubmissionOutcome>;

/// The row of `key` in the answer to a read that began at it; null when there is none.
const store::Row* FindRow(const store::StoreReply& reply, const store::RowKey& key);

class ChangeSubmission {
 public:
  ChangeSubmission(SubmissionRequest request, ConfigurationFormatPtr format,
                   const SubmissionTiming& timing, Time now);

  /// The first action.
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
  /// Goes on with `step` after a wait, or gives up at the deadline.
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
  /// As last read.
  catalog::Configuration configuration_;
  std::string stored_value_;
  store::RowVersion row_version_ = 0;
  /// The write that is tried, and the revision that it makes.
  store::Transaction transaction_;
  uint64_t written_revision_ = 0;
  /// Set while a write without an answer may have taken effect or may yet: the version of the
  /// configuration's row that it depends on.
  std::optional<store::RowVersion> unresolved_version_;
};

}  // namespace ladderstream::changes
