#include "core/configuration/change_submission.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::configuration {
namespace {

using authority::StoreRow;
using authority::StoreStatus;
using authority::StoreTransaction;

/// Order of the rows in each transaction's reads.
constexpr size_t kConfigurationIndex = 0;
constexpr size_t kOperationIndex = 1;
constexpr size_t kRowCount = 2;

}  // namespace

ChangeSubmission::ChangeSubmission(SubmissionRequest request, const SubmissionTiming& timing,
                                   Time now)
    : request_(std::move(request)),
      timing_(timing),
      deadline_(now + timing.deadline),
      digest_(DigestOf(request_.change)),
      operation_row_(absl::StrCat(kOperationRowPrefix, request_.operation.value())) {}

SubmissionAction ChangeSubmission::Start() {
  writing_ = false;
  return RunTransaction{ReadTransaction()};
}

SubmissionAction ChangeSubmission::OnStoreAnswer(StoreStatus status,
                                                 const std::vector<StoreRow>& rows, Time now) {
  if (status == StoreStatus::kUnknown || status == StoreStatus::kRefused) {
    return RetryStore(status, now);
  }
  if (status == StoreStatus::kCommitted && writing_) {
    return Adopt(std::move(written_), written_revision_);
  }
  if (rows.size() != kRowCount) {
    return RetryStore(StoreStatus::kRefused, now);
  }
  try {
    return Decide(ReadRows(rows), now);
  } catch (const ConfigurationError& error) {
    SubmissionOutcome outcome = Outcome(error.code(), error.what(), written_revision_);
    outcome.faults = error.faults();
    return outcome;
  } catch (const Error& error) {
    return Outcome(ResultCode::kInternal,
                   absl::StrCat("the table service holds an unreadable row: ", error.what()),
                   Revision());
  }
}

SubmissionAction ChangeSubmission::OnProposalAnswer(ResultCode result, Time now) {
  if (result == ResultCode::kOk) {
    return Outcome(ResultCode::kOk, "accepted", written_revision_);
  }
  const Duration delay = NextDelay();
  if (now + delay >= deadline_) {
    return Outcome(ResultCode::kChangePending,
                   absl::StrCat("durable in the table service, not yet committed by the group (",
                                std::string(NameOf(result)), "); it will be adopted"),
                   written_revision_);
  }
  return ProposeAdoption{{written_}, delay};
}

ChangeSubmission::StoredState ChangeSubmission::ReadRows(const std::vector<StoreRow>& rows) const {
  StoredState state;
  const StoreRow& configuration = rows[kConfigurationIndex];
  const StoreRow& operation = rows[kOperationIndex];
  state.configuration_version = configuration.version;
  if (configuration.version != 0) {
    state.configuration = Decode<Configuration>(configuration.value);
  }
  if (operation.version != 0) {
    state.record = Decode<ChangeRecord>(operation.value);
  }
  return state;
}

SubmissionAction ChangeSubmission::Decide(const StoredState& state, Time now) {
  if (state.record.has_value()) {
    return DecideWhatIsRecorded(state);
  }
  if (undecided_write_.has_value() && *undecided_write_ == state.configuration_version) {
    // The lost write has not taken effect so far, but still may: only sending the very same one
    // again decides it.
    return now >= deadline_ ? RetryStore(StoreStatus::kUnknown, now) : Write(state, NextDelay());
  }
  // A write that depends on an older version of the row can never take effect any more.
  undecided_write_.reset();
  const Revision current = state.configuration.revision;
  written_revision_ = current;
  if (current < request_.revision_in_force) {
    return Outcome(
        ResultCode::kRevisionConflict,
        absl::StrCat("the table service holds revision ", current.value(), ", older than revision ",
                     request_.revision_in_force.value(), " in force: it has lost data"),
        request_.revision_in_force);
  }
  if (request_.expected_revision.has_value() && *request_.expected_revision != current) {
    return Outcome(ResultCode::kRevisionConflict,
                   absl::StrCat("expected revision ", request_.expected_revision->value(),
                                ", the newest is ", current.value()),
                   current);
  }
  if (now >= deadline_) {
    return Outcome(ResultCode::kStoreUnavailable,
                   "the change could not be written before the deadline", current);
  }
  return Write(state, absl::ZeroDuration());
}

SubmissionAction ChangeSubmission::DecideWhatIsRecorded(const StoredState& state) {
  undecided_write_.reset();
  if (state.record->digest != digest_) {
    return Outcome(ResultCode::kOperationIdReused,
                   absl::StrCat("operation id ", request_.operation.value(),
                                " belongs to another change, which made revision ",
                                state.record->revision.value()),
                   state.record->revision);
  }
  return Adopt(state.configuration, state.record->revision);
}

SubmissionAction ChangeSubmission::Write(const StoredState& state, Duration delay) {
  written_ = ApplyChange(state.configuration, request_.change);
  written_revision_ = written_.revision;
  written_version_ = state.configuration_version;
  writing_ = true;
  StoreTransaction transaction = ReadTransaction();
  // The operation's row is only ever written together with the configuration's, so that one
  // condition guards both.
  transaction.conditions = {{kConfigurationRow, state.configuration_version}};
  transaction.writes = {
      {kConfigurationRow, Encode(written_)},
      {operation_row_, Encode(ChangeRecord{request_.operation, digest_, written_revision_})}};
  return RunTransaction{std::move(transaction), delay};
}

SubmissionAction ChangeSubmission::RetryStore(StoreStatus status, Time now) {
  if (writing_ && status == StoreStatus::kUnknown) {
    undecided_write_ = written_version_;
  }
  writing_ = false;
  const Duration delay = NextDelay();
  if (now + delay < deadline_) {
    return RunTransaction{ReadTransaction(), delay};
  }
  if (undecided_write_.has_value()) {
    return Outcome(ResultCode::kChangePending,
                   "the table service did not say whether the change took effect; send it again "
                   "under the same operation id",
                   written_revision_);
  }
  return Outcome(ResultCode::kStoreUnavailable,
                 "the table service did not answer in time; this call wrote nothing", Revision());
}

SubmissionAction ChangeSubmission::Adopt(Configuration configuration, Revision revision) {
  writing_ = false;
  delay_ = absl::ZeroDuration();
  written_ = std::move(configuration);
  written_revision_ = revision;
  return ProposeAdoption{{written_}};
}

StoreTransaction ChangeSubmission::ReadTransaction() const {
  StoreTransaction transaction;
  transaction.reads = {kConfigurationRow, operation_row_};
  return transaction;
}

SubmissionOutcome ChangeSubmission::Outcome(ResultCode code, std::string message,
                                            Revision revision) const {
  return {code, std::move(message), revision, {}};
}

Duration ChangeSubmission::NextDelay() {
  delay_ = std::clamp(delay_ * 2, timing_.first_delay, timing_.longest_delay);
  return delay_;
}

}  // namespace ladderstream::configuration
