// What one node does with requests for back ends that named limits. It is the only member, and so
// issues its own permits.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr uint64_t kSelf = 1;
constexpr double kLimit = 2;

DispatcherSettings Settings() {
  DispatcherSettings settings = DispatcherHarness::DefaultSettings();
  settings.node = kSelf;
  return settings;
}

struct Limited : DispatcherHarness {
  Limited() : DispatcherHarness(Settings()) {
    dispatcher.SetMembers({kSelf}, now);
    now += allowance::ChosenNodes::kSettlingTime;
    dispatcher.SetMembersConfirmed(now + absl::Hours(1));
  }

  void AnswerWithLimit(const SendDecision& send, std::optional<double> rate) {
    AttemptAnswer answer;
    answer.status = 200;
    answer.load = {.running = 1, .waiting = 0, .slots = 2};
    answer.limit.rate = rate;
    dispatcher.OnAttemptAnswer(send.attempt, answer, now);
    dispatcher.TakeDecisions();
  }
  /// An issuer begins with nothing saved.
  void SavePermit() {
    Start("/scripts/x", absl::Seconds(2), 8);
    Advance(absl::Seconds(1));
    dispatcher.TakeDecisions();
  }
  /// The owner names its limit.
  void NameLimit(const std::string& target = "/scripts/x") {
    const SendDecision send = StartAndSend(target, absl::Seconds(2), 7);
    Sent(send);
    AnswerWithLimit(send, kLimit);
  }
};

BOOST_FIXTURE_TEST_SUITE(limited_dispatch, Limited)

BOOST_AUTO_TEST_CASE(what_is_beyond_the_limit_is_refused_at_once_with_the_time_to_come_back) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  NameLimit();
  Start("/scripts/x", absl::Seconds(2), 8);
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kBackendLimited));
  BOOST_TEST(answer.reason.find("the owner's limit is used up (owner") != std::string::npos);
  BOOST_TEST(answer.reason.find("2 requests a second from all nodes") != std::string::npos);
  BOOST_TEST((answer.retry_after >= absl::Milliseconds(100)));
  BOOST_TEST((answer.retry_after <= absl::Milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(the_limit_is_used_and_its_end_is_heard) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  NameLimit();
  int sends = 0;
  constexpr int kSeconds = 10;
  for (int i = 0; i < 100 * kSeconds; ++i) {
    Advance(absl::Milliseconds(10));
    Start("/scripts/x", absl::Seconds(2), 8);
    for (const SendDecision& send : All<SendDecision>()) {
      ++sends;
      Sent(send);
      AnswerWithLimit(send, kLimit);
    }
  }
  BOOST_TEST(sends >= kLimit * kSeconds * 0.9);
  BOOST_TEST(sends <= kLimit * kSeconds + 2);
  SavePermit();
  AnswerWithLimit(StartAndSend("/scripts/x", absl::Seconds(2), 8), std::nullopt);
  for (int i = 0; i < 5; ++i) {
    Answer(StartAndSend("/scripts/x", absl::Seconds(2), 8));
    dispatcher.TakeDecisions();
  }
}

BOOST_AUTO_TEST_CASE(a_request_whose_connection_comes_up_after_the_limit_is_not_written) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  const SendDecision connecting = StartAndSend("/scripts/x", absl::Seconds(2), 8);
  NameLimit();
  BOOST_TEST(!dispatcher.MaySend(connecting.attempt, now));
}

BOOST_AUTO_TEST_CASE(requests_without_a_key_go_to_the_others) {
  AddBackends("cards", {"a", "b", "c"});
  const SendDecision first = StartAndSend("/cards/x");
  Sent(first);
  AnswerWithLimit(first, kLimit);
  int there = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    Advance(absl::Milliseconds(10));
    const SendDecision send = StartAndSend("/cards/x");
    Sent(send);
    if (send.backend == first.backend) {
      ++there;
      AnswerWithLimit(send, kLimit);
    } else {
      AnswerWithLimit(send, std::nullopt);
    }
  }
  BOOST_TEST(there > 0);
  BOOST_TEST(there <= kLimit * 2 + 2);
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_instance_says_nothing_of_the_limit) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  NameLimit();
  SavePermit();
  const SendDecision send = StartAndSend("/scripts/x", absl::Seconds(2), 8);
  Sent(send);
  Refuse(send, 421);
  BOOST_TEST(dispatcher.rates().IsLimited("owner"));
}

BOOST_AUTO_TEST_CASE(without_a_confirmed_list_of_members_nothing_goes_there) {
  AddBackends("scripts", {"owner"});
  Own("owner");
  NameLimit();
  dispatcher.SetMembersConfirmed(now);
  Advance(absl::Seconds(2));
  Start("/scripts/x", absl::Seconds(2), 8);
  BOOST_TEST((Only<AnswerDecision>().code == ResultCode::kBackendLimited));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
