// The connections between nodes are cut, fall silent, or are slow. The store and the back ends stay
// within reach, so that nodes which hear nothing of one another could both act.
#include <boost/test/unit_test.hpp>

#include "rig.h"

namespace ladderstream::fleet {
namespace {

// Longer than a lease, the confirmation of a map and a hold.
constexpr Duration kCutTime = absl::Seconds(6);

void RunFor(Rig& rig, Duration length) {
  const Time end = EventLoop::Now() + length;
  rig.Await("the end of the fault", [&] { return EventLoop::Now() > end; });
}

/// Everything is as it was: nodes ready, keys held, calls served.
void CheckRecovered(Rig& rig) {
  rig.Await("the nodes", [&] {
    return rig.fleet().nodes().ready_count() == rig.nodes().count() && rig.fleet().AllKeysHeld();
  });
  rig.Serve(300);
}

BOOST_AUTO_TEST_SUITE(network)

BOOST_AUTO_TEST_CASE(coordinator_is_cut_off_from_the_others) {
  Rig rig(PeerLinks::kProxied);
  const size_t coordinator = rig.Coordinator();
  rig.fleet().Disturb();
  rig.SetPeerFaults(coordinator, {.cut = true});
  RunFor(rig, kCutTime);
  BOOST_TEST(rig.fleet().AllKeysHeld());
  rig.SetPeerFaults({});
  CheckRecovered(rig);
  rig.Finish(0.6);
}

BOOST_AUTO_TEST_CASE(nodes_are_cut_off_from_one_another) {
  Rig rig(PeerLinks::kProxied);
  rig.fleet().Disturb();
  rig.SetPeerFaults({.cut = true});
  RunFor(rig, kCutTime);
  rig.SetPeerFaults({});
  CheckRecovered(rig);
  rig.Finish(0.3);
}

// Bytes get lost and nothing says so.
BOOST_AUTO_TEST_CASE(connections_to_the_coordinator_fall_silent) {
  Rig rig(PeerLinks::kProxied);
  const size_t coordinator = rig.Coordinator();
  rig.fleet().Disturb();
  rig.SetPeerFaults(coordinator, {.half_open = true});
  RunFor(rig, kCutTime);
  rig.SetPeerFaults({});
  CheckRecovered(rig);
  rig.Finish(0.5);
}

BOOST_AUTO_TEST_CASE(network_is_slow_and_an_owner_falls_silent) {
  Rig rig(PeerLinks::kProxied);
  rig.fleet().Disturb();
  rig.SetPeerFaults({.delay = absl::Milliseconds(150)});
  Backend& owner = rig.OwnerOfHotKey();
  owner.Freeze();
  rig.Await("a new owner", [&] {
    const Backend* now = rig.fleet().OwnerOf(kScripts, kHotKey);
    return now != nullptr && now != &owner;
  });
  owner.Thaw();
  rig.SetPeerFaults({});
  CheckRecovered(rig);
  rig.Finish(0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
