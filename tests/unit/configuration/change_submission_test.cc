// One change at a time: what the operator is told in each case.
#include "core/configuration/change_submission.h"

#include <boost/test/unit_test.hpp>

#include "sample_configuration.h"
#include "simulated_table.h"

namespace ladderstream::configuration {
namespace {

using authority::StoreStatus;

const Time kStart = absl::FromUnixSeconds(1000);
const OperationId kOperation("deploy-1");

struct Fixture {
  Fixture() {
    table.Row(kConfigurationRow) = {kConfigurationRow, 3, Encode(SampleConfiguration())};
  }

  ChangeSubmission Submit(std::optional<Revision> expected) const {
    return ChangeSubmission({kOperation, expected, change, in_force}, SubmissionTiming(), now);
  }

  /// Answers every transaction truly until something else is asked for.
  SubmissionAction RunStore(ChangeSubmission& submission, SubmissionAction action) {
    while (const auto* const run = std::get_if<RunTransaction>(&action)) {
      now += run->delay;
      const SimulatedAnswer answer = table.Run(run->transaction);
      action = submission.OnStoreAnswer(answer.status, answer.rows, now);
    }
    return action;
  }

  /// Runs a submission to its end with everything healthy.
  SubmissionOutcome RunToEnd(ChangeSubmission& submission, SubmissionAction action) {
    action = RunStore(submission, std::move(action));
    while (const auto* const adoption = std::get_if<ProposeAdoption>(&action)) {
      adopted = adoption->command.configuration.revision;
      action = submission.OnProposalAnswer(ResultCode::kOk, now);
    }
    return std::get<SubmissionOutcome>(action);
  }

  /// Gives the transaction that writes.
  RunTransaction ReachWrite(ChangeSubmission& submission) {
    const auto read = std::get<RunTransaction>(submission.Start());
    const SimulatedAnswer answer = table.Run(read.transaction);
    auto write =
        std::get<RunTransaction>(submission.OnStoreAnswer(answer.status, answer.rows, now));
    BOOST_TEST_REQUIRE(write.transaction.writes.size() == 2U);
    return write;
  }

  /// Answers every transaction with `status` until the end.
  SubmissionOutcome FailStore(ChangeSubmission& submission, SubmissionAction action,
                              StoreStatus status) {
    while (const auto* const run = std::get_if<RunTransaction>(&action)) {
      now += run->delay + absl::Milliseconds(100);
      action = submission.OnStoreAnswer(status, {}, now);
    }
    return std::get<SubmissionOutcome>(action);
  }

  SimulatedTable table;
  Change change = CreateService{SampleService("books", "book/")};
  Revision in_force{7};
  Revision adopted;
  Time now = kStart;
};

BOOST_FIXTURE_TEST_SUITE(change_submission, Fixture)

BOOST_AUTO_TEST_CASE(accepted_is_durable_and_committed) {
  ChangeSubmission submission = Submit(Revision(7));
  const SubmissionOutcome outcome = RunToEnd(submission, submission.Start());
  BOOST_TEST((outcome.code == ResultCode::kOk));
  BOOST_TEST(outcome.revision == Revision(8));
  BOOST_TEST(table.Newest().revision == Revision(8));
  BOOST_TEST(table.Record(kOperation).revision == Revision(8));
  BOOST_TEST(adopted == Revision(8));
}

BOOST_AUTO_TEST_CASE(the_first_change_expects_revision_zero) {
  table = SimulatedTable();
  in_force = Revision(0);
  ChangeSubmission submission = Submit(Revision(0));
  BOOST_TEST(RunToEnd(submission, submission.Start()).revision == Revision(1));
}

BOOST_AUTO_TEST_CASE(another_revision_is_a_conflict_with_the_newest) {
  ChangeSubmission submission = Submit(Revision(6));
  const SubmissionOutcome outcome = RunToEnd(submission, submission.Start());
  BOOST_TEST((outcome.code == ResultCode::kRevisionConflict));
  BOOST_TEST(outcome.revision == Revision(7));
  BOOST_TEST(!table.Holds(kOperation));
}

BOOST_AUTO_TEST_CASE(a_bad_change_writes_nothing) {
  change = CreateService{SampleService("vip", "card/vip")};
  ChangeSubmission submission = Submit(std::nullopt);
  const SubmissionOutcome outcome = RunToEnd(submission, submission.Start());
  BOOST_TEST((outcome.code == ResultCode::kKeysOverlap));
  BOOST_TEST(outcome.faults.size() == 1U);
  BOOST_TEST(table.Newest().revision == Revision(7));
}

BOOST_AUTO_TEST_CASE(a_repeated_id_gets_the_earlier_outcome) {
  ChangeSubmission first = Submit(Revision(7));
  RunToEnd(first, first.Start());
  ChangeSubmission again = Submit(Revision(7));
  const SubmissionOutcome outcome = RunToEnd(again, again.Start());
  BOOST_TEST((outcome.code == ResultCode::kOk));
  BOOST_TEST(outcome.revision == Revision(8));
  BOOST_TEST(table.Newest().revision == Revision(8));
}

BOOST_AUTO_TEST_CASE(a_reused_id_is_refused) {
  ChangeSubmission first = Submit(Revision(7));
  RunToEnd(first, first.Start());
  change = CreateService{SampleService("albums", "album/")};
  ChangeSubmission other = Submit(Revision(8));
  BOOST_TEST((RunToEnd(other, other.Start()).code == ResultCode::kOperationIdReused));
  BOOST_TEST(table.Newest().revision == Revision(8));
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_read_back) {
  ChangeSubmission submission = Submit(Revision(7));
  const RunTransaction write = ReachWrite(submission);
  table.Run(write.transaction);
  SubmissionAction next = submission.OnStoreAnswer(StoreStatus::kUnknown, {}, now);
  const SubmissionOutcome outcome = RunToEnd(submission, std::move(next));
  BOOST_TEST((outcome.code == ResultCode::kOk));
  BOOST_TEST(table.Newest().revision == Revision(8));
}

BOOST_AUTO_TEST_CASE(a_write_that_may_still_arrive_is_pending_not_refused) {
  ChangeSubmission submission = Submit(Revision(7));
  const RunTransaction write = ReachWrite(submission);
  table.Delay(write.transaction);
  SubmissionAction next = submission.OnStoreAnswer(StoreStatus::kUnknown, {}, now);
  const SubmissionOutcome outcome = FailStore(submission, std::move(next), StoreStatus::kRefused);
  BOOST_TEST((outcome.code == ResultCode::kChangePending));
  table.RunLate();
  ChangeSubmission again = Submit(Revision(7));
  BOOST_TEST((RunToEnd(again, again.Start()).code == ResultCode::kOk));
  BOOST_TEST(table.Newest().revision == Revision(8));
}

BOOST_AUTO_TEST_CASE(a_lost_write_is_refused_once_another_change_went_first) {
  ChangeSubmission submission = Submit(Revision(7));
  const RunTransaction write = ReachWrite(submission);
  table.Delay(write.transaction);
  Configuration other = SampleConfiguration();
  other.revision = Revision(8);
  table.Row(kConfigurationRow) = {kConfigurationRow, 4, Encode(other)};
  SubmissionAction next = submission.OnStoreAnswer(StoreStatus::kUnknown, {}, now);
  const SubmissionOutcome outcome = RunToEnd(submission, std::move(next));
  BOOST_TEST((outcome.code == ResultCode::kRevisionConflict));
  table.RunLate();
  BOOST_TEST(!table.Holds(kOperation));
}

BOOST_AUTO_TEST_CASE(a_store_that_is_down_is_unavailable) {
  for (const StoreStatus status : {StoreStatus::kRefused, StoreStatus::kUnknown}) {
    ChangeSubmission submission = Submit(Revision(7));
    const SubmissionOutcome outcome = FailStore(submission, submission.Start(), status);
    BOOST_TEST((outcome.code == ResultCode::kStoreUnavailable));
  }
  BOOST_TEST(now - kStart < absl::Seconds(20));
}

BOOST_AUTO_TEST_CASE(durable_but_not_committed_is_pending) {
  ChangeSubmission submission = Submit(Revision(7));
  SubmissionAction action = RunStore(submission, submission.Start());
  while (const auto* const adoption = std::get_if<ProposeAdoption>(&action)) {
    now += adoption->delay + absl::Milliseconds(100);
    action = submission.OnProposalAnswer(ResultCode::kNoLeader, now);
  }
  const auto& outcome = std::get<SubmissionOutcome>(action);
  BOOST_TEST((outcome.code == ResultCode::kChangePending));
  BOOST_TEST(outcome.revision == Revision(8));
}

BOOST_AUTO_TEST_CASE(a_store_older_than_what_is_in_force_is_refused) {
  in_force = Revision(9);
  ChangeSubmission submission = Submit(std::nullopt);
  const SubmissionOutcome outcome = RunToEnd(submission, submission.Start());
  BOOST_TEST((outcome.code == ResultCode::kRevisionConflict));
  BOOST_TEST(outcome.revision == Revision(9));
  BOOST_TEST(table.Newest().revision == Revision(7));
}

BOOST_AUTO_TEST_CASE(an_unreadable_row_is_an_internal_error) {
  table.Row(kConfigurationRow).value = "rubbish";
  ChangeSubmission submission = Submit(Revision(7));
  BOOST_TEST((RunToEnd(submission, submission.Start()).code == ResultCode::kInternal));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::configuration
