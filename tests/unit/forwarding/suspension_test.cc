// What a node holds to be true runs out while its machine sleeps: the clock jumps, no timer has
// gone off yet, and the first thing that happens may be a request or an answer.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kAsleep = absl::Seconds(5);

struct SleepingNode : DispatcherHarness {
  void Sleep() { now += kAsleep; }
};

BOOST_FIXTURE_TEST_SUITE(suspension, SleepingNode)

BOOST_AUTO_TEST_CASE(a_map_is_not_used_beyond_its_confirmation) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  dispatcher.SetMapConfirmed(now + absl::Seconds(2));
  Sleep();
  Start("/scripts/x", absl::Seconds(2), 7);
  BOOST_TEST((Only<AnswerDecision>().code == ResultCode::kNoOwner));
}

BOOST_AUTO_TEST_CASE(a_leaving_owner_gets_nothing_more) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  Drain("owner");
  Sleep();
  Start("/scripts/x", absl::Seconds(2), 7);
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_waited_is_answered_and_not_sent) {
  AddBackends("scripts", {"owner"});
  Own("owner", {{0, ownership::kLastKey}});
  Start("/scripts/x", absl::Seconds(1), 7);
  BOOST_TEST(HasNoDecisions());
  Sleep();
  // Its keys have arrived meanwhile, and that is heard before any timer goes off.
  Own("owner");
  BOOST_TEST(Only<AnswerDecision>().status != 200);
}

BOOST_AUTO_TEST_CASE(a_failed_attempt_is_not_repeated_beyond_the_deadline) {
  AddBackends("cards", {"a", "b"});
  const SendDecision send = StartAndSend("/cards/x", absl::Seconds(1));
  Sent(send);
  Sleep();
  Fail(send, AttemptFailure::kLost);
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(a_connection_that_comes_up_carries_nothing_to_an_owner_that_left) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  const SendDecision send = StartAndSend("/scripts/x", absl::Seconds(20), 7);
  Drain("owner");
  Sleep();
  BOOST_TEST(!dispatcher.MaySend(send.attempt, now));
}

BOOST_AUTO_TEST_CASE(a_rest_that_was_asked_for_counts_the_time_asleep) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  const SendDecision send = StartAndSend("/scripts/x", absl::Seconds(2), 7);
  AttemptAnswer answer;
  answer.status = 503;
  answer.not_executed = true;
  answer.backoff = absl::Seconds(3);
  dispatcher.OnAttemptAnswer(send.attempt, answer, now);
  dispatcher.TakeDecisions();
  Sleep();
  BOOST_TEST(StartAndSend("/scripts/x", absl::Seconds(2), 8).backend == "owner");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
