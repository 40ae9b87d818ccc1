// Admission control of an overloaded service through the dispatcher.
#include <boost/test/unit_test.hpp>
#include <deque>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kGap = absl::Milliseconds(10);
constexpr Duration kWork = absl::Milliseconds(100);
/// Faulty back ends serve one in this many requests.
constexpr uint64_t kFaultyServeOneOf = 3;

/// One request every 10 ms, each answered after 100 ms; every answer reports `waiting` queued
/// requests and two busy slots.
struct Flood : DispatcherHarness {
  Flood() { AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"}); }

  /// Returns the answers of requests that were refused immediately due to overload.
  std::vector<AnswerDecision> Run(int requests, uint32_t waiting) {
    std::vector<AnswerDecision> refused;
    for (int i = 0; i < requests; ++i) {
      Start("/cards/1");
      for (const RequestDecision& decided : dispatcher.TakeDecisions()) {
        HandleDecision(decided.decision, refused);
      }
      Advance(kGap);
      while (!in_flight.empty() && now - in_flight.front().since >= kWork) {
        const SendDecision send = in_flight.front().send;
        in_flight.pop_front();
        Answer(send, 200, 2, waiting);
      }
    }
    return refused;
  }

  void HandleDecision(const Decision& decision, std::vector<AnswerDecision>& refused) {
    if (const auto* send = std::get_if<SendDecision>(&decision)) {
      Sent(*send);
      if (++sends % kFaultyServeOneOf != 0 && faulty) {
        // The back end reports free slots and no queue.
        Refuse(*send, 503, 0, 0);
        for (const RequestDecision& decided : dispatcher.TakeDecisions()) {
          HandleDecision(decided.decision, refused);
        }
        return;
      }
      in_flight.push_back({*send, now});
    } else if (const auto* answer = std::get_if<AnswerDecision>(&decision)) {
      if (answer->reason.find("the service is overloaded") != std::string::npos) {
        refused.push_back(*answer);
      }
    }
  }

  struct InFlight {
    SendDecision send;
    Time since;
  };
  std::deque<InFlight> in_flight;
  uint64_t sends = 0;
  /// Back ends reject most requests despite free slots.
  bool faulty = false;
};

BOOST_FIXTURE_TEST_SUITE(overload, Flood)

BOOST_AUTO_TEST_CASE(long_queues_cause_immediate_refusals_with_retry_after) {
  Run(100, 0);
  const std::vector<AnswerDecision> refused = Run(100, 20);
  BOOST_TEST(refused.size() > 10U);
  for (const AnswerDecision& answer : refused) {
    BOOST_TEST(answer.status == 503);
    BOOST_TEST((answer.code == ResultCode::kOverloaded));
    // On call has no other evidence of why a request was turned away on arrival.
    BOOST_TEST(answer.reason.find("told running 2 waiting 20 ") != std::string::npos,
               answer.reason);
    BOOST_TEST((answer.retry_after >= absl::Milliseconds(20)));
    BOOST_TEST((answer.retry_after < absl::Milliseconds(200)));
  }
}

BOOST_AUTO_TEST_CASE(short_queues_cause_no_refusals) { BOOST_TEST(Run(300, 1).empty()); }

BOOST_AUTO_TEST_CASE(a_faulty_service_with_short_queues_is_not_limited) {
  Run(100, 0);
  BOOST_TEST(!Run(100, 20).empty());
  faulty = true;
  Run(200, 0);
  BOOST_TEST(Run(200, 0).empty());
}

BOOST_AUTO_TEST_CASE(a_change_of_the_admission_level_is_reported) {
  BOOST_TEST(dispatcher.MinAdmissionShare() == 1);
  Run(100, 20);
  BOOST_TEST(dispatcher.MinAdmissionShare() < 1);
  std::vector<std::string> events;
  for (const BackendStateChange& change : dispatcher.TakeStateChanges()) {
    if (change.backend == "cards") {
      events.push_back(change.event);
    }
  }
  BOOST_REQUIRE_EQUAL(events.size(), 1U);
  BOOST_TEST(events[0] == "limited");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
