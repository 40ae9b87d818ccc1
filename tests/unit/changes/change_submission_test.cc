// The outcome that the operator gets for a single change, per response of the store: durable,
// rejected, or pending while an unanswered write may still take effect.
#include "core/changes/change_submission.h"

#include <boost/test/unit_test.hpp>

#include "simulated_store.h"

namespace ladderstream::changes {
namespace {

using store::StoreReply;
using store::StoreStatus;

constexpr char kOperationId[] = "deploy-1";

struct Fixture {
  ChangeSubmission Submit(std::optional<uint64_t> expected) const {
    return ChangeSubmission(
        {kOperationId, expected, std::make_shared<const Change>(change), digest}, TestFormat(),
        SubmissionTiming(), now);
  }

  /// Executes all actions against the store until the outcome.
  SubmissionOutcome RunToEnd(ChangeSubmission& submission, SubmissionAction action) {
    while (!std::holds_alternative<SubmissionOutcome>(action)) {
      if (const auto* const read = std::get_if<ReadRow>(&action)) {
        now += read->delay;
        action = submission.OnRead(table.Read(read->key), now);
      } else {
        const auto& write = std::get<WriteRows>(action);
        now += write.delay;
        action = submission.OnWrite(table.Execute(write.transaction), now);
      }
    }
    return std::get<SubmissionOutcome>(action);
  }

  SubmissionOutcome RunToEnd(std::optional<uint64_t> expected) {
    ChangeSubmission submission = Submit(expected);
    return RunToEnd(submission, submission.Start());
  }

  /// Executes the reads and returns the transaction of the first write.
  store::Transaction RunToWrite(ChangeSubmission& submission) {
    SubmissionAction action = submission.Start();
    while (const auto* const read = std::get_if<ReadRow>(&action)) {
      action = submission.OnRead(table.Read(read->key), now);
    }
    return std::get<WriteRows>(action).transaction;
  }

  /// Replies to every action with `status` until the outcome, one second apart.
  SubmissionOutcome FailStore(ChangeSubmission& submission, SubmissionAction action,
                              StoreStatus status) {
    while (!std::holds_alternative<SubmissionOutcome>(action)) {
      now += absl::Seconds(1);
      const bool reads = std::holds_alternative<ReadRow>(action);
      action = reads ? submission.OnRead(ReplyOf(status), now)
                     : submission.OnWrite(ReplyOf(status), now);
    }
    return std::get<SubmissionOutcome>(action);
  }

  SimulatedStore table;
  Change change = CreateService{SampleService("books")};
  uint64_t digest = 1;
  Time now = absl::FromUnixSeconds(1000);
};

BOOST_FIXTURE_TEST_SUITE(change_submission, Fixture)

BOOST_AUTO_TEST_CASE(an_accepted_change_is_durable) {
  const SubmissionOutcome outcome = RunToEnd(7);
  BOOST_TEST((outcome.code == ResultCode::kOk));
  BOOST_TEST(outcome.revision == 8U);
  BOOST_TEST(table.Newest().version == 8U);
  BOOST_TEST(table.Record(kOperationId)->revision == 8U);
}

BOOST_AUTO_TEST_CASE(another_revision_is_a_conflict_with_the_newest) {
  const SubmissionOutcome outcome = RunToEnd(6);
  BOOST_TEST((outcome.code == ResultCode::kRevisionConflict));
  BOOST_TEST(outcome.revision == 7U);
  BOOST_TEST(!table.Record(kOperationId).has_value());
}

BOOST_AUTO_TEST_CASE(an_invalid_change_writes_nothing) {
  change = CreateRoute{SampleRoute("vip", "none")};
  const SubmissionOutcome outcome = RunToEnd(std::nullopt);
  BOOST_TEST((outcome.code == ResultCode::kUnknownName));
  BOOST_TEST(outcome.faults.size() == 1U);
  BOOST_TEST(table.Newest().version == 7U);
}

BOOST_AUTO_TEST_CASE(a_value_above_the_store_limit_is_refused) {
  catalog::Configuration large = SampleConfiguration();
  for (int number = 0; number < 700; ++number) {
    large.routes.push_back(SampleRoute("route-" + std::to_string(number), "cards"));
  }
  table.Put(TestFormat()->row(), TestFormat()->Encode(large, ""));
  const SubmissionOutcome outcome = RunToEnd(std::nullopt);
  BOOST_TEST((outcome.code == ResultCode::kInvalidConfiguration));
  BOOST_TEST_REQUIRE(outcome.faults.size() == 1U);
  BOOST_TEST(outcome.faults[0].field == "configuration");
}

BOOST_AUTO_TEST_CASE(a_repeated_id_gets_the_earlier_outcome) {
  RunToEnd(7);
  const SubmissionOutcome outcome = RunToEnd(7);
  BOOST_TEST((outcome.code == ResultCode::kOk));
  BOOST_TEST(outcome.revision == 8U);
  BOOST_TEST(table.Newest().version == 8U);
}

BOOST_AUTO_TEST_CASE(a_reused_id_is_refused) {
  RunToEnd(7);
  digest = 2;
  BOOST_TEST((RunToEnd(8).code == ResultCode::kOperationIdReused));
  BOOST_TEST(table.Newest().version == 8U);
}

BOOST_AUTO_TEST_CASE(a_write_without_response_is_read_back) {
  ChangeSubmission submission = Submit(7);
  table.Execute(RunToWrite(submission));
  SubmissionAction next = submission.OnWrite(ReplyOf(StoreStatus::kUnknown), now);
  const SubmissionOutcome outcome = RunToEnd(submission, std::move(next));
  BOOST_TEST((outcome.code == ResultCode::kOk));
  BOOST_TEST(outcome.revision == 8U);
  BOOST_TEST(table.Newest().version == 8U);
}

BOOST_AUTO_TEST_CASE(a_delayed_write_takes_effect_once) {
  ChangeSubmission submission = Submit(7);
  const store::Transaction write = RunToWrite(submission);
  table.Delay(write);
  SubmissionAction next = submission.OnWrite(ReplyOf(StoreStatus::kUnknown), now);
  const SubmissionOutcome outcome = RunToEnd(submission, std::move(next));
  BOOST_TEST((outcome.code == ResultCode::kOk));
  table.RunDelayed();
  BOOST_TEST(table.Newest().version == 8U);
}

BOOST_AUTO_TEST_CASE(a_write_that_may_still_take_effect_is_pending) {
  ChangeSubmission submission = Submit(7);
  table.Delay(RunToWrite(submission));
  const SubmissionOutcome outcome = FailStore(
      submission, submission.OnWrite(ReplyOf(StoreStatus::kUnknown), now), StoreStatus::kRefused);
  BOOST_TEST((outcome.code == ResultCode::kChangePending));
  BOOST_TEST(outcome.revision == 8U);
  table.RunDelayed();
  BOOST_TEST((RunToEnd(7).code == ResultCode::kOk));
  BOOST_TEST(table.Newest().version == 8U);
}

BOOST_AUTO_TEST_CASE(a_newer_revision_rules_out_an_unresolved_write) {
  ChangeSubmission submission = Submit(7);
  const store::Transaction write = RunToWrite(submission);
  SubmissionAction next = submission.OnWrite(ReplyOf(StoreStatus::kUnknown), now);
  catalog::Configuration other = SampleConfiguration();
  other.version = 8;
  table.Put(TestFormat()->row(), TestFormat()->Encode(other, ""));
  const SubmissionOutcome outcome = RunToEnd(submission, std::move(next));
  BOOST_TEST((outcome.code == ResultCode::kRevisionConflict));
  BOOST_TEST(outcome.revision == 8U);
  BOOST_TEST((table.Execute(write).status == StoreStatus::kConflict));
}

BOOST_AUTO_TEST_CASE(a_store_that_refuses_writes_is_unavailable) {
  ChangeSubmission submission = Submit(7);
  const SubmissionOutcome outcome =
      FailStore(submission, submission.Start(), StoreStatus::kRefused);
  BOOST_TEST((outcome.code == ResultCode::kStoreUnavailable));
  BOOST_TEST(table.Newest().version == 7U);
}

BOOST_AUTO_TEST_CASE(an_unreadable_row_is_an_internal_error) {
  table.Put(TestFormat()->row(), "rubbish");
  BOOST_TEST((RunToEnd(7).code == ResultCode::kInternal));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::changes
