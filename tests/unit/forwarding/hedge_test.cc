// Hedging of slow attempts: when the second attempt is made, and what happens to the slower one.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

struct Slow : DispatcherHarness {
  Slow() {
    AddBackends("cards", {"c-1", "c-2"});
    AddBackends("books", {"b-1", "b-2"});
    // Establishes service times of 50 ms.
    for (int i = 0; i < 40; ++i) {
      const SendDecision send = StartAndSend("/cards/1");
      Sent(send);
      Advance(absl::Milliseconds(50));
      Answer(send);
      Only<RelayDecision>();
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(hedge, Slow)

BOOST_AUTO_TEST_CASE(first_usable_answer_is_relayed_and_the_other_attempt_cancelled) {
  const SendDecision first = StartAndSend("/cards/1");
  Sent(first);
  Advance(absl::Milliseconds(190));
  BOOST_TEST(HasNoDecisions());
  Advance(absl::Milliseconds(20));
  const auto second = Only<SendDecision>();
  BOOST_TEST((second.cause == SendCause::kHedge));
  BOOST_TEST(second.backend != first.backend);
  Sent(second);
  Answer(second);
  const auto decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  BOOST_TEST(std::get<CancelDecision>(decisions[0].decision).attempt == first.attempt);
  BOOST_TEST(std::get<RelayDecision>(decisions[1].decision).attempt == second.attempt);
  Answer(first);
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(request_continues_with_the_other_attempt_after_one_fails) {
  const SendDecision first = StartAndSend("/cards/1");
  Sent(first);
  Advance(absl::Milliseconds(210));
  const auto second = Only<SendDecision>();
  Sent(second);
  Fail(second, AttemptFailure::kLost);
  BOOST_TEST(HasNoDecisions());
  Answer(first);
  BOOST_TEST(Only<RelayDecision>().attempt == first.attempt);
}

BOOST_AUTO_TEST_CASE(back_end_slower_than_its_hedges_gets_fewer_requests) {
  int to_slow = 0;
  for (int i = 0; i < 40; ++i) {
    SendDecision send = StartAndSend("/cards/1");
    Sent(send);
    if (send.backend == "c-1") {
      ++to_slow;
      Advance(absl::Milliseconds(210));
      send = Only<SendDecision>();
      Sent(send);
    }
    Advance(absl::Milliseconds(50));
    Answer(send);
    All<RelayDecision>();
  }
  BOOST_TEST(to_slow < 8);
}

BOOST_AUTO_TEST_CASE(at_most_once_is_never_hedged) {
  const SendDecision first = StartAndSend("/books/1");
  Sent(first);
  Advance(absl::Milliseconds(1900));
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(hedges_respect_max_attempts) {
  catalog::Configuration single = DefaultConfiguration();
  single.version = 2;
  single.routes[0].max_attempts = 1;
  Configure(single);
  const SendDecision first = StartAndSend("/cards/1");
  Sent(first);
  Advance(absl::Milliseconds(1900));
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(hedges_leave_budget_for_requests_that_failed) {
  DispatcherSettings settings = DefaultSettings();
  settings.budget_slack = 1.5;
  DispatcherHarness harness(settings);
  harness.AddBackends("cards", {"c-1", "c-2"});
  const SendDecision send = harness.StartAndSend("/cards/1");
  harness.Sent(send);
  harness.Advance(absl::Milliseconds(1000));
  BOOST_TEST(harness.HasNoDecisions());
  harness.Fail(send, AttemptFailure::kLost);
  harness.Only<SendDecision>();
}

BOOST_AUTO_TEST_CASE(no_hedge_to_a_back_end_without_a_free_slot) {
  std::vector<SendDecision> held;
  for (int i = 0; i < 4; ++i) {
    held.push_back(StartAndSend("/cards/1"));
    Sent(held.back());
  }
  Advance(absl::Milliseconds(1000));
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
