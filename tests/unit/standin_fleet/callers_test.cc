// Callers straight at back ends, without a node between: every fault of an answer is seen.
#include "standin/fleet/callers.h"

#include <boost/test/unit_test.hpp>

#include "standin/fleet/deployments.h"
#include "standin/fleet/report.h"

namespace ladderstream::fleet {
namespace {

struct Fixture {
  Fixture() : fleet(SmallDeployment().fleet) {
    std::vector<NodeAddress> addresses;
    for (const Backend* backend : fleet.backends("cards")) {
      addresses.push_back({.front = backend->address(), .readiness = backend->address()});
    }
    fleet.nodes().SetNodes(addresses);
  }

  Verdict CallWith(const BackendFaults& faults, int calls) {
    for (Backend* backend : fleet.backends("cards")) {
      backend->SetFaults(faults);
    }
    RequestClass cards = SmallDeployment().load.back();
    cards.retries = 0;
    cards.fresh_connections = false;
    for (int i = 0; i < calls; ++i) {
      fleet.callers().CallOnce(cards);
      fleet.loop().RunUntil([&] { return fleet.callers().pending() == 0; }, absl::Seconds(5));
    }
    return fleet.Judge();
  }

  Fleet fleet;
};

BOOST_FIXTURE_TEST_SUITE(callers, Fixture)

BOOST_AUTO_TEST_CASE(sound_answers_are_counted_as_served) {
  const Verdict verdict = CallWith({}, 20);
  BOOST_TEST(verdict.served == 20U);
  BOOST_TEST(verdict.IsClean(), VerdictTable(verdict));
  BOOST_TEST((verdict.p50 >= absl::Milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(surplus_answers_are_seen) {
  BOOST_TEST(CallWith({.surplus_answers = 1}, 3).wrong.count > 0U);
}

BOOST_AUTO_TEST_CASE(answers_to_other_requests_are_seen) {
  BOOST_TEST(CallWith({.late_answers = 1}, 5).wrong.count > 0U);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_answer_are_seen) {
  BOOST_TEST(CallWith({.unframed_answers = 1}, 1).wrong.count == 1U);
}

BOOST_AUTO_TEST_CASE(cut_and_lost_answers_are_not_taken_for_answers) {
  const Verdict verdict =
      CallWith({.lost_answers = 0.5, .lost_by_reset = true, .cut_answers = 1}, 10);
  BOOST_TEST(verdict.IsClean());
  BOOST_TEST(verdict.served <= 1U);
  BOOST_TEST(verdict.cut >= 9U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
