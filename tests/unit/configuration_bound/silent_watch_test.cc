// A change of the configuration reaches nodes whose open watches will never be answered.
#include <boost/test/unit_test.hpp>

#include "relay_world.h"

namespace ladderstream::membership {
namespace {

constexpr uint64_t kNodes = 12;
/// After a disturbance, bounds of time hold again after this long.
constexpr Duration kContact = absl::Seconds(3);

/// Has every node that watches send a new watch.
void Settle(World* world) {
  world->store.Put("configuration", "config");
  world->Run(absl::Seconds(1));
}

bool HoldsNew(const WorldNode& node) { return node.configuration.rows().contains("new"); }

// Guards against a coordinator that confirms copies while its own watch is dead.
BOOST_AUTO_TEST_CASE(ChangeReachesAllNodesAfterAllWatchesFellSilent) {
  World world(kNodes, {});
  Settle(&world);
  world.store.LoseWatches();
  world.store.Put("configuration", "new");
  BOOST_TEST(world.RunUntil(HoldsNew, absl::Seconds(30)) < kContact);
}

// Guards against a node that no other node reaches and that waits for a dead watch.
BOOST_AUTO_TEST_CASE(ChangeReachesIsolatedNodeAfterItsWatchFellSilent) {
  constexpr uint64_t kIsolated = 7;
  World world(kNodes, {});
  world.nodes.at(kIsolated)->isolated = true;
  world.Run(absl::Seconds(2));
  Settle(&world);
  world.store.LoseWatches();
  world.store.Put("configuration", "new");
  BOOST_TEST(world.RunUntil(HoldsNew, absl::Seconds(30)) < kContact);
}

// Guards against a node that no other node reaches and that learns of a back end that left from a
// dead watch, which it waits for much longer than for that of the configuration.
BOOST_AUTO_TEST_CASE(ChangeOfBackEndsReachesIsolatedNodeAfterItsWatchFellSilent) {
  constexpr uint64_t kIsolated = 7;
  World world(kNodes, {});
  world.nodes.at(kIsolated)->isolated = true;
  world.Run(absl::Seconds(2));
  world.store.Put("backends", "first");
  Settle(&world);
  world.store.LoseWatches();
  world.store.Put("backends", "new");
  const auto holds_new = [](const WorldNode& node) { return node.backends.rows().contains("new"); };
  BOOST_TEST(world.RunUntil(holds_new, absl::Seconds(30)) < kContact);
}

}  // namespace
}  // namespace ladderstream::membership
