#include "core/changes/change_submission.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::changes {

using store::StoreReply;
using store::StoreStatus;

const store::Row* FindRow(const StoreReply& reply, const store::RowKey& key) {
  const auto found = std::find_if(reply.rows.begin(), reply.rows.end(),
                                  [&](const store::Row& row) { return row.key == key; });
  return found == reply.rows.end() || found->removed ? nullptr : &*found;
}

ChangeSubmission::ChangeSubmission(SubmissionRequest request, ConfigurationFormatPtr format,
                                   const SubmissionTiming& timing, Time now)
    : request_(std::move(request)),
      format_(std::move(format)),
      timing_(timing),
      deadline_(now + timing.deadline),
      operation_row_{kOperationTable, format_->row().partition, request_.operation_id} {}

SubmissionAction ChangeSubmission::Start() { return ReadConfiguration(absl::ZeroDuration()); }

SubmissionAction ChangeSubmission::OnRead(const StoreReply& reply, Time now) {
  if (reply.status != StoreStatus::kDone) {
    return Retry(step_, reply.detail, now);
  }
  try {
    if (step_ == Step::kReadConfiguration) {
      LoadConfiguration(reply);
      return ReadOperation(absl::ZeroDuration());
    }
    const store::Row* const record = FindRow(reply, operation_row_);
    return record == nullptr ? PrepareWrite() : OutcomeFromRecord(*record);
  } catch (const ConfigurationError& error) {
    SubmissionOutcome outcome = Outcome(error.code(), error.what(), configuration_.version);
    outcome.faults = error.faults();
    return outcome;
  } catch (const Error& error) {
    return Outcome(ResultCode::kInternal,
                   absl::StrCat("cannot decode a row read from the store: ", error.what()),
                   configuration_.version);
  }
}

SubmissionAction ChangeSubmission::OnWrite(const StoreReply& reply, Time now) {
  switch (reply.status) {
    case StoreStatus::kDone:
      return Outcome(ResultCode::kOk, "accepted", written_revision_);
    case StoreStatus::kConflict:
      // Either another change committed first or an earlier attempt of this one took effect.
      // Reading both rows again shows which.
      return Retry(Step::kReadConfiguration, "another change committed first", now);
    case StoreStatus::kInvalid:
      return Outcome(ResultCode::kInternal,
                     absl::StrCat("the store rejected the transaction as invalid: ", reply.detail),
                     configuration_.version);
    case StoreStatus::kUnknown:
      unresolved_version_ = row_version_;
      return Retry(Step::kReadConfiguration, reply.detail, now);
    default:
      return Retry(Step::kWrite, reply.detail, now);
  }
}

SubmissionAction ChangeSubmission::ReadConfiguration(Duration delay) {
  step_ = Step::kReadConfiguration;
  return ReadRow{format_->row(), delay};
}

/// Runs after ReadConfiguration, so that it finds the record of a change with this operation id
/// even if that change committed after the configuration was read.
SubmissionAction ChangeSubmission::ReadOperation(Duration delay) {
  step_ = Step::kReadOperation;
  return ReadRow{operation_row_, delay};
}

SubmissionAction ChangeSubmission::Write(Duration delay) {
  step_ = Step::kWrite;
  return WriteRows{transaction_, delay};
}

void ChangeSubmission::LoadConfiguration(const StoreReply& reply) {
  const store::Row* const row = FindRow(reply, format_->row());
  configuration_ = row == nullptr ? catalog::Configuration() : format_->Decode(row->value);
  stored_value_ = row == nullptr ? "" : row->value;
  row_version_ = row == nullptr ? 0 : row->version;
}

SubmissionAction ChangeSubmission::OutcomeFromRecord(const store::Row& row) const {
  const ChangeRecord record = DecodeChangeRecord(row.value);
  if (record.digest != request_.digest) {
    return Outcome(
        ResultCode::kOperationIdReused,
        absl::StrCat("operation id ", request_.operation_id,
                     " belongs to another change, which made revision ", record.revision),
        record.revision);
  }
  return Outcome(ResultCode::kOk, "accepted", record.revision);
}

SubmissionAction ChangeSubmission::PrepareWrite() {
  if (unresolved_version_ == row_version_) {
    return Write(absl::ZeroDuration());
  }
  // The row is newer than the version on which an unanswered write is conditional, so that write
  // can no longer take effect.
  unresolved_version_.reset();
  const uint64_t newest = configuration_.version;
  if (request_.expected_revision.has_value() && *request_.expected_revision != newest) {
    return Outcome(ResultCode::kRevisionConflict,
                   absl::StrCat("expected revision ", *request_.expected_revision,
                                ", found revision ", newest),
                   newest);
  }
  const catalog::Configuration changed = ApplyChange(configuration_, *request_.change);
  const std::string value = format_->Encode(changed, stored_value_);
  if (value.size() > format_->max_value_bytes()) {
    throw ConfigurationError(
        {{ResultCode::kInvalidConfiguration, "configuration", absl::StrCat(value.size(), " bytes"),
          absl::StrCat("at most ", format_->max_value_bytes(), " bytes")}});
  }
  written_revision_ = changed.version;
  transaction_ = {};
  transaction_.conditions = {{format_->row(), row_version_}, {operation_row_, 0}};
  transaction_.puts = {{format_->row(), value},
                       {operation_row_, EncodeChangeRecord({request_.digest, written_revision_})}};
  return Write(absl::ZeroDuration());
}

SubmissionAction ChangeSubmission::Retry(Step step, const std::string& detail, Time now) {
  const Duration delay = NextBackoff();
  if (now + delay >= deadline_) {
    return GiveUp(detail);
  }
  switch (step) {
    case Step::kReadConfiguration:
      return ReadConfiguration(delay);
    case Step::kReadOperation:
      return ReadOperation(delay);
    default:
      return Write(delay);
  }
}

SubmissionAction ChangeSubmission::GiveUp(const std::string& detail) const {
  if (unresolved_version_.has_value()) {
    return Outcome(
        ResultCode::kChangePending,
        "the store did not confirm whether the change took effect; send the change again "
        "with the same operation id",
        written_revision_);
  }
  return Outcome(ResultCode::kStoreUnavailable,
                 absl::StrCat("the change was not committed before the deadline: ", detail),
                 configuration_.version);
}

SubmissionOutcome ChangeSubmission::Outcome(ResultCode code, std::string message,
                                            uint64_t revision) const {
  return {code, std::move(message), revision, {}};
}

Duration ChangeSubmission::NextBackoff() {
  backoff_ = std::clamp(backoff_ * 2, timing_.initial_backoff, timing_.max_backoff);
  return backoff_;
}

}  // namespace ladderstream::changes
