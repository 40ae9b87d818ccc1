// A whole fleet keeps to what a cold back end bears, whatever happens to its members meanwhile.
#include <boost/test/unit_test.hpp>

#include "bench/cold_start_model.h"

namespace ladderstream::bench {
namespace {

constexpr uint32_t kNodes[] = {1, 11, 74, 295, 1200};
constexpr ColdEvent kEvents[] = {ColdEvent::kCalm,       ColdEvent::kAllStart,
                                 ColdEvent::kHalfJoin,   ColdEvent::kHalfVanish,
                                 ColdEvent::kHalfCutOff, ColdEvent::kChurn};

ColdStart Make(uint32_t nodes, ColdEvent event, uint64_t seed) {
  ColdStart start;
  start.nodes = nodes;
  start.event = event;
  start.seed = seed;
  return start;
}

BOOST_AUTO_TEST_SUITE(cold_start)

void CheckBound(uint32_t nodes) {
  for (const ColdEvent event : kEvents) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      const ColdStart start = Make(nodes, event, seed);
      const double bound = start.rate * start.overshoot + start.slack;
      BOOST_TEST(PlayColdStart(start).most_in_a_second <= bound,
                 nodes << " nodes, event " << static_cast<int>(event) << ", seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(no_second_has_more_than_the_bound) {
  for (const uint32_t nodes : kNodes) {
    CheckBound(nodes);
  }
}

BOOST_AUTO_TEST_CASE(most_of_what_it_bears_is_used_in_calm) {
  for (const uint32_t nodes : kNodes) {
    // A single node is one of three senders, and leaves the others' shares unused.
    const double least = nodes < allowance::ColdSenders::kSenders ? 0.3 : 0.7;
    BOOST_TEST(PlayColdStart(Make(nodes, ColdEvent::kCalm, 3)).used_share > least,
               nodes << " nodes");
  }
}

// The bound must come from the policy: without it the fleet goes far beyond.
BOOST_AUTO_TEST_CASE(nodes_that_do_not_share_go_beyond_the_bound) {
  ColdStart start = Make(74, ColdEvent::kCalm, 1);
  start.policy = ColdPolicy::kEachAlone;
  BOOST_TEST(PlayColdStart(start).most_in_a_second > 100U);
  start = Make(74, ColdEvent::kAllStart, 1);
  start.policy = ColdPolicy::kEqualShare;
  BOOST_TEST(PlayColdStart(start).most_in_a_second > 15U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::bench
