// What a node allows itself after it heard late that a back end leaves.
//
// A node whose own call to the store had failed within 3 s took each registration that went for one
// that had lapsed by mistake, and sent requests there for 1.5 s more, counted from hearing: it
// heard that a back end was gone at 12.74 s ("belief=gone") and sent to it until 14.19 s, though
// the store had answered again and all other nodes had stopped. With news that are 0.6 s old that
// is beyond the 2 s that are allowed.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr Duration kLate = absl::Milliseconds(1500);
constexpr Duration kLeft = absl::Milliseconds(500);

BOOST_FIXTURE_TEST_SUITE(late_news, DispatcherHarness)

BOOST_AUTO_TEST_CASE(an_owner_gets_no_longer_than_since_it_left) {
  AddBackends("scripts", {"s-1", "s-2"});
  Own("s-1");
  Drain("s-1", kLate);
  Advance(kLeft);
  Start("/scripts/1", absl::Seconds(2), 7);
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(an_owner_in_an_evacuated_zone_gets_no_longer_than_since_the_evacuation) {
  AddBackends("scripts", {"s-1", "s-2"});
  Own("s-1");
  backends.front().evacuated = true;
  dispatcher.ChangeBackends(registered.Replace(backends), {false, now - absl::Seconds(4)}, now);
  Advance(absl::Seconds(1));
  Start("/scripts/1", absl::Seconds(2), 7);
  BOOST_TEST(All<SendDecision>().empty());
}

BOOST_AUTO_TEST_CASE(one_registration_that_goes_late_is_no_lapse) {
  AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"});
  RemoveBackend("c-1", /*store_troubled=*/true, kLate);
  Advance(kLeft);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend != "c-1");
  }
}

BOOST_AUTO_TEST_CASE(many_that_go_at_once_while_the_store_is_troubled_may_have_lapsed) {
  AddBackends("cards", {"c-1", "c-2"});
  backends.clear();
  dispatcher.ChangeBackends(registered.Replace(backends), {true, now - absl::Seconds(6)}, now);
  Advance(absl::Seconds(1));
  BOOST_TEST(!StartAndSend("/cards/1").backend.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
