// Tests the limit that a node puts on its own concurrent requests at an overloaded owner of keys
// that reports no load.
#include "core/admission/owner_limit.h"

#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kServiceTime = absl::Milliseconds(60);
const Time kStart = absl::FromUnixSeconds(1000);

BOOST_AUTO_TEST_SUITE(owner_limit)

BOOST_AUTO_TEST_CASE(owner_that_answers_in_time_is_not_limited) {
  admission::OwnerLimit limit;
  limit.OnAnswer(kStart, true, kStart + kServiceTime);
  BOOST_TEST(limit.Allows(1000, kStart + kServiceTime));
}

BOOST_AUTO_TEST_CASE(rejections_of_concurrent_requests_reduce_the_limit_once) {
  admission::OwnerLimit limit;
  for (int i = 0; i < 8; ++i) {
    limit.OnRejected(kStart, kServiceTime, kStart + absl::Milliseconds(i));
  }
  BOOST_TEST(limit.limit() >= 1);
  BOOST_TEST(limit.Allows(0, kStart + absl::Milliseconds(8)));
  BOOST_TEST(!limit.Allows(2, kStart + absl::Milliseconds(8)));
}

BOOST_AUTO_TEST_CASE(limit_below_one_spaces_requests) {
  admission::OwnerLimit limit;
  Time now = kStart;
  while (limit.limit() >= 0.5) {
    limit.OnRejected(now, kServiceTime, now);
    now += absl::Milliseconds(1);
  }
  BOOST_TEST(!limit.Allows(0, now));
  BOOST_TEST((limit.next_send() >= now + kServiceTime - absl::Milliseconds(1)));
  BOOST_TEST(limit.Allows(0, limit.next_send()));
  BOOST_TEST(!limit.Allows(1, limit.next_send()));
}

BOOST_AUTO_TEST_CASE(late_answers_lower_and_timely_answers_raise_the_limit_until_it_expires) {
  admission::OwnerLimit limit;
  limit.OnAnswer(kStart, false, kStart + absl::Milliseconds(1));
  const double cut = limit.limit();
  limit.OnAnswer(kStart + absl::Milliseconds(2), true, kStart + absl::Milliseconds(50));
  BOOST_TEST(limit.limit() > cut);
  limit.OnAnswer(kStart + absl::Milliseconds(2), true, kStart + absl::Seconds(3));
  BOOST_TEST(limit.limit() == admission::OwnerLimit::kUnlimited);
}

struct Owned : DispatcherHarness {
  Owned() {
    AddBackends("scripts", {"s-1"});
    Own("s-1");
  }
  SendDecision Send() { return StartAndSend("/scripts/1", absl::Seconds(2), 77); }
  /// Answers without telling the owner's load.
  void AnswerOnly(const SendDecision& send) {
    AttemptAnswer answer;
    answer.status = 200;
    dispatcher.OnAttemptAnswer(send.attempt, answer, now);
  }
};

/// A full owner may reset a connection long after the request arrived, without reporting its load.
BOOST_FIXTURE_TEST_CASE(requests_lost_late_at_an_owner_without_load_reports_delay_further_ones,
                        Owned) {
  std::vector<SendDecision> sent;
  for (int i = 0; i < 4; ++i) {
    sent.push_back(Send());
    Sent(sent.back());
  }
  Advance(absl::Milliseconds(160));
  for (const SendDecision& send : sent) {
    Fail(send, AttemptFailure::kLost);
  }
  Advance(absl::Milliseconds(200));
  dispatcher.TakeDecisions();
  // One request probes whether the owner has recovered; the others wait.
  Start("/scripts/1", absl::Seconds(2), 77);
  Start("/scripts/1", absl::Seconds(2), 77);
  Start("/scripts/1", absl::Seconds(2), 77);
  BOOST_TEST(All<SendDecision>().size() <= 1U);
  Advance(absl::Milliseconds(110));
  const std::vector<AnswerDecision> answers = All<AnswerDecision>();
  BOOST_TEST(!answers.empty());
  for (const AnswerDecision& answer : answers) {
    BOOST_TEST(answer.status == 503);
    BOOST_TEST((answer.code == ResultCode::kOverloaded));
    BOOST_TEST((answer.retry_after > absl::ZeroDuration()));
  }
}

/// Guards against refusals, "the owner is full", at an owner without a queue whose answers are
/// lost.
BOOST_FIXTURE_TEST_CASE(owner_that_loses_answers_and_answers_others_in_time_is_not_full, Owned) {
  for (int round = 0; round < 20; ++round) {
    std::vector<SendDecision> sent = {Send(), Send(), Send()};
    for (const SendDecision& send : sent) {
      Sent(send);
    }
    Advance(kServiceTime);
    AnswerOnly(sent[0]);
    Fail(sent[1], AttemptFailure::kLost);
    AnswerOnly(sent[2]);
    // The lost request is sent again.
    for (const SendDecision& again : All<SendDecision>()) {
      Sent(again);
      Advance(kServiceTime);
      AnswerOnly(again);
    }
    dispatcher.TakeDecisions();
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
