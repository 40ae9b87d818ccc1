// Back ends that leave get no new work; registrations that disappear while the store has problems
// are kept for a grace period.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

BOOST_FIXTURE_TEST_SUITE(drain, DispatcherHarness)

BOOST_AUTO_TEST_CASE(draining_back_end_gets_no_new_work) {
  AddBackends("cards", {"c-1", "c-2"});
  Drain("c-1");
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend == "c-2");
  }
}

BOOST_AUTO_TEST_CASE(attempt_decided_on_before_the_back_end_leaves_may_not_be_sent_afterwards) {
  AddBackends("cards", {"c-1"});
  AddBackends("scripts", {"s-1"});
  Own("s-1");
  const SendDecision card = StartAndSend("/cards/1");
  const SendDecision script = StartAndSend("/scripts/1", absl::Seconds(2), 7);
  BOOST_TEST(dispatcher.MaySend(card.attempt, now));
  Drain("c-1");
  Drain("s-1");
  BOOST_TEST(!dispatcher.MaySend(card.attempt, now));
  // No other back end can serve the owner's keys until they have moved.
  BOOST_TEST(dispatcher.MaySend(script.attempt, now));
  Advance(DefaultSettings().drain_serving);
  BOOST_TEST(!dispatcher.MaySend(script.attempt, now));
}

BOOST_AUTO_TEST_CASE(waiting_and_retried_requests_do_not_go_to_a_draining_back_end) {
  AddBackends("books", {"b-1"});
  const SendDecision first = StartAndSend("/books/1");
  Sent(first);
  Refuse(first);
  BOOST_TEST(HasNoDecisions());
  Drain("b-1");
  Advance(absl::Seconds(1));
  BOOST_TEST(Only<AnswerDecision>().status == 503);
}

BOOST_AUTO_TEST_CASE(late_request_that_might_outlast_the_process_is_refused) {
  AddBackends("books", {"b-1", "b-2"});
  dispatcher.SetStopping();
  dispatcher.SetEnd(now + absl::Seconds(3), now + absl::Seconds(5));
  Advance(absl::Seconds(3));
  StartAndSend("/books/1", absl::Seconds(10));
  Advance(absl::Milliseconds(500));
  StartAndSend("/books/2", absl::Seconds(1));
  Start("/books/3", absl::Seconds(2));
  const auto refused = Only<AnswerDecision>();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST((refused.code == ResultCode::kShuttingDown));
  BOOST_TEST((refused.retry_after > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(deregistered_back_end_gets_no_new_work) {
  AddBackends("cards", {"c-1", "c-2"});
  RemoveBackend("c-1");
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend == "c-2");
  }
}

BOOST_AUTO_TEST_CASE(expiry_during_store_problems_takes_effect_after_the_grace_period) {
  AddBackends("cards", {"c-1"});
  RemoveBackend("c-1", true);
  Advance(absl::Milliseconds(1400));
  BOOST_TEST(StartAndSend("/cards/1").backend == "c-1");
  // A second update without the registration does not restart the grace period.
  dispatcher.ChangeBackends(registered.Replace({}), {true, now}, now);
  Advance(absl::Milliseconds(101));
  Start("/cards/1");
  BOOST_TEST(All<SendDecision>().empty());
  AddBackends("cards", {"c-1"});
  BOOST_TEST(All<SendDecision>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(expired_registration_does_not_make_a_draining_back_end_usable) {
  AddBackends("cards", {"c-1"});
  Drain("c-1");
  RemoveBackend("c-1", true);
  Start("/cards/1");
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(ready_only_while_every_service_has_a_usable_back_end) {
  AddBackends("cards", {"c-1"});
  AddBackends("books", {"b-1"});
  AddBackends("scripts", {"s-1"});
  BOOST_TEST(!dispatcher.CanServe(now));
  Own("s-1");
  BOOST_TEST(dispatcher.CanServe(now));
  Drain("b-1");
  BOOST_TEST(!dispatcher.CanServe(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
