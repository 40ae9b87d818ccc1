// Requests that go through peers while this node does not reach the back ends.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr uint64_t kPeer = 11;
constexpr uint64_t kOtherPeer = 12;

struct PeerFixture : DispatcherHarness {
  PeerFixture() {
    AddBackends("cards", {"c-1", "c-2", "c-3"});
    AddBackends("books", {"k-1", "k-2", "k-3"});
    AddBackends("scripts", {"s-1", "s-2"});
    Own("s-1");
    dispatcher.SetRelayPeers({{kPeer, "a"}, {kOtherPeer, "a"}});
  }
  /// Connections to two back ends of the service fail.
  void Cut(const std::string& service) {
    const std::string prefix = service == "cards" ? "c-" : "k-";
    dispatcher.OnPathEvent(prefix + "1", PathEvent::kConnectFailed, now);
    dispatcher.OnPathEvent(prefix + "2", PathEvent::kConnectFailed, now);
    dispatcher.TakeDecisions();
  }
};

BOOST_FIXTURE_TEST_SUITE(peer_path, PeerFixture)

BOOST_AUTO_TEST_CASE(requests_go_directly_while_nothing_is_cut) {
  const SendDecision send = StartAndSend("/cards/1");
  BOOST_TEST(send.peer == 0U);
  Sent(send);
  Answer(send);
  BOOST_TEST(dispatcher.TakePathProbes().empty());
}

BOOST_AUTO_TEST_CASE(requests_go_through_a_peer_while_the_path_is_cut) {
  Cut("cards");
  const SendDecision send = StartAndSend("/cards/1");
  BOOST_TEST(send.peer != 0U);
  Sent(send);
  Answer(send);
  BOOST_TEST(Only<RelayDecision>().attempt == send.attempt);
  // Another service is reached as before.
  BOOST_TEST(StartAndSend("/books/1").peer == 0U);
}

BOOST_AUTO_TEST_CASE(peer_that_has_no_path_either_costs_no_attempt) {
  Cut("books");
  const SendDecision first = StartAndSend("/books/1");
  Sent(first);
  Fail(first, AttemptFailure::kPeerHasNoPath);
  const SendDecision second = Only<SendDecision>();
  BOOST_TEST(second.peer != 0U);
  BOOST_TEST(second.peer != first.peer);
  Sent(second);
  Fail(second, AttemptFailure::kPeerHasNoPath);
  // Nobody helps: the caller hears so at once, truthfully.
  const AnswerDecision answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.code == ResultCode::kBackendUnreachable));
  BOOST_TEST((answer.retry_after == absl::Milliseconds(250)));
}

BOOST_AUTO_TEST_CASE(unsafe_request_is_not_sent_again_when_its_peer_is_lost) {
  Cut("books");
  const SendDecision send = StartAndSend("/books/1");
  Sent(send);
  Fail(send, AttemptFailure::kPeerLost);
  const AnswerDecision answer = Only<AnswerDecision>();
  BOOST_TEST(answer.status == 502);
}

BOOST_AUTO_TEST_CASE(repeatable_request_goes_through_another_peer_when_one_is_lost) {
  Cut("cards");
  const SendDecision first = StartAndSend("/cards/1");
  Sent(first);
  Fail(first, AttemptFailure::kPeerLost);
  const SendDecision second = Only<SendDecision>();
  BOOST_TEST(second.peer != 0U);
  BOOST_TEST(second.peer != first.peer);
}

BOOST_AUTO_TEST_CASE(silent_peer_leaves_the_outcome_of_an_unsafe_request_unknown) {
  Cut("books");
  const SendDecision send = StartAndSend("/books/1", absl::Seconds(1));
  Sent(send);
  Advance(absl::Seconds(2));
  BOOST_TEST(Only<AnswerDecision>().status == 504);
}

BOOST_AUTO_TEST_CASE(attempts_under_way_are_rerouted_when_the_path_is_cut) {
  const SendDecision connecting = StartAndSend("/books/1");
  const SendDecision sent = StartAndSend("/cards/1");
  Sent(sent);
  dispatcher.OnPathEvent("k-1", PathEvent::kConnectFailed, now);
  dispatcher.OnPathEvent("k-2", PathEvent::kConnectFailed, now);
  // It had not left, so even an unsafe request may go another way.
  auto decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  BOOST_TEST(std::get<CancelDecision>(decisions[0].decision).attempt == connecting.attempt);
  BOOST_TEST(std::get<SendDecision>(decisions[1].decision).peer != 0U);
  dispatcher.OnPathEvent("c-1", PathEvent::kConnectFailed, now);
  dispatcher.OnPathEvent("c-2", PathEvent::kConnectFailed, now);
  decisions = dispatcher.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 2U);
  BOOST_TEST(std::get<CancelDecision>(decisions[0].decision).attempt == sent.attempt);
  BOOST_TEST(std::get<SendDecision>(decisions[1].decision).peer != 0U);
}

// Guards against an attempt that is cancelled before its decision is carried out, and still sent.
BOOST_AUTO_TEST_CASE(a_rerouted_attempt_is_not_expected_any_more) {
  const SendDecision decided = StartAndSend("/books/1");
  BOOST_TEST(dispatcher.IsExpected(decided.attempt));
  dispatcher.OnPathEvent("k-1", PathEvent::kConnectFailed, now);
  dispatcher.OnPathEvent("k-2", PathEvent::kConnectFailed, now);
  BOOST_TEST(!dispatcher.IsExpected(decided.attempt));
  const auto decisions = dispatcher.TakeDecisions();
  BOOST_TEST(dispatcher.IsExpected(std::get<SendDecision>(decisions.at(1).decision).attempt));
}

BOOST_AUTO_TEST_CASE(unsafe_request_that_left_is_not_rerouted) {
  const SendDecision send = StartAndSend("/books/1");
  Sent(send);
  dispatcher.OnPathEvent("k-1", PathEvent::kConnectFailed, now);
  dispatcher.OnPathEvent("k-2", PathEvent::kConnectFailed, now);
  BOOST_TEST(HasNoDecisions());
}

BOOST_AUTO_TEST_CASE(owner_that_refuses_is_tried_through_a_peer_before_it_is_condemned) {
  const SendDecision direct = StartAndSend("/scripts/1", absl::Seconds(2), 7);
  Fail(direct, AttemptFailure::kConnectRefused);
  const SendDecision relayed = Only<SendDecision>();
  BOOST_TEST(relayed.backend == direct.backend);
  BOOST_TEST(relayed.peer != 0U);
  Sent(relayed);
  Answer(relayed);
  Only<RelayDecision>();
  BOOST_TEST(StartAndSend("/scripts/2", absl::Seconds(2), 7).peer != 0U);
  dispatcher.OnPathEvent(direct.backend, PathEvent::kConnected, now);
  BOOST_TEST(StartAndSend("/scripts/3", absl::Seconds(2), 7).peer == 0U);
}

// Guards against the quarantine of requests that a reset of all connections interrupts, and against
// losses that are forgotten because a cut path would explain them.
BOOST_AUTO_TEST_CASE(loss_under_a_cut_path_stays_open_until_the_back_end_is_reached) {
  constexpr quarantine::Fingerprint kRequest{1, 2};
  IncomingRequest request{"id", "h.example", "/books/1", {}, now, now + absl::Seconds(2)};
  request.identity = kRequest;
  dispatcher.Start(request, now);
  const auto send = Only<SendDecision>();
  Sent(send);
  Fail(send, AttemptFailure::kLost);
  Cut("books");
  for (int i = 0; i < 3; ++i) {
    dispatcher.OnSuspectProbeFailed(send.backend, /*refused=*/true, now);
    now += absl::Milliseconds(250);
  }
  BOOST_TEST(dispatcher.suspects().Judge(kRequest, now).crashes == 0U);
  BOOST_TEST(dispatcher.suspects().Judge(kRequest, now).open == 1U);
  dispatcher.OnPathEvent(send.backend, PathEvent::kConnected, now);
  BOOST_TEST(dispatcher.suspects().empty());
}

// Guards against crashes that are taken for a cut path: a control connection tells them apart.
BOOST_AUTO_TEST_CASE(loss_counts_once_the_path_around_it_is_shown_to_be_open) {
  constexpr quarantine::Fingerprint kRequest{1, 2};
  IncomingRequest request{"id", "h.example", "/books/1", {}, now, now + absl::Seconds(2)};
  request.identity = kRequest;
  dispatcher.Start(request, now);
  const auto send = Only<SendDecision>();
  Sent(send);
  Fail(send, AttemptFailure::kLost);
  now += absl::Milliseconds(10);
  const std::string other = send.backend == "k-3" ? "k-2" : "k-3";
  dispatcher.OnPathEvent(other, PathEvent::kConnected, now);
  for (int i = 0; i < 2; ++i) {
    dispatcher.OnSuspectProbeFailed(send.backend, /*refused=*/true, now);
    now += quarantine::CrashSuspects::kBetweenProbes;
  }
  BOOST_TEST(dispatcher.suspects().Judge(kRequest, now).crashes == 1U);
}

BOOST_AUTO_TEST_CASE(node_without_a_path_carries_nothing_for_others) {
  BOOST_TEST((dispatcher.MayCarry({"c-1", {}}, now) == CarryPermission::kGranted));
  BOOST_TEST((dispatcher.MayCarry({"unknown", {}}, now) == CarryPermission::kDeclined));
  Cut("cards");
  BOOST_TEST((dispatcher.MayCarry({"c-1", {}}, now) == CarryPermission::kNoPath));
  Drain("k-1", absl::Seconds(10));
  BOOST_TEST((dispatcher.MayCarry({"k-1", {}}, now) == CarryPermission::kDeclined));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
