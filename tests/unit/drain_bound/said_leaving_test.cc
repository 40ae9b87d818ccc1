// A back end that is about to end says so with each of its answers ("Server-Leaving: 1"), also when
// its registration has not changed yet: because the store is slow, or cut off from it, or because
// it never says so there. Nothing read the header, and a node that had passed such an answer on
// went on sending there for as long as the registration stood: 8 s in the first case below, where 2
// s are allowed. The line attempt_answered told leaving=1, and no belief followed it.
#include <boost/test/unit_test.hpp>
#include <optional>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kPause = absl::Milliseconds(50);

struct SaidLeaving : DispatcherHarness {
  SaidLeaving() : DispatcherHarness(Settings()) {}

  static DispatcherSettings Settings() {
    DispatcherSettings settings = DefaultSettings();
    settings.drain_time = absl::Seconds(2);
    return settings;
  }

  void AnswerLeaving(const SendDecision& send, int status = 200) {
    AttemptAnswer answer;
    answer.status = status;
    answer.load = {.running = 1, .waiting = 0, .slots = 2};
    answer.leaving = true;
    dispatcher.OnAttemptAnswer(send.attempt, answer, now);
    dispatcher.TakeDecisions();
  }

  /// Asks every kPause for `length`; when the last request went to `backend`, from now on. Nothing
  /// when none did.
  std::optional<Duration> LastSendTo(const std::string& backend, const std::string& target,
                                     Duration length) {
    std::optional<Duration> last;
    const Time begin = now;
    for (; now < begin + length; Advance(kPause)) {
      Start(target, absl::Seconds(2), 7);
      for (const SendDecision& send : All<SendDecision>()) {
        if (send.backend == backend) {
          last = now - begin;
        }
        Sent(send);
        Answer(send);
      }
      dispatcher.TakeDecisions();
    }
    return last;
  }
};

BOOST_FIXTURE_TEST_SUITE(said_leaving, SaidLeaving)

BOOST_AUTO_TEST_CASE(a_back_end_that_says_so_gets_nothing_more) {
  AddBackends("cards", {"a", "b"});
  const SendDecision send = StartAndSend("/cards/x");
  AnswerLeaving(send);
  BOOST_TEST(!LastSendTo(send.backend, "/cards/x", absl::Seconds(8)).has_value());
}

BOOST_AUTO_TEST_CASE(an_owner_that_says_so_is_used_within_the_bound_only) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  AnswerLeaving(StartAndSend("/scripts/x", absl::Seconds(2), 7));
  const std::optional<Duration> last = LastSendTo("owner", "/scripts/x", absl::Seconds(8));
  BOOST_TEST_REQUIRE(last.has_value());
  // Its keys have nobody else until they have moved.
  BOOST_TEST((*last > absl::Milliseconds(500)));
  BOOST_TEST((*last < absl::Seconds(2)));
}

BOOST_AUTO_TEST_CASE(a_registration_that_comes_back_takes_back_nothing) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  AnswerLeaving(StartAndSend("/scripts/x", absl::Seconds(2), 7));
  Advance(absl::Seconds(3));
  RemoveBackend("owner", /*store_troubled=*/true);
  catalog::Backend changed = MakeBackend("owner", "scripts");
  changed.slots = 4;
  AddBackend(changed);
  BOOST_TEST(!LastSendTo("owner", "/scripts/x", absl::Seconds(8)).has_value());
}

// The address may be another back end's by now.
BOOST_AUTO_TEST_CASE(another_back_ends_word_at_the_same_address_does_not_count) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  AnswerLeaving(StartAndSend("/scripts/x", absl::Seconds(2), 7), 421);
  Advance(absl::Seconds(3));
  Own("owner");
  BOOST_TEST(LastSendTo("owner", "/scripts/x", absl::Seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(it_is_told_once) {
  AddBackends("cards", {"a"});
  const SendDecision one = StartAndSend("/cards/x");
  const SendDecision other = StartAndSend("/cards/x");
  dispatcher.TakeStateChanges();
  AnswerLeaving(one);
  AnswerLeaving(other);
  const std::vector<BackendStateChange> beliefs = dispatcher.TakeStateChanges();
  BOOST_TEST_REQUIRE(beliefs.size() == 1U);
  BOOST_TEST(beliefs.front().event == "draining");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
