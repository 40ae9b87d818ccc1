// The order of policies in cases where it is known, and what the model promises of itself.
#include "bench/forwarding_model.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::bench {
namespace {

ForwardingPlay Make(ForwardingPolicy policy, double load) {
  ForwardingPlay play;
  play.policy = policy;
  play.length = absl::Seconds(6);
  play.deployment.nodes = 8;
  play.deployment.backends = 20;
  play.deployment.load = load;
  return play;
}

double CreditOf(const ForwardingPlay& play) { return PlayForwarding(play).credit; }

BOOST_AUTO_TEST_SUITE(forwarding_model)

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_figures) {
  const ForwardingPlay play = Make(ForwardingPolicy::kInForce, 0.9);
  const ForwardingOutcome one = PlayForwarding(play);
  const ForwardingOutcome other = PlayForwarding(play);
  BOOST_TEST(one.credit == other.credit);
  BOOST_TEST(one.turned_away == other.turned_away);
  BOOST_TEST(one.callers == one.in_time + one.late + one.refused + one.failed);
}

BOOST_AUTO_TEST_CASE(told_load_beats_chance_and_knowing_all_beats_both) {
  const double random = CreditOf(Make(ForwardingPolicy::kRandom, 0.9));
  const double in_force = CreditOf(Make(ForwardingPolicy::kInForce, 0.9));
  const ForwardingOutcome best = PlayForwarding(Make(ForwardingPolicy::kAllKnowing, 0.9));
  BOOST_TEST(random + 0.02 < in_force);
  BOOST_TEST(in_force < best.credit);
  BOOST_TEST(best.credit <= best.bound);
}

BOOST_AUTO_TEST_CASE(untold_slow_back_ends_are_found_out) {
  ForwardingPlay in_force = Make(ForwardingPolicy::kInForce, 0.7);
  in_force.deployment.tells_load = false;
  in_force.deployment.slowest = 0.2;
  ForwardingPlay round_robin = in_force;
  round_robin.policy = ForwardingPolicy::kRoundRobin;
  BOOST_TEST(CreditOf(round_robin) + 0.05 < CreditOf(in_force));
}

BOOST_AUTO_TEST_CASE(a_hot_key_is_worth_no_more_than_its_owner_can_serve) {
  ForwardingPlay play = Make(ForwardingPolicy::kAllKnowing, 0.6);
  play.deployment.sharded = true;
  const double calm = CreditOf(play);
  play.deployment.hot_share = 0.4;
  BOOST_TEST(CreditOf(play) < calm - 0.05);
  play.policy = ForwardingPolicy::kInForce;
  const ForwardingOutcome in_force = PlayForwarding(play);
  BOOST_TEST(in_force.credit <= in_force.bound);
}

// A limit found from one's own answers serves more in time where each node sees the owner often.
BOOST_AUTO_TEST_CASE(limiting_an_overloaded_owner_serves_more_in_time) {
  ForwardingPlay limited = Make(ForwardingPolicy::kInForce, 1.3);
  limited.deployment.nodes = 2;
  limited.deployment.backends = 8;
  limited.deployment.sharded = true;
  ForwardingPlay open = limited;
  open.dispatcher.limit_owners = false;
  BOOST_TEST(PlayForwarding(open).in_time < PlayForwarding(limited).in_time);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::bench
