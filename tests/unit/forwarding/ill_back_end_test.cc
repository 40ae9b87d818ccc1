// Tests the number of retries and the results for callers while some back ends fail a part of their
// requests.
#include <boost/test/unit_test.hpp>

#include "core/load/failure_evidence.h"
#include "ill_back_end_replay.h"

namespace ladderstream::forwarding {
namespace {

constexpr uint64_t kReplays = 20;

/// Returns the sums over replays with different seeds, and the mean of `share_after`.
FaultOutcome ReplayAll(FaultScenario scenario) {
  FaultOutcome sum;
  for (uint64_t seed = 1; seed <= kReplays; ++seed) {
    scenario.seed = seed;
    const FaultOutcome outcome = Replay(scenario);
    sum.requests += outcome.requests;
    sum.served += outcome.served;
    sum.refused += outcome.refused;
    sum.failed += outcome.failed;
    sum.sends += outcome.sends;
    sum.sent_again += outcome.sent_again;
    sum.sent_to_faulty += outcome.sent_to_faulty;
    sum.share_after += outcome.share_after / kReplays;
  }
  BOOST_TEST_MESSAGE("requests " << sum.requests << ", served " << sum.served << ", refused "
                                 << sum.refused << ", failed " << sum.failed << ", sent again "
                                 << sum.sent_again << ", sent to faulty ones " << sum.sent_to_faulty
                                 << ", share after " << sum.share_after);
  return sum;
}

/// Two of 14 back ends are faulty; this node sends each about two requests a second.
FaultScenario FewNodes(FaultKind fault) {
  FaultScenario scenario;
  scenario.fault = fault;
  scenario.backends = 14;
  scenario.faulty = 2;
  scenario.between_requests = absl::Milliseconds(30);
  return scenario;
}

/// Eleven of 75 back ends are faulty; this node, one of very many, sends to each every 4.5 s.
FaultScenario ManyNodes(FaultKind fault) {
  FaultScenario scenario;
  scenario.fault = fault;
  scenario.backends = 75;
  scenario.faulty = 11;
  scenario.between_requests = absl::Milliseconds(60);
  scenario.service_time = absl::Milliseconds(120);
  scenario.healthy_time = absl::Seconds(8);
  return scenario;
}

FaultScenario OneOwner(FaultKind fault) {
  FaultScenario scenario;
  scenario.service = "scripts";
  scenario.fault = fault;
  scenario.backends = 1;
  scenario.between_requests = absl::Milliseconds(100);
  return scenario;
}

BOOST_AUTO_TEST_SUITE(ill_back_end)

// If a success erased all earlier failures, there would be 286, 376 and 430 failures.
BOOST_AUTO_TEST_CASE(few_nodes_avoid_back_ends_that_fail_half_of_their_requests) {
  const FaultOutcome sheds = ReplayAll(FewNodes(FaultKind::kSheds));
  BOOST_TEST(sheds.sent_again < 100);
  BOOST_TEST(sheds.served >= sheds.requests - 5);
  const FaultOutcome resets = ReplayAll(FewNodes(FaultKind::kResets));
  BOOST_TEST(resets.sent_again < 100);
  BOOST_TEST(resets.served >= resets.requests - 5);
  BOOST_TEST(ReplayAll(FewNodes(FaultKind::kErrors)).failed < 100);
}

// If a success erased all earlier failures, there would be 196, 241 and 223 failures. The minimum
// for a node that learns only from its own requests is one failure per node and faulty back end,
// 110.
BOOST_AUTO_TEST_CASE(many_nodes_avoid_back_ends_that_fail_half_of_their_requests) {
  BOOST_TEST(ReplayAll(ManyNodes(FaultKind::kSheds)).sent_again < 160);
  BOOST_TEST(ReplayAll(ManyNodes(FaultKind::kResets)).sent_again < 160);
  BOOST_TEST(ReplayAll(ManyNodes(FaultKind::kErrors)).failed < 160);
}

BOOST_AUTO_TEST_CASE(application_errors_are_relayed_and_not_retried) {
  BOOST_TEST(ReplayAll(FewNodes(FaultKind::kErrors)).sent_again == 0);
}

BOOST_AUTO_TEST_CASE(back_ends_that_report_full_hang_or_are_slow_cause_few_retries) {
  for (const FaultKind fault : {FaultKind::kReportsFull, FaultKind::kHangs, FaultKind::kSlow}) {
    const FaultOutcome outcome = ReplayAll(FewNodes(fault));
    BOOST_TEST(outcome.sent_again < 80);
    BOOST_TEST(outcome.served >= outcome.requests - 5);
  }
}

BOOST_AUTO_TEST_CASE(recovered_back_ends_are_used_again_within_seconds) {
  const double fair = 2.0 / 14;
  for (const FaultKind fault : {FaultKind::kSheds, FaultKind::kResets, FaultKind::kErrors}) {
    BOOST_TEST(ReplayAll(FewNodes(fault)).share_after > 0.4 * fair);
  }
}

BOOST_AUTO_TEST_CASE(all_back_ends_are_used_when_all_are_faulty) {
  FaultScenario scenario = FewNodes(FaultKind::kSheds);
  scenario.faulty = scenario.backends;
  const FaultOutcome outcome = ReplayAll(scenario);
  // Half of the first attempts are served, and half of the retries that the budget allows.
  BOOST_TEST(outcome.served > 0.55 * outcome.requests);
  // The retry budget: a fifth of the requests, and a slack of 60 per replay.
  BOOST_TEST(outcome.sent_again <= 0.2 * outcome.requests + 60.0 * kReplays);
}

BOOST_AUTO_TEST_CASE(faulty_owner_with_free_slots_is_not_limited) {
  for (const FaultKind fault : {FaultKind::kSheds, FaultKind::kResets}) {
    const FaultOutcome outcome = ReplayAll(OneOwner(fault));
    // The limit for owners without free slots must hold back no request.
    BOOST_TEST(outcome.sends >= outcome.requests);
    BOOST_TEST(outcome.served > 0.75 * outcome.requests);
  }
}

BOOST_AUTO_TEST_CASE(retry_at_a_faulty_owner_is_delayed) {
  DispatcherHarness harness;
  harness.AddBackends("scripts", {"s-1"});
  harness.Own("s-1");
  const SendDecision first = harness.StartAndSend("/scripts/1", absl::Seconds(2), 77);
  harness.Sent(first);
  harness.Refuse(first, 503, 0, 1);
  BOOST_TEST(harness.HasNoDecisions());
  harness.Advance(absl::Milliseconds(100));
  BOOST_TEST((harness.Only<SendDecision>().cause == SendCause::kAfterRefusal));
}

BOOST_AUTO_TEST_CASE(failure_odds_decay) {
  const Time start = absl::FromUnixSeconds(1000);
  load::FailureEvidence evidence;
  BOOST_TEST(evidence.Odds(start) == 0);
  evidence.AddFailure(start);
  BOOST_TEST(evidence.Odds(start) == 1);
  evidence.AddSuccess(start);
  BOOST_TEST(evidence.Odds(start) == 0.5);
  BOOST_TEST(evidence.Odds(start + absl::Seconds(5)) < 0.3);
  for (int i = 0; i < 100; ++i) {
    evidence.AddFailure(start);
  }
  BOOST_TEST(evidence.Odds(start) < 6);
  for (int i = 0; i < 10; ++i) {
    evidence.AddSuccess(start);
  }
  BOOST_TEST(evidence.Odds(start) < 0.2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
