// The final answer when the time is over, and that none comes later.
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

BOOST_AUTO_TEST_CASE(earlier_of_route_timeout_and_deadline_less_the_margin_counts) {
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

BOOST_AUTO_TEST_CASE(at_most_once_attempt_is_left_to_finish_unheard) {
  const SendDecision send = StartAndSend("/books/1", absl::Seconds(1));
  Sent(send);
  Advance(absl::Seconds(1));
  BOOST_TEST(Only<AnswerDecision>().status == 504);
  Answer(send);
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(request_that_never_left_is_refused_with_its_promise_kept) {
  const SendDecision send = StartAndSend("/books/1", absl::Milliseconds(100));
  BOOST_TEST((send.connect_by <= now + absl::Milliseconds(100)));
  Advance(absl::Milliseconds(100));
  const auto decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  // Without the cancellation it could still run.
  BOOST_TEST(std::get<CancelDecision>(decisions[0].decision).attempt == send.attempt);
  BOOST_TEST(std::get<AnswerDecision>(decisions[1].decision).status == 503);
}

BOOST_AUTO_TEST_CASE(request_that_comes_too_late_is_not_sent) {
  Start("/books/1", absl::ZeroDuration());
  BOOST_TEST(Only<AnswerDecision>().status == 503);
}

BOOST_AUTO_TEST_CASE(no_waiting_when_it_could_not_be_served_any_more) {
  Drain("b-1");
  Drain("b-2");
  Start("/books/1", absl::Milliseconds(60));
  BOOST_TEST(Only<AnswerDecision>().status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
