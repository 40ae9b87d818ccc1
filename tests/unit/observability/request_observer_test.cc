#include "observability/request_observer.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "observability/belief_log.h"
#include "test_log.h"

namespace ladderstream::observability {
namespace {

constexpr char kId[] = "9c41d07be2a35f68";

forwarding::AttemptAnswer Answered(int status, bool not_executed) {
  forwarding::AttemptAnswer answer;
  answer.status = status;
  answer.not_executed = not_executed;
  return answer;
}

struct ObserverTest {
  ObserverTest() { beliefs.OnMapConfirmed(test.clock.now); }

  void Pass(int milliseconds) { test.clock.now += absl::Milliseconds(milliseconds); }

  void Start(const std::string& id = kId) {
    observer.OnRequestStarted(id, "scripts");
    forwarding::IncomingRequest request;
    request.request_id = id;
    request.host = "scripts.example";
    request.target = "/step/7";
    request.key = 4711;
    request.deadline = test.clock.now + absl::Milliseconds(800);
    observer.OnRequestDescribed(request);
  }

  void Decide(const std::string& backend, forwarding::SendCause cause) {
    forwarding::SendDecision send;
    send.backend = backend;
    send.address = {"10.0.1.7", 8080};
    send.cause = cause;
    send.answer_by = test.clock.now + absl::Milliseconds(500);
    observer.OnAttemptDecided(kId, send);
  }

  void Finish(int status, ResultCode code, const std::string& id = kId) {
    gateway::AnsweredRequest answered;
    answered.request_id = id;
    answered.route = "scripts";
    answered.status = status;
    answered.code = code;
    answered.reason = code == ResultCode::kOk ? "" : "the retry budget is spent";
    observer.OnAnswered(answered);
  }

  std::vector<std::string> TakeNames() {
    std::vector<std::string> names;
    for (const explain::LogLine& event : test.TakeEvents()) {
      names.push_back(event.event);
    }
    return names;
  }

  TestLog test;
  NodeMetrics metrics;
  BeliefLog beliefs{&test.log, &metrics};
  RequestObserver observer{&test.log, &metrics, &beliefs.in_force()};
};

using Names = std::vector<std::string>;

BOOST_FIXTURE_TEST_SUITE(request_observer, ObserverTest)

BOOST_AUTO_TEST_CASE(an_answered_request_costs_one_line) {
  Start();
  Decide("b-1", forwarding::SendCause::kFirst);
  observer.OnAttemptSent(kId, "b-1");
  observer.OnAttemptAnswered(kId, "b-1", Answered(200, false), absl::Milliseconds(60));
  Finish(200, ResultCode::kOk);
  BOOST_TEST(TakeNames() == Names({"request_answered"}), boost::test_tools::per_element());
  BOOST_TEST(observer.traces() == 0U);
}

BOOST_AUTO_TEST_CASE(a_failed_request_gets_all_its_lines_in_order) {
  Start();
  Pass(1);
  Decide("b-1", forwarding::SendCause::kFirst);
  observer.OnAttemptFailed(kId, "b-1", forwarding::AttemptFailure::kConnectRefused, "refused");
  Pass(1);
  Decide("b-2", forwarding::SendCause::kAfterConnectFailure);
  observer.OnAttemptSent(kId, "b-2");
  Pass(50);
  observer.OnAttemptFailed(kId, "b-2", forwarding::AttemptFailure::kLost, "reset by peer");
  Pass(1);
  Finish(502, ResultCode::kConnectionLost);
  const std::vector<explain::LogLine> events = test.TakeEvents();
  BOOST_TEST_REQUIRE(events.size() == 6U);
  BOOST_TEST(events[0].event == "request_received");
  BOOST_TEST(events[0].Field("key") == "4711");
  BOOST_TEST(events[0].Field("deadline_ms") == "800.0");
  BOOST_TEST(events[2].event == "attempt_failed");
  BOOST_TEST(events[2].Field("sent") == "0");
  BOOST_TEST(events[3].event == "request_sent_again");
  BOOST_TEST(events[3].Field("send_cause") == "connect_failure");
  BOOST_TEST(events[4].Field("failure") == "lost");
  BOOST_TEST(events[4].Field("sent") == "1");
  BOOST_TEST(events[4].Field("elapsed_ms") == "50.0");
  BOOST_TEST(events[5].event == "outcome_unknown");
  BOOST_TEST(events[5].Field("code") == "CONNECTION_LOST");
  BOOST_TEST(events[5].up - events[0].up == 0.053, boost::test_tools::tolerance(1e-6));
  for (const explain::LogLine& event : events) {
    BOOST_TEST(event.Field("request") == kId);
  }
}

BOOST_AUTO_TEST_CASE(a_back_ends_own_failure_gets_all_lines) {
  Start();
  Decide("b-1", forwarding::SendCause::kFirst);
  observer.OnAttemptAnswered(kId, "b-1", Answered(500, false), absl::Milliseconds(60));
  Finish(500, ResultCode::kOk);
  BOOST_TEST(TakeNames() == Names({"request_received", "request_sent", "attempt_answered",
                                   "request_answered"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(what_a_back_end_asks_for_with_its_refusal_is_told) {
  Start();
  Decide("b-1", forwarding::SendCause::kFirst);
  forwarding::AttemptAnswer answer = Answered(503, true);
  answer.backoff = absl::Seconds(3);
  answer.leaving = true;
  answer.limit.rate = 3.4;
  observer.OnAttemptAnswered(kId, "b-1", answer, absl::Milliseconds(1));
  Finish(503, ResultCode::kBackendShed);
  const std::vector<explain::LogLine> events = test.TakeEvents();
  BOOST_TEST_REQUIRE(events.size() == 4U);
  BOOST_TEST(events[2].event == "attempt_answered");
  BOOST_TEST(events[2].Field("rest_ms") == "3000.0");
  BOOST_TEST(events[2].Field("leaving") == "1");
  BOOST_TEST(events[2].Field("limit_per_s") == "3.4");
}

BOOST_AUTO_TEST_CASE(what_runs_on_when_the_caller_leaves_is_told) {
  Start();
  Decide("b-1", forwarding::SendCause::kFirst);
  Pass(1);
  Decide("b-2", forwarding::SendCause::kHedge);
  Pass(1);
  observer.OnAttemptCancelled(kId, "b-2");
  Pass(1);
  observer.OnCallerGone(kId, absl::Milliseconds(400));
  BOOST_TEST(TakeNames() == Names({"request_received", "request_sent", "request_hedged",
                                   "attempt_cancelled", "attempt_left_behind", "caller_gone"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(attempts_whose_begin_was_not_told_are_kept) {
  observer.OnRequestStarted(kId, "scripts");
  observer.OnAttemptSent(kId, "b-1");
  observer.OnAttemptFailed(kId, "b-1", forwarding::AttemptFailure::kTimedOut, "");
  Finish(504, ResultCode::kTimedOut);
  BOOST_TEST(TakeNames() ==
                 Names({"request_received", "request_sent", "attempt_failed", "outcome_unknown"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(many_attempts_are_bounded) {
  Start();
  constexpr int kAttempts = 1000;
  for (int i = 0; i < kAttempts; ++i) {
    Decide(absl::StrCat("b-", i), forwarding::SendCause::kAfterRefusal);
    observer.OnAttemptAnswered(kId, absl::StrCat("b-", i), Answered(503, true),
                               absl::ZeroDuration());
  }
  Finish(503, ResultCode::kBackendShed);
  const std::vector<explain::LogLine> events = test.TakeEvents();
  BOOST_TEST_REQUIRE(events.size() == 2 * RequestTrace::kMostAttempts + 3);
  const explain::LogLine& left_out = events[events.size() - 2];
  BOOST_TEST(left_out.event == "steps_left_out");
  BOOST_TEST(left_out.Field("count") == absl::StrCat(kAttempts - RequestTrace::kMostAttempts));
  // The last attempt is always told.
  BOOST_TEST(events[events.size() - 3].Field("backend") == absl::StrCat("b-", kAttempts - 1));
  BOOST_TEST(events[events.size() - 3].Field("attempt") == absl::StrCat(kAttempts));
}

BOOST_AUTO_TEST_CASE(the_number_of_traces_is_bounded) {
  constexpr size_t kRequests = RequestObserver::kMostTraces + 100;
  for (size_t i = 0; i < kRequests; ++i) {
    Start(absl::StrCat("id-", i));
  }
  BOOST_TEST(observer.traces() == RequestObserver::kMostTraces);
  // A request that is not followed still gets its last line.
  Finish(503, ResultCode::kOverloaded, absl::StrCat("id-", kRequests - 1));
  BOOST_TEST(TakeNames() == Names({"request_refused"}), boost::test_tools::per_element());
  for (size_t i = 0; i < kRequests; ++i) {
    Finish(200, ResultCode::kOk, absl::StrCat("id-", i));
  }
  BOOST_TEST(observer.traces() == 0U);
}

/// The fields that a line has are those that the list allows for its event.
BOOST_AUTO_TEST_CASE(every_line_keeps_to_the_list) {
  catalog::Configuration configuration;
  configuration.version = 12;
  catalog::Route route;
  route.name = "scripts";
  route.targets.push_back({"pupitre"});
  configuration.routes.push_back(route);
  beliefs.OnConfiguration(configuration, {absl::ZeroDuration(), absl::ZeroDuration(), "store"});
  beliefs.OnConfigurationRejected("r13", "routes[0]: no service");
  beliefs.OnConfigurationAge({absl::Seconds(4), absl::Seconds(4), "store"});
  beliefs.OnConfigurationAge({absl::Seconds(5), absl::Seconds(5), "store"});
  beliefs.OnConfigurationAge({absl::Seconds(1), absl::ZeroDuration(), "coordinator"});
  ownership::OwnershipMap map;
  map.version = {3, 17};
  beliefs.OnMap(map, absl::ZeroDuration(), "brest-1");
  catalog::Backend backend;
  backend.id = "b-1";
  backend.service = "pupitre";
  beliefs.OnBackends({{backend}, {}}, 99, absl::ZeroDuration(), "store");
  beliefs.OnEvacuations({"rennes-a"}, 99, "store");
  beliefs.OnRowNotUnderstood("b-1", {"/slots: want a whole number"});
  beliefs.OnAnswerNotUnderstood({"10.0.1.2", 7000},
                                "want at most 65536 bytes of a head, found more");
  beliefs.OnBackendBelief({"b-1", "ejected", "5 failures"});
  beliefs.OnCoordinatorBelief({"lease_acquired", "epoch 3"});
  beliefs.OnStoreReached(99, test.clock.now);
  beliefs.OnStoreMissed("no answer", test.clock.now);
  beliefs.OnStoreMissed("no answer", test.clock.now);
  beliefs.OnStoreReached(100, test.clock.now);
  beliefs.OnWatchesRestarted(7, 8);
  beliefs.OnStoreCalls({{"read", 3}, {"watch", 1}});
  beliefs.OnPeerLost("brest-1", {"10.0.1.2", 7000}, "brest", "no answer", absl::Seconds(2));
  beliefs.OnPeerRegained("brest-1", {"10.0.1.2", 7000}, "brest", absl::Seconds(3));
  beliefs.OnStarted("0.1.0", {"10.0.1.1", 8000}, "rennes");
  beliefs.OnReady(true, "");
  beliefs.OnReady(true, "");
  beliefs.OnReady(false, "no configuration");
  beliefs.OnStopping("SIGTERM", 3);
  beliefs.OnStopped("SIGTERM", 0, absl::Seconds(1));
  beliefs.OnResumed(absl::Seconds(5));
  beliefs.OnSettingsReloaded("SIGHUP", "log.level");
  beliefs.OnSettingsRejected("SIGHUP", "unknown setting");
  observer.OnMalformed(ResultCode::kMalformedRequest, "no host");
  observer.OnCarriedRequestFailed(kId, "b-1", "no_path", "declined", absl::ZeroDuration());
  Start();
  Decide("b-1", forwarding::SendCause::kFirst);
  observer.OnAttemptAnswered(kId, "b-1", Answered(503, true), absl::ZeroDuration());
  Decide("b-2", forwarding::SendCause::kAfterRefusal);
  observer.OnAttemptFailed(kId, "b-2", forwarding::AttemptFailure::kLost, "reset");
  Finish(502, ResultCode::kConnectionLost);
  Start();
  Finish(200, ResultCode::kOk);
  Start();
  Finish(503, ResultCode::kNoOwner);
  Start();
  Decide("b-1", forwarding::SendCause::kFirst);
  observer.OnAttemptCancelled(kId, "b-1");
  Decide("b-1", forwarding::SendCause::kHedge);
  observer.OnCallerGone(kId, absl::Milliseconds(1));

  std::set<std::string> seen;
  for (const explain::LogLine& event : test.TakeEvents()) {
    seen.insert(event.event);
    for (size_t i = 0; i < kEventCount; ++i) {
      const EventDescription& description = Describe(static_cast<EventName>(i));
      if (description.name != event.event) {
        continue;
      }
      for (const auto& [key, value] : event.fields) {
        bool allowed = false;
        for (size_t field = 0; field < kFieldCount; ++field) {
          const auto name = static_cast<FieldName>(field);
          allowed = allowed || (NameOf(name) == key && description.fields.Has(name));
        }
        BOOST_TEST(allowed, event.event << " has " << key);
      }
    }
  }
  // All but lines_omitted and steps_left_out, which tests of their own show.
  BOOST_TEST(seen.size() == kEventCount - 2);
}

/// 901 back ends at 295 nodes once made 139,000 lines of a day's 860,000 at the nodes' starts
/// alone.
BOOST_AUTO_TEST_CASE(registrations_that_change_together_share_lines) {
  std::vector<forwarding::BackendStateChange> changes = {{"b-1", "ejected", "5 failures"},
                                                         {"b-2", "gone", "its registration went"}};
  for (int i = 100; i < 200; ++i) {
    changes.push_back({absl::StrCat("b-", i), "registered", "cards at 10.0.1.7:8080, ready"});
  }
  beliefs.OnBackendBeliefs(changes);
  const std::vector<explain::LogLine> events = test.TakeEvents();
  BOOST_REQUIRE(events.size() == 6);
  BOOST_TEST(events[0].Field("belief") == "registered");
  BOOST_TEST(absl::StartsWith(events[0].Field("detail"), "100 back ends: b-100 b-101 "));
  BOOST_TEST(absl::EndsWith(events[3].Field("detail"), " b-163"));
  BOOST_TEST(events[4].Field("backend") == "b-1");
  BOOST_TEST(events[5].Field("backend") == "b-2");
}

/// Five times the load that nodes see on a calm day, of which every request fails with two
/// attempts.
BOOST_AUTO_TEST_CASE(a_flood_of_failures_stays_within_its_volume) {
  constexpr int kSeconds = 20;
  constexpr int kRequestsPerSecond = 5 * 50;
  constexpr size_t kLongestLine = 1024;
  size_t lines = 0;
  size_t bytes = 0;
  for (int i = 0; i < kSeconds * kRequestsPerSecond; ++i) {
    Start();
    for (const char* backend : {"b-1", "b-2"}) {
      Decide(backend, forwarding::SendCause::kFirst);
      observer.OnAttemptFailed(kId, backend, forwarding::AttemptFailure::kTimedOut,
                               std::string(10000, 'x'));
    }
    Finish(504, ResultCode::kTimedOut);
    test.clock.now += absl::Seconds(1) / kRequestsPerSecond;
    test.log.OnTick(test.clock.now);
    for (const std::string& line : test.TakeLines()) {
      ++lines;
      bytes += line.size();
    }
  }
  const auto index = static_cast<size_t>(EventKind::kFailedRequest);
  const KindBudget& budget = EventBudget::Default().at(index);
  const auto most = static_cast<size_t>(budget.burst + budget.lines_per_second * kSeconds);
  // And one line a second that tells what was left out.
  BOOST_TEST(lines <= most + kSeconds);
  BOOST_TEST(lines >= most * 9 / 10);
  BOOST_TEST(bytes <= lines * kLongestLine);
  BOOST_TEST(test.log.budget().TotalOmitted(EventKind::kFailedRequest, OmissionCause::kBudget) >
             0U);
}

BOOST_AUTO_TEST_CASE(what_is_not_kept_costs_no_line) {
  SetUpLogging(Severity::kError);
  Start();
  Finish(200, ResultCode::kOk);
  Start();
  Finish(503, ResultCode::kNoOwner);
  SetUpLogging(Severity::kInfo);
  BOOST_TEST(test.TakeLines().empty());
  BOOST_TEST(observer.traces() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::observability
