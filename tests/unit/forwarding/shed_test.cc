// A back end that resets connections when it is full: how soon it is asked again, and what the
// callers of its keys are told meanwhile.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

/// Long enough that one slot interval is longer than a request waits.
constexpr Duration kServiceTime = absl::Milliseconds(240);

struct FullOwner : DispatcherHarness {
  FullOwner() {
    AddBackends("scripts", {"s-1"});
    Own("s-1");
    const SendDecision send = Ask();
    Advance(kServiceTime);
    Answer(send);
    Only<RelayDecision>();
  }

  SendDecision Ask() {
    SendDecision send = StartAndSend("/scripts/1", absl::Seconds(2), 9);
    Sent(send);
    return send;
  }
  /// Asks, is turned away without a word, and returns what the caller is told.
  AnswerDecision AskInVain() {
    Fail(Ask(), AttemptFailure::kLost);
    return Only<AnswerDecision>();
  }
  /// How long from now on every request is refused here.
  Duration Pause() {
    const Time begin = now;
    for (;;) {
      Start("/scripts/1", absl::Seconds(2), 9);
      const auto sends = All<SendDecision>();
      if (!sends.empty()) {
        Sent(sends.front());
        Fail(sends.front(), AttemptFailure::kLost);
        return now - begin;
      }
      Advance(absl::Milliseconds(1));
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(shed, FullOwner)

BOOST_AUTO_TEST_CASE(pauses_grow_while_an_owner_turns_requests_away_untold) {
  Fail(Ask(), AttemptFailure::kLost);
  const Duration first = Pause();
  const Duration second = Pause();
  const Duration third = Pause();
  BOOST_TEST((second >= 1.8 * first));
  BOOST_TEST((third >= 1.8 * second));
}

BOOST_AUTO_TEST_CASE(one_request_at_a_time_asks_a_full_owner_again) {
  Fail(Ask(), AttemptFailure::kLost);
  dispatcher.TakeDecisions();
  Advance(kServiceTime);
  const SendDecision probe = Ask();
  Start("/scripts/1", absl::Seconds(2), 9);
  BOOST_TEST(All<SendDecision>().empty());
  Answer(probe);
  BOOST_TEST(All<SendDecision>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(caller_of_a_full_owner_hears_when_to_come_back) {
  AskInVain();
  Advance(kServiceTime);
  AskInVain();
  Advance(2 * kServiceTime);
  const AnswerDecision lost = AskInVain();
  BOOST_TEST(lost.status == 502);
  BOOST_TEST((lost.retry_after > absl::Milliseconds(300)));
  Start("/scripts/1", absl::Seconds(2), 9);
  const auto refused = Only<AnswerDecision>();
  BOOST_TEST(refused.status == 503);
  BOOST_TEST((refused.retry_after > absl::Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(request_without_a_connection_waits_for_one) {
  const SendDecision held = Ask();
  const SendDecision refused = StartAndSend("/scripts/2", absl::Seconds(2), 9);
  Fail(refused, AttemptFailure::kNotSent);
  BOOST_TEST(Quiet());
  Answer(held);
  BOOST_TEST(All<SendDecision>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
