// A fleet of hollow nodes founds its groups, serves, and counts what it sends.
#include "hollow/hollow_fleet.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace ladderstream::hollow {
namespace {

FleetOptions SmallFleet() {
  FleetOptions options;
  options.topology.nodes = 24;
  options.topology.regions = 2;
  options.topology.zones = 6;
  options.topology.group_size = 6;
  options.ranges_per_group = 32;
  return options;
}

constexpr Duration kWarmUp = absl::Seconds(8);

bool AllWhole(HollowFleet& fleet) {
  for (uint32_t group = 0; group < fleet.topology().groups.size(); ++group) {
    if (!fleet.IsServed(group) || !fleet.IsRouted(group)) {
      return false;
    }
  }
  return true;
}

BOOST_AUTO_TEST_SUITE(Fleet)

BOOST_AUTO_TEST_CASE(GroupsLieInOneRegionAndSeveralZones) {
  const Topology topology = LayOut(SmallFleet().topology);
  BOOST_TEST(topology.groups.size() == 4U);
  for (const std::vector<size_t>& group : topology.groups) {
    std::set<int> zones;
    for (const size_t node : group) {
      zones.insert(topology.places[node].zone);
      BOOST_TEST(topology.places[node].region == topology.places[group.front()].region);
    }
    BOOST_TEST(zones.size() == 3U);
  }
}

BOOST_AUTO_TEST_CASE(EveryGroupServesAndRoutesItsKeys) {
  HollowFleet fleet(SmallFleet());
  BOOST_TEST(!AllWhole(fleet));
  fleet.Run(kWarmUp);
  BOOST_TEST(AllWhole(fleet));
}

BOOST_AUTO_TEST_CASE(ALostOwnersKeysAreServedAgainWithinTwoSeconds) {
  HollowFleet fleet(SmallFleet());
  fleet.Run(kWarmUp);
  fleet.KillBackend(0);
  fleet.Run(absl::Milliseconds(800));
  BOOST_TEST(!AllWhole(fleet));
  fleet.Run(absl::Milliseconds(1200));
  BOOST_TEST(AllWhole(fleet));
}

BOOST_AUTO_TEST_CASE(ALostZoneLeavesTheOthersServing) {
  HollowFleet fleet(SmallFleet());
  fleet.Run(kWarmUp);
  fleet.KillNodes([](const Place& place) { return place.zone == 0; });
  fleet.Run(absl::Seconds(2));
  BOOST_TEST(AllWhole(fleet));
}

BOOST_AUTO_TEST_CASE(AChangeOfConfigurationReachesEveryNode) {
  HollowFleet fleet(SmallFleet());
  fleet.Run(kWarmUp);
  BOOST_TEST(fleet.ConfigurationIsInForce());
  fleet.ChangeConfiguration();
  BOOST_TEST(!fleet.ConfigurationIsInForce());
  fleet.Run(absl::Seconds(5));
  BOOST_TEST(fleet.ConfigurationIsInForce());
}

BOOST_AUTO_TEST_CASE(RegionsCutFromTheStoreGoOnServing) {
  HollowFleet fleet(SmallFleet());
  fleet.Run(kWarmUp);
  fleet.CutRegions(true);
  fleet.Run(absl::Seconds(10));
  BOOST_TEST(AllWhole(fleet));
  fleet.ChangeConfiguration();
  fleet.Run(absl::Seconds(5));
  BOOST_TEST(!fleet.ConfigurationIsInForce());
  fleet.CutRegions(false);
  fleet.Run(absl::Seconds(5));
  BOOST_TEST(fleet.ConfigurationIsInForce());
}

BOOST_AUTO_TEST_CASE(CountsEveryByteAtBothEnds) {
  HollowFleet fleet(SmallFleet());
  fleet.Run(kWarmUp);
  fleet.ResetTraffic();
  fleet.Run(absl::Seconds(2));
  uint64_t sent = 0;
  uint64_t received = 0;
  for (const HollowNode& node : fleet.nodes()) {
    BOOST_TEST(node.traffic.PeerBytesSent() > 0U);
    BOOST_TEST(node.traffic.lease_requests > 0U);
    sent += node.traffic.PeerBytesSent();
    received += node.traffic.PeerBytesReceived();
  }
  // Nothing is lost; only what is under way at the ends may differ.
  BOOST_TEST(static_cast<double>(received) == static_cast<double>(sent),
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::hollow
