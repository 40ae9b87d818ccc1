// The metadata store is down, loses answers, does writes late, forgets, or shuts a node out.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "rig.h"

namespace ladderstream::fleet {
namespace {

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(store_is_down_for_a_while) {
  Rig rig;
  rig.fleet().Disturb();
  rig.fleet().store().SetFaults({.outage = StoreOutage::kSilent});
  const Time down = EventLoop::Now();
  rig.Await("the end of the outage", [&] { return EventLoop::Now() - down > absl::Seconds(4); });
  rig.fleet().store().Heal();
  rig.Serve(300);
  rig.Await("all keys to be held", [&] { return rig.fleet().AllKeysHeld(); });
  rig.Serve(100);
  rig.Finish(0.6);
}

// Without a configuration a node refuses, and never says that a route does not exist.
BOOST_AUTO_TEST_CASE(nodes_start_while_the_store_is_down) {
  Rig rig;
  rig.fleet().Disturb();
  rig.fleet().store().SetFaults({.outage = StoreOutage::kUnavailable});
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    rig.nodes().Kill(node);
  }
  for (size_t node = 0; node < rig.nodes().count(); ++node) {
    rig.nodes().Restart(node);
  }
  const size_t before = rig.fleet().history().attempts.size();
  rig.Await("refusals", [&] {
    const auto& attempts = rig.fleet().history().attempts;
    return std::count_if(attempts.begin() + static_cast<std::ptrdiff_t>(before), attempts.end(),
                         [](const Attempt& attempt) { return attempt.status == 503; }) > 50;
  });
  rig.fleet().store().Heal();
  rig.Serve(200);
  rig.Await("all keys to be held", [&] { return rig.fleet().AllKeysHeld(); });
  rig.Finish(0.2);
}

BOOST_AUTO_TEST_CASE(answers_are_lost_and_writes_come_late) {
  Rig rig;
  rig.fleet().Disturb();
  rig.fleet().store().SetFaults(
      {.lost_answers = 0.3, .late_writes = 0.2, .late_by = absl::Seconds(2)});
  Backend& owner = rig.OwnerOfHotKey();
  owner.Crash();
  rig.AwaitKeysLeave(owner);
  rig.Serve(300);
  rig.fleet().store().Heal();
  rig.Await("all keys to be held", [&] { return rig.fleet().AllKeysHeld(); });
  rig.Serve(200);
  rig.Finish(0.5);
}

BOOST_AUTO_TEST_CASE(store_turns_the_coordinator_away) {
  Rig rig;
  const size_t coordinator = rig.Coordinator();
  rig.fleet().Disturb();
  rig.fleet().store().SetFaultsAt(coordinator, {.outage = StoreOutage::kUnavailable});
  rig.AwaitCoordinatorOtherThan(coordinator);
  rig.Serve(400);
  BOOST_TEST(rig.fleet().AllKeysHeld());
  rig.Finish(0.9);
}

// A new version is in force everywhere in time, also when its history was forgotten.
BOOST_AUTO_TEST_CASE(configuration_changes) {
  Rig rig;
  rig.fleet().store().ForgetHistory();
  catalog::Configuration next = rig.fleet().operators().newest();
  catalog::Route& cards = next.routes.back();
  cards.targets = {{.service = kBookings, .weight = 1}};
  BOOST_REQUIRE(rig.fleet().operators().Write(next));
  const Time written = EventLoop::Now();
  const Duration apply = rig.fleet().settings().bounds.config_apply;
  rig.Await("the old version to be out of force",
            [&] { return EventLoop::Now() > written + apply; });
  rig.Serve(200);
  rig.Finish(0.97);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
