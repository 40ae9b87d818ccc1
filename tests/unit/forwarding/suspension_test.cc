// State with an expiry time expires while the node's machine is suspended: on resume the clock
// jumps, and a request or an answer may arrive before any timer has fired.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kSuspendedTime = absl::Seconds(5);

struct SuspendedNode : DispatcherHarness {
  void Suspend() { now += kSuspendedTime; }
};

BOOST_FIXTURE_TEST_SUITE(suspension, SuspendedNode)

BOOST_AUTO_TEST_CASE(a_map_is_not_used_beyond_its_confirmation) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  dispatcher.SetMapConfirmed(now + absl::Seconds(2));
  Suspend();
  Start("/scripts/x", absl::Seconds(2), 7);
  BOOST_TEST((Only<AnswerDecision>().code == ResultCode::kNoOwner));
}

BOOST_AUTO_TEST_CASE(a_leaving_owner_gets_no_more_requests) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  Drain("owner");
  Suspend();
  Start("/scripts/x", absl::Seconds(2), 7);
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_waited_is_answered_and_not_sent) {
  AddBackends("scripts", {"owner"});
  Own("owner", {{0, ownership::kLastKey}});
  Start("/scripts/x", absl::Seconds(1), 7);
  BOOST_TEST(HasNoDecisions());
  Suspend();
  // The move of its keys completed meanwhile, and the new map arrives before any timer fires.
  Own("owner");
  BOOST_TEST(Only<AnswerDecision>().status != 200);
}

BOOST_AUTO_TEST_CASE(a_failed_attempt_is_not_retried_after_the_deadline) {
  AddBackends("cards", {"a", "b"});
  const SendDecision send = StartAndSend("/cards/x", absl::Seconds(1));
  Sent(send);
  Suspend();
  Fail(send, AttemptFailure::kLost);
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(an_attempt_to_an_owner_that_left_may_not_be_sent) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  const SendDecision send = StartAndSend("/scripts/x", absl::Seconds(20), 7);
  Drain("owner");
  Suspend();
  BOOST_TEST(!dispatcher.MaySend(send.attempt, now));
}

BOOST_AUTO_TEST_CASE(a_requested_backoff_includes_the_time_suspended) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  const SendDecision send = StartAndSend("/scripts/x", absl::Seconds(2), 7);
  AttemptAnswer answer;
  answer.status = 503;
  answer.not_executed = true;
  answer.backoff = absl::Seconds(3);
  dispatcher.OnAttemptAnswer(send.attempt, answer, now);
  dispatcher.TakeDecisions();
  Suspend();
  BOOST_TEST(StartAndSend("/scripts/x", absl::Seconds(2), 8).backend == "owner");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
