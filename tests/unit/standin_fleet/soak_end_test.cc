// The end of a run: nothing is judged before its answer, or its end, is due.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "standin/fleet/configuration_prober.h"
#include "standin/fleet/deployments.h"
#include "standin/fleet/fleet.h"
#include "standin/fleet/http_server.h"
#include "standin/fleet/report.h"
#include "standin/fleet/route_swaps.h"

namespace ladderstream::fleet {
namespace {

constexpr size_t kNodes = 8;
constexpr int kUnavailable = 503;

FleetSettings WithProbeRoutes() {
  FleetSettings settings = SmallDeployment().fleet;
  AddSwappedRoutes(&settings.configuration);
  return settings;
}

/// Probes, and a server in the place of every node that answers each one after the same time.
struct Probed {
  explicit Probed(Duration answer_after)
      : fleet(WithProbeRoutes()),
        server(&fleet.loop(), {"127.0.0.1", 0},
               [this, answer_after](const ExchangePtr& exchange) {
                 if (answer_after < absl::InfiniteDuration()) {
                   fleet.loop().After(answer_after, [exchange] {
                     Answer answer;
                     answer.status = kUnavailable;
                     exchange->Respond(answer);
                   });
                 }
               }),
        prober(&fleet, /*seed=*/1, std::make_shared<RouteSwaps>()) {
    const NodeAddress address = {.front = server.endpoint(), .readiness = server.endpoint()};
    fleet.nodes().SetNodes(std::vector<NodeAddress>(kNodes, address));
    prober.Start();
  }

  Verdict JudgedAfter(Duration length) {
    fleet.loop().RunFor(length);
    prober.Finish();
    fleet.FinishCalls();
    BOOST_TEST(CountUnfinished(fleet.history()) == 0U);
    return fleet.Judge();
  }

  Fleet fleet;
  HttpServer server;
  ConfigurationProber prober;
};

BOOST_AUTO_TEST_SUITE(soak_end)

// Guards against probes that were sent last and are judged as held before they are answered.
BOOST_AUTO_TEST_CASE(probes_answered_in_time_after_the_end_are_not_held) {
  Probed probed(absl::Milliseconds(200));
  const Verdict verdict = probed.JudgedAfter(absl::Milliseconds(1100));
  BOOST_TEST(probed.fleet.history().attempts.size() >= kNodes);
  BOOST_TEST(verdict.past_timeout.count == 0U, VerdictTable(verdict));
}

// Guards against an end of the run that hides nodes which hold requests.
BOOST_AUTO_TEST_CASE(probes_that_nodes_hold_until_the_end_are_seen) {
  Probed probed(absl::InfiniteDuration());
  BOOST_TEST(probed.JudgedAfter(absl::Milliseconds(1100)).past_timeout.count >= kNodes);
}

// Guards against a run of a back end that is judged as going on while it ends with its caller.
BOOST_AUTO_TEST_CASE(work_that_ends_soon_after_its_caller_left_is_not_lingering) {
  constexpr int kCalls = 6;
  Fleet fleet(SmallDeployment().fleet);
  const RequestClass cards = SmallDeployment().load.back();
  for (int call = 0; call < kCalls; ++call) {
    Attempt& attempt = fleet.history().attempts.emplace_back();
    attempt.request_id = std::to_string(call);
    attempt.host = cards.host;
    attempt.target = cards.path_prefix + attempt.request_id;
    attempt.sent = attempt.ended = EventLoop::Now();
    attempt.end = CallEnd::kAbandoned;
    attempt.deadline = cards.deadline;
    attempt.digest = DigestOf("GET", attempt.target, "");
    Arrival& arrival = fleet.history().arrivals.emplace_back();
    arrival.request_id = attempt.request_id;
    arrival.service = "cards";
    arrival.digest = attempt.digest;
    arrival.at = arrival.begun = attempt.sent;
    arrival.announced = attempt.deadline;
    fleet.loop().After(absl::Milliseconds(100), [&arrival] { arrival.ended = EventLoop::Now(); });
  }
  fleet.FinishCalls();
  const Verdict verdict = fleet.Judge();
  BOOST_TEST(verdict.lingering.count == 0U, VerdictTable(verdict));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
