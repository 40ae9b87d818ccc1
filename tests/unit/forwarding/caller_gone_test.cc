// Requests whose caller disconnects before the final answer.
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

BOOST_FIXTURE_TEST_SUITE(caller_gone, Fleet)

BOOST_AUTO_TEST_CASE(repeatable_attempt_is_cancelled) {
  const SendDecision send = StartAndSend("/cards/1");
  Sent(send);
  dispatcher.OnCallerDisconnected(last, now);
  BOOST_TEST(Only<CancelDecision>().attempt == send.attempt);
  Advance(absl::Seconds(5));
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(at_most_once_attempt_finishes_and_is_not_sent_again) {
  const SendDecision send = StartAndSend("/books/1");
  Sent(send);
  dispatcher.OnCallerDisconnected(last, now);
  BOOST_TEST(HasNoDecisions());
  Refuse(send);
  Advance(absl::Seconds(5));
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(unsent_at_most_once_attempt_is_cancelled) {
  const SendDecision send = StartAndSend("/books/1");
  dispatcher.OnCallerDisconnected(last, now);
  BOOST_TEST(Only<CancelDecision>().attempt == send.attempt);
}

BOOST_AUTO_TEST_CASE(detached_attempt_occupies_its_slot_until_it_ends) {
  RemoveBackend("b-2");
  std::vector<SendDecision> held;
  for (int i = 0; i < 10; ++i) {
    held.push_back(StartAndSend("/books/1"));
    Sent(held.back());
    dispatcher.OnCallerDisconnected(last, now);
  }
  const SendDecision busy = StartAndSend("/books/1");
  for (const SendDecision& send : held) {
    Answer(send, 200, 0, 0);
  }
  const SendDecision idle = StartAndSend("/books/1");
  BOOST_TEST((idle.expected_wait < busy.expected_wait / 2));
}

BOOST_AUTO_TEST_CASE(waiting_request_is_dropped) {
  Drain("b-1");
  Drain("b-2");
  // More requests than may wait at the same time: each must release its place in the queue.
  for (int i = 0; i < 100; ++i) {
    Start("/books/1");
    BOOST_REQUIRE(HasNoDecisions());
    dispatcher.OnCallerDisconnected(last, now);
  }
  AddBackends("books", {"b-3"});
  Advance(absl::Seconds(5));
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
