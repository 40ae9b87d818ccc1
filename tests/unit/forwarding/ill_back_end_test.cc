// Back ends that fail a part of their requests while they look well: how often requests are sent
// again because of them, and what their callers get.
#include <boost/test/unit_test.hpp>

#include "core/load/failure_evidence.h"
#include "ill_back_end_replay.h"

namespace ladderstream::forwarding {
namespace {

constexpr uint64_t kReplays = 20;

/// The sum over plays of different seeds; the mean of `share_after`.
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
                                 << sum.sent_again << ", sent to ill ones " << sum.sent_to_faulty
                                 << ", share after " << sum.share_after);
  return sum;
}

/// Two of 14 back ends; this node sends to each twice a second.
FaultScenario FewNodes(FaultKind fault) {
  FaultScenario scenario;
  scenario.fault = fault;
  scenario.backends = 14;
  scenario.faulty = 2;
  scenario.between_requests = absl::Milliseconds(30);
  return scenario;
}

/// Eleven of 75 back ends, to each of which this node, one of very many, sends every 4.5 s.
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

// Before, where a success wiped out what failed: 286, 376 and 430 failures.
BOOST_AUTO_TEST_CASE(half_failing_ones_are_left_out_by_few_nodes) {
  const FaultOutcome sheds = ReplayAll(FewNodes(FaultKind::kSheds));
  BOOST_TEST(sheds.sent_again < 100);
  BOOST_TEST(sheds.served >= sheds.requests - 5);
  const FaultOutcome resets = ReplayAll(FewNodes(FaultKind::kResets));
  BOOST_TEST(resets.sent_again < 100);
  BOOST_TEST(resets.served >= resets.requests - 5);
  BOOST_TEST(ReplayAll(FewNodes(FaultKind::kErrors)).failed < 100);
}

// Before: 196, 241 and 223. One failure for each node and ill back end, 110, is the least that a
// node alone can learn from.
BOOST_AUTO_TEST_CASE(half_failing_ones_are_left_out_by_many_nodes) {
  BOOST_TEST(ReplayAll(ManyNodes(FaultKind::kSheds)).sent_again < 160);
  BOOST_TEST(ReplayAll(ManyNodes(FaultKind::kResets)).sent_again < 160);
  BOOST_TEST(ReplayAll(ManyNodes(FaultKind::kErrors)).failed < 160);
}

BOOST_AUTO_TEST_CASE(errors_are_passed_on_and_never_sent_again) {
  BOOST_TEST(ReplayAll(FewNodes(FaultKind::kErrors)).sent_again == 0);
}

BOOST_AUTO_TEST_CASE(those_that_claim_to_be_full_hang_or_are_slow_cost_few_repeats) {
  for (const FaultKind fault : {FaultKind::kReportsFull, FaultKind::kHangs, FaultKind::kSlow}) {
    const FaultOutcome outcome = ReplayAll(FewNodes(fault));
    BOOST_TEST(outcome.sent_again < 80);
    BOOST_TEST(outcome.served >= outcome.requests - 5);
  }
}

BOOST_AUTO_TEST_CASE(those_that_are_well_again_come_back_within_seconds) {
  const double fair = 2.0 / 14;
  for (const FaultKind fault : {FaultKind::kSheds, FaultKind::kResets, FaultKind::kErrors}) {
    BOOST_TEST(ReplayAll(FewNodes(fault)).share_after > 0.4 * fair);
  }
}

BOOST_AUTO_TEST_CASE(where_all_are_ill_requests_still_go_to_all_of_them) {
  FaultScenario scenario = FewNodes(FaultKind::kSheds);
  scenario.faulty = scenario.backends;
  const FaultOutcome outcome = ReplayAll(scenario);
  // Half of the first attempts, and a half of what the retry budget lets be sent again.
  BOOST_TEST(outcome.served > 0.55 * outcome.requests);
  // The budget: a fifth, and the slack of 60 of each play.
  BOOST_TEST(outcome.sent_again <= 0.2 * outcome.requests + 60.0 * kReplays);
}

BOOST_AUTO_TEST_CASE(an_ill_owner_with_room_is_sent_what_it_would_serve) {
  for (const FaultKind fault : {FaultKind::kSheds, FaultKind::kResets}) {
    const FaultOutcome outcome = ReplayAll(OneOwner(fault));
    // None is kept back by a limit that is made for owners without room.
    BOOST_TEST(outcome.sends >= outcome.requests);
    BOOST_TEST(outcome.served > 0.75 * outcome.requests);
  }
}

BOOST_AUTO_TEST_CASE(a_repeat_at_an_ill_owner_comes_after_a_pause) {
  DispatcherHarness harness;
  harness.AddBackends("scripts", {"s-1"});
  harness.Own("s-1");
  const SendDecision first = harness.StartAndSend("/scripts/1", absl::Seconds(2), 77);
  harness.Sent(first);
  harness.Refuse(first, 503, 0, 1);
  BOOST_TEST(harness.Quiet());
  harness.Advance(absl::Milliseconds(100));
  BOOST_TEST((harness.Only<SendDecision>().cause == SendCause::kAfterRefusal));
}

BOOST_AUTO_TEST_CASE(evidence_is_a_share_that_fades) {
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
