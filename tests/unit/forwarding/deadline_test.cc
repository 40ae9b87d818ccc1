// The final answer at a request's deadline, and that no decision follows it.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

struct Fleet : DispatcherHarness {
  Fleet() {
    AddBackends("cards", {"c-1", "c-2"});
    AddBackends("books", {"b-1", "b-2"});
  }
};

BOOST_FIXTURE_TEST_SUITE(deadline, Fleet)

BOOST_AUTO_TEST_CASE(answer_is_due_at_the_earlier_of_route_timeout_and_deadline_minus_the_margin) {
  DispatcherSettings settings = DefaultSettings();
  settings.answer_margin = absl::Milliseconds(5);
  DispatcherHarness harness(settings);
  harness.AddBackends("cards", {"c-1"});
  BOOST_TEST((harness.StartAndSend("/cards/1", absl::Seconds(1)).answer_by ==
              harness.now + absl::Milliseconds(995)));
  BOOST_TEST((harness.StartAndSend("/cards/1", absl::Seconds(9)).answer_by ==
              harness.now + absl::Milliseconds(2995)));
}

BOOST_AUTO_TEST_CASE(repeatable_request_is_answered_and_its_attempt_cancelled) {
  AddBackends("cards", {});
  DispatcherSettings settings = DefaultSettings();
  settings.hedge = false;
  DispatcherHarness harness(settings);
  harness.AddBackends("cards", {"c-1"});
  const SendDecision send = harness.StartAndSend("/cards/1", absl::Seconds(1));
  harness.Sent(send);
  harness.Advance(absl::Milliseconds(999));
  BOOST_TEST(harness.HasNoDecisions());
  harness.Advance(absl::Milliseconds(1));
  const auto decisions = harness.dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  BOOST_TEST(std::get<CancelDecision>(decisions[0].decision).attempt == send.attempt);
  BOOST_TEST(std::get<AnswerDecision>(decisions[1].decision).status == 504);
  harness.Answer(send);
  harness.Advance(absl::Seconds(5));
  BOOST_TEST(harness.HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(at_most_once_attempt_finishes_and_its_late_answer_is_ignored) {
  const SendDecision send = StartAndSend("/books/1", absl::Seconds(1));
  Sent(send);
  Advance(absl::Seconds(1));
  BOOST_TEST(Only<AnswerDecision>().status == 504);
  Answer(send);
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(unsent_request_is_cancelled_and_answered_503) {
  const SendDecision send = StartAndSend("/books/1", absl::Milliseconds(100));
  BOOST_TEST((send.connect_by <= now + absl::Milliseconds(100)));
  Advance(absl::Milliseconds(100));
  const auto decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  // Without the cancellation the request could still run, although 503 says that it did not.
  BOOST_TEST(std::get<CancelDecision>(decisions[0].decision).attempt == send.attempt);
  BOOST_TEST(std::get<AnswerDecision>(decisions[1].decision).status == 503);
}

BOOST_AUTO_TEST_CASE(request_past_its_deadline_is_not_sent) {
  Start("/books/1", absl::ZeroDuration());
  BOOST_TEST(Only<AnswerDecision>().status == 503);
}

BOOST_AUTO_TEST_CASE(request_without_time_to_be_served_does_not_wait) {
  Drain("b-1");
  Drain("b-2");
  Start("/books/1", absl::Milliseconds(60));
  BOOST_TEST(Only<AnswerDecision>().status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
