// Tests requests for keys: they are sent only to the owner according to a map that is known to be
// in force.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kDeadline = absl::Seconds(2);
constexpr ownership::Key kKey = 77;

struct Sharded : DispatcherHarness {
  Sharded() {
    AddBackends("scripts", {"s-1", "s-2"});
    Own("s-1");
  }

  SendDecision Send() { return StartAndSend("/scripts/1", kDeadline, kKey); }
  void Begin() { Start("/scripts/1", kDeadline, kKey); }
};

BOOST_FIXTURE_TEST_SUITE(sharded, Sharded)

BOOST_AUTO_TEST_CASE(missing_or_invalid_key_is_a_bad_request) {
  Start("/scripts/1", kDeadline, std::nullopt);
  BOOST_TEST(Only<AnswerDecision>().status == 400);
  Start("/scripts/1", kDeadline, 65536);
  BOOST_TEST(Only<AnswerDecision>().status == 400);
}

BOOST_AUTO_TEST_CASE(unconfirmed_map_refuses_at_once) {
  BOOST_TEST(Send().backend == "s-1");
  dispatcher.SetMapConfirmed(now);
  Begin();
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kNoOwner));
}

BOOST_AUTO_TEST_CASE(older_map_is_ignored) {
  Own("s-2");
  auto old = std::make_shared<ownership::OwnershipMap>();
  old->version = {1, 1};
  old->services["scripts"].assignments = {{{0, ownership::kLastKey}, "s-1", 1}};
  dispatcher.SetOwnership(old, now);
  BOOST_TEST(Send().backend == "s-2");
}

BOOST_AUTO_TEST_CASE(request_for_a_moving_key_waits_for_the_next_map) {
  Own("s-1", {{0, 100}});
  Begin();
  Advance(absl::Milliseconds(30));
  BOOST_TEST(HasNoDecisions());
  BOOST_TEST(dispatcher.RequestsWaiting() == 1U);
  Own("s-2");
  BOOST_TEST(Only<SendDecision>().backend == "s-2");
  BOOST_TEST(dispatcher.RequestsWaiting() == 0U);
}

BOOST_AUTO_TEST_CASE(request_for_a_moving_key_is_refused_after_the_maximum_wait) {
  Own("s-1", {{0, 100}});
  Begin();
  const Time start = now;
  Advance(absl::Milliseconds(99));
  BOOST_TEST(HasNoDecisions());
  Advance(absl::Milliseconds(2));
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kOwnerChanged));
  BOOST_TEST((answer.retry_after > absl::ZeroDuration()));
  BOOST_TEST((now - start < absl::Milliseconds(110)));
}

BOOST_AUTO_TEST_CASE(request_rejected_by_a_non_owner_is_sent_only_to_another_assignment) {
  const SendDecision first = Send();
  Sent(first);
  Answer(first, 421);
  BOOST_TEST(HasNoDecisions());
  BOOST_REQUIRE_EQUAL(dispatcher.TakeLoad().at(0).not_owner_key.value_or(0), kKey);
  Own("s-2");
  const auto second = Only<SendDecision>();
  BOOST_TEST(second.backend == "s-2");
  Sent(second);
  Answer(second);
  Only<RelayDecision>();
}

BOOST_AUTO_TEST_CASE(request_rejected_by_a_non_owner_is_refused_without_a_newer_map) {
  const SendDecision first = Send();
  Sent(first);
  Answer(first, 421);
  Advance(absl::Seconds(1));
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kOwnerChanged));
}

BOOST_AUTO_TEST_CASE(lost_request_is_retried_at_the_owner) {
  const SendDecision first = Send();
  Sent(first);
  Advance(absl::Milliseconds(150));
  Fail(first, AttemptFailure::kLost);
  BOOST_TEST(Only<SendDecision>().backend == "s-1");
}

BOOST_AUTO_TEST_CASE(unreachable_owner_fails_fast_and_others_do_not_connect_again) {
  const SendDecision first = Send();
  Fail(first, AttemptFailure::kConnectRefused);
  Begin();
  BOOST_TEST(HasNoDecisions());
  Advance(absl::Milliseconds(101));
  std::vector<AnswerDecision> answers;
  for (const RequestDecision& decision : dispatcher.TakeDecisions()) {
    if (const auto* send = std::get_if<SendDecision>(&decision.decision)) {
      Fail(*send, AttemptFailure::kConnectRefused);
    }
  }
  Advance(absl::Milliseconds(100));
  answers = All<AnswerDecision>();
  BOOST_REQUIRE(!answers.empty());
  BOOST_TEST(answers.front().status == 503);
}

BOOST_AUTO_TEST_CASE(draining_owner_serves_its_keys_until_they_must_have_moved) {
  Drain("s-1");
  BOOST_TEST(Send().backend == "s-1");
  Advance(absl::Milliseconds(1199));
  const SendDecision late = Send();
  BOOST_TEST((late.connect_by <= now + absl::Milliseconds(1)));
  Advance(absl::Milliseconds(2));
  Begin();
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(owner_first_seen_draining_is_not_used) {
  catalog::Backend backend = MakeBackend("s-3", "scripts");
  backend.draining = true;
  AddBackend(backend);
  Own("s-3");
  Begin();
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(owner_registered_for_another_service_is_not_used) {
  AddBackends("cards", {"c-1"});
  Own("c-1");
  Begin();
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(request_is_sent_to_a_full_owner_once_a_slot_is_free) {
  const SendDecision first = Send();
  Sent(first);
  const SendDecision refused = Send();
  Sent(refused);
  Refuse(refused);
  BOOST_TEST(HasNoDecisions());
  Answer(first, 200, 2, 4);
  const auto decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  BOOST_TEST(std::holds_alternative<SendDecision>(decisions[1].decision));
}

BOOST_AUTO_TEST_CASE(queue_beyond_the_deadline_is_refused_at_once) {
  const SendDecision first = Send();
  Sent(first);
  Advance(absl::Milliseconds(100));
  Answer(first, 200, 2, 7);
  Only<RelayDecision>();
  Start("/scripts/1", absl::Milliseconds(200), kKey);
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kOverloaded));
  Start("/scripts/1", absl::Milliseconds(1500), kKey);
  Only<SendDecision>();
}

BOOST_AUTO_TEST_CASE(queue_beyond_the_allowed_share_of_the_target_is_refused_at_once) {
  DispatcherSettings settings = DefaultSettings();
  settings.overload_share = 0.5;
  DispatcherHarness harness(settings);
  harness.AddBackends("scripts", {"s-1"});
  harness.Own("s-1");
  const SendDecision first = harness.StartAndSend("/scripts/1", kDeadline, kKey);
  harness.Sent(first);
  harness.Advance(absl::Milliseconds(100));
  harness.Answer(first, 200, 2, 7);
  harness.Only<RelayDecision>();
  harness.Start("/scripts/1", kDeadline, kKey);
  const auto answer = harness.Only<AnswerDecision>();
  BOOST_TEST((answer.code == ResultCode::kOverloaded));
  BOOST_TEST((answer.retry_after > absl::Milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(owner_that_was_slow_long_ago_is_tried_again) {
  const SendDecision slow = Send();
  Sent(slow);
  Advance(absl::Milliseconds(1900));
  Answer(slow);
  Only<RelayDecision>();
  Advance(absl::Seconds(10));
  Start("/scripts/1", absl::Milliseconds(50), kKey);
  Only<SendDecision>();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
