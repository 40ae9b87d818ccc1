// When a request may be retried, and what its caller may conclude from the final answer.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

struct Fleet : DispatcherHarness {
  Fleet() {
    AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"});
    AddBackends("books", {"b-1", "b-2", "b-3", "b-4"});
  }
};

BOOST_FIXTURE_TEST_SUITE(retry, Fleet)

BOOST_AUTO_TEST_CASE(at_most_once_is_not_retried_once_it_may_have_been_sent) {
  SendDecision send = StartAndSend("/books/1");
  Sent(send);
  Fail(send, AttemptFailure::kLost);
  const auto lost = Only<AnswerDecision>();
  BOOST_TEST(lost.status == 502);
  BOOST_TEST((lost.code == ResultCode::kConnectionLost));

  send = StartAndSend("/books/2");
  Sent(send);
  Fail(send, AttemptFailure::kTimedOut);
  const auto timed_out = Only<AnswerDecision>();
  BOOST_TEST(timed_out.status == 504);
  BOOST_TEST((timed_out.code == ResultCode::kTimedOut));
  Advance(absl::Seconds(5));
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(lost_attempt_counts_as_sent_without_an_on_sent_event) {
  const SendDecision send = StartAndSend("/books/1");
  Fail(send, AttemptFailure::kLost);
  BOOST_TEST(Only<AnswerDecision>().status == 502);
}

BOOST_AUTO_TEST_CASE(at_most_once_is_retried_while_it_was_certainly_never_run) {
  const SendDecision first = StartAndSend("/books/1");
  Fail(first, AttemptFailure::kConnectRefused);
  const auto second = Only<SendDecision>();
  BOOST_TEST(second.backend != first.backend);
  Sent(second);
  Refuse(second);
  const auto third = Only<SendDecision>();
  BOOST_TEST((third.cause == SendCause::kAfterRefusal));
  Sent(third);
  Answer(third);
  BOOST_TEST(Only<RelayDecision>().attempt == third.attempt);
}

BOOST_AUTO_TEST_CASE(unconfirmed_refusal_is_retried_or_answered_502) {
  for (const int status : {503, 429, 408}) {
    const SendDecision at_most_once = StartAndSend("/books/1");
    Sent(at_most_once);
    Answer(at_most_once, status);
    BOOST_TEST(Only<AnswerDecision>().status == 502);

    const SendDecision repeatable = StartAndSend("/cards/1");
    Sent(repeatable);
    Answer(repeatable, status);
    const auto again = Only<SendDecision>();
    BOOST_TEST(again.backend != repeatable.backend);
    Sent(again);
    Answer(again);
    Only<RelayDecision>();
  }
}

BOOST_AUTO_TEST_CASE(errors_that_do_not_imply_a_request_was_not_run_are_relayed) {
  for (const int status : {500, 504, 404, 400}) {
    const SendDecision send = StartAndSend("/books/1");
    Sent(send);
    Answer(send, status);
    BOOST_TEST(Only<RelayDecision>().attempt == send.attempt);
  }
}

BOOST_AUTO_TEST_CASE(request_refused_by_all_attempts_gets_503_with_a_short_retry_after) {
  for (const char* target : {"/books/1", "/cards/1"}) {
    SendDecision send = StartAndSend(target);
    for (int attempt = 1; attempt < 3; ++attempt) {
      Sent(send);
      Refuse(send);
      send = Only<SendDecision>();
    }
    Sent(send);
    Refuse(send);
    const auto answer = Only<AnswerDecision>();
    BOOST_TEST(answer.status == 503);
    BOOST_TEST((answer.code == ResultCode::kBackendShed));
    BOOST_TEST((answer.retry_after >= absl::Milliseconds(20)));
    BOOST_TEST((answer.retry_after <= absl::Milliseconds(500)));
    BOOST_TEST(answer.reason.find(send.backend) != std::string::npos, answer.reason);
    BOOST_TEST(answer.reason.find("running 2 waiting 8") != std::string::npos, answer.reason);
    Advance(absl::Seconds(1));
  }
}

BOOST_AUTO_TEST_CASE(request_with_a_lost_attempt_is_never_answered_503) {
  const SendDecision first = StartAndSend("/cards/1");
  Sent(first);
  Fail(first, AttemptFailure::kLost);
  const auto second = Only<SendDecision>();
  BOOST_TEST((second.cause == SendCause::kAfterLoss));
  BOOST_TEST(second.backend != first.backend);
  Sent(second);
  Refuse(second);
  const auto third = Only<SendDecision>();
  Sent(third);
  Refuse(third);
  BOOST_TEST(Only<AnswerDecision>().status == 502);
}

BOOST_AUTO_TEST_CASE(max_attempts_counts_only_attempts_that_were_sent) {
  catalog::Configuration single = DefaultConfiguration();
  single.version = 2;
  single.routes[0].max_attempts = 1;
  Configure(single);
  const SendDecision first = StartAndSend("/cards/1");
  Fail(first, AttemptFailure::kConnectTimeout);
  const auto second = Only<SendDecision>();
  Sent(second);
  Fail(second, AttemptFailure::kLost);
  BOOST_TEST(Only<AnswerDecision>().status == 502);
}

BOOST_AUTO_TEST_CASE(request_to_an_unreachable_service_is_refused_after_a_few_attempts) {
  std::vector<SendDecision> sends;
  Start("/books/1");
  for (auto sent = All<SendDecision>(); !sent.empty(); sent = All<SendDecision>()) {
    sends.push_back(sent.front());
    BOOST_REQUIRE_LE(sends.size(), 4U);
    if (sends.size() == 4) {
      break;
    }
    Fail(sent.front(), AttemptFailure::kConnectRefused);
  }
  Fail(sends.back(), AttemptFailure::kConnectRefused);
  const auto answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kBackendUnreachable));
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_served_by_rank) {
  catalog::Configuration ranked = DefaultConfiguration();
  ranked.version = 2;
  ranked.routes[0].priority = 5;
  catalog::Route urgent = ranked.routes[0];
  urgent.name = "urgent";
  urgent.path_prefix = "/urgent/";
  urgent.priority = 0;
  ranked.routes.push_back(urgent);
  Configure(ranked);
  for (const char* id : {"c-1", "c-2", "c-3", "c-4"}) {
    RemoveBackend(id);
  }
  Start("/cards/1");
  const RequestHandle first = last;
  Start("/urgent/1");
  const RequestHandle second = last;
  BOOST_TEST(HasNoDecisions());
  AddBackends("cards", {"c-5"});
  const auto decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  BOOST_TEST(decisions[0].request == second);
  BOOST_TEST(decisions[1].request == first);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
