// What a node does with a request that crashes back ends.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr quarantine::Fingerprint kGuilty{1, 1};

struct GuiltyRequest : DispatcherHarness {
  RequestHandle StartGuilty(const std::string& target) {
    IncomingRequest request{"id", "h.example", target, 7, now, now + absl::Seconds(2)};
    request.identity = kGuilty;
    return last = dispatcher.Start(request, now);
  }
  /// The back end goes down under it.
  void Crash(const SendDecision& send) {
    Sent(send);
    Fail(send, AttemptFailure::kLost);
    dispatcher.suspects().OnRefused(send.backend, now);
    now += quarantine::CrashSuspects::kBetweenProbes;
    dispatcher.suspects().OnRefused(send.backend, now);
  }
  /// Sends the request, whose connection ends without an answer.
  void LoseOne() {
    StartGuilty("/cards/x");
    const auto send = Only<SendDecision>();
    Sent(send);
    Fail(send, AttemptFailure::kLost);
    dispatcher.TakeDecisions();
  }
  catalog::Backend AtAddressOfTheFirst(const std::string& id) const {
    catalog::Backend other = MakeBackend(id, "cards");
    other.address = backends.front().address;
    return other;
  }
  /// As other nodes would tell.
  void HearOfCrashes(size_t count) {
    quarantine::SuspectRecord record;
    record.request = kGuilty;
    for (size_t i = 0; i < count; ++i) {
      record.losses.push_back({"x-" + std::to_string(i), now - absl::Seconds(1)});
    }
    dispatcher.suspects().Merge({record}, now);
  }
};

BOOST_FIXTURE_TEST_SUITE(dispatch, GuiltyRequest)

// With three attempts to a request, one call took three back ends.
BOOST_AUTO_TEST_CASE(one_call_takes_two_back_ends_at_most) {
  AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"});
  StartGuilty("/cards/x");
  size_t sends = 0;
  for (std::vector<SendDecision> sent = All<SendDecision>(); !sent.empty();
       sent = All<SendDecision>()) {
    ++sends;
    Crash(sent.front());
  }
  BOOST_TEST(sends == 2U);
}

BOOST_AUTO_TEST_CASE(a_fourth_try_is_refused_without_an_attempt) {
  AddBackends("cards", {"c-1", "c-2"});
  HearOfCrashes(3);
  StartGuilty("/cards/x");
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST((answer.code == ResultCode::kQuarantined));
  BOOST_TEST(answer.status == 503);
  // The first trial comes soon, for those that were held by mistake.
  BOOST_TEST((answer.retry_after > absl::Seconds(3)));
  BOOST_TEST((answer.retry_after < absl::Seconds(10)));
  now += absl::Seconds(10);
  HearOfCrashes(4);
  StartGuilty("/cards/x");
  BOOST_TEST((Only<AnswerDecision>().retry_after > absl::Minutes(1)));
  BOOST_TEST(answer.reason.find("x-0 x-1 x-2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(others_are_served_meanwhile) {
  AddBackends("cards", {"c-1", "c-2"});
  HearOfCrashes(3);
  IncomingRequest other{"id", "h.example", "/cards/x", 7, now, now + absl::Seconds(2)};
  other.identity = quarantine::Fingerprint{2, 2};
  dispatcher.Start(other, now);
  Answer(Only<SendDecision>());
}

// Its keys move when their owner has crashed, and the request must not follow them.
BOOST_AUTO_TEST_CASE(it_does_not_follow_its_key_from_owner_to_owner) {
  AddBackends("scripts", {"s-1", "s-2", "s-3", "s-4"});
  size_t crashed = 0;
  for (const char* owner : {"s-1", "s-2", "s-3", "s-4"}) {
    Own(owner);
    dispatcher.TakeDecisions();
    StartGuilty("/scripts/x");
    for (const SendDecision& send : All<SendDecision>()) {
      ++crashed;
      Crash(send);
      dispatcher.TakeDecisions();
    }
  }
  BOOST_TEST(crashed == 3U);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashed_two_elsewhere_is_not_tried_twice) {
  AddBackends("cards", {"c-1", "c-2"});
  HearOfCrashes(2);
  StartGuilty("/cards/x");
  const auto send = Only<SendDecision>();
  Sent(send);
  Fail(send, AttemptFailure::kLost);
  const auto answer = Only<AnswerDecision>();
  // It may have run.
  BOOST_TEST(answer.status == 502);
}

// Guards against requests that are held because of old registrations: one at the address of a lost
// back end counted as proof that the back end had crashed.
BOOST_AUTO_TEST_CASE(registration_at_the_address_of_a_lost_back_end_proves_no_crash) {
  AddBackends("cards", {"c-1"});
  LoseOne();
  AddBackend(AtAddressOfTheFirst("c-0"));
  BOOST_TEST(dispatcher.suspects().Judge(kGuilty, now).crashes == 0U);
  BOOST_TEST(dispatcher.suspects().Judge(kGuilty, now).open == 1U);
}

// An answer of the other process is proof.
BOOST_AUTO_TEST_CASE(answer_at_the_address_of_a_lost_back_end_proves_its_crash) {
  AddBackends("cards", {"c-1"});
  LoseOne();
  AddBackend(AtAddressOfTheFirst("c-2"));
  now += absl::Milliseconds(100);
  while (true) {
    const SendDecision send = StartAndSend("/cards/innocent");
    if (send.backend == "c-2") {
      Answer(send);
      break;
    }
  }
  BOOST_TEST(dispatcher.suspects().Judge(kGuilty, now).crashes == 1U);
}

// So is its registration once that of the lost one is gone: a back end that runs keeps its own.
BOOST_AUTO_TEST_CASE(lost_back_end_whose_registration_expires_has_left_its_address) {
  AddBackends("cards", {"c-1"});
  LoseOne();
  AddBackend(AtAddressOfTheFirst("c-2"));
  BOOST_TEST(dispatcher.suspects().Judge(kGuilty, now).crashes == 0U);
  RemoveBackend("c-1");
  BOOST_TEST(dispatcher.suspects().Judge(kGuilty, now).crashes == 1U);
}

BOOST_AUTO_TEST_CASE(an_innocent_one_that_is_lost_once_is_tried_again_and_cleared_when_served) {
  AddBackends("cards", {"c-1", "c-2"});
  HearOfCrashes(1);
  StartGuilty("/cards/x");
  const auto send = Only<SendDecision>();
  Crash(send);
  Answer(Only<SendDecision>());
  BOOST_TEST(dispatcher.suspects().Judge(kGuilty, now).crashes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
