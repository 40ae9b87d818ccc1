// A group forms from nothing, serves, and never forms twice.
#include <boost/test/unit_test.hpp>

#include "cluster.h"

namespace ladderstream::authority {
namespace {

BOOST_AUTO_TEST_SUITE(founding)

BOOST_AUTO_TEST_CASE(three_nodes_found_a_group_and_assign_all_shards) {
  Cluster cluster;
  for (const char* zone : {"rennes", "brest", "vannes"}) {
    cluster.StartNode(zone);
    cluster.AddBackend("scripts", zone);
  }
  cluster.Configure({KeyedService("scripts", 16)});
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Seconds(5)));
  cluster.Run(absl::Seconds(2));
  BOOST_TEST(cluster.AllServed());
  BOOST_TEST(cluster.two_owners == 0);
  for (SimulatedNode& node : cluster.nodes) {
    const RoutingState routing = node.authority->routing_state(cluster.now());
    BOOST_TEST(routing.configuration.revision.value() == 1U);
    BOOST_TEST(routing.assignments.size() == 16U);
    BOOST_TEST(routing.homes.size() == 3U);
    BOOST_TEST((routing.confirmed_until > cluster.now()));
    BOOST_TEST(node.authority->status(cluster.now()).members.voters.size() == 3U);
  }
  // Nobody is given everything because it came first.
  BOOST_TEST(cluster.ServedBy(0).size() < 16U);
}

BOOST_AUTO_TEST_CASE(a_lone_node_founds_a_group) {
  Cluster cluster;
  cluster.StartNode("rennes");
  cluster.AddBackend("scripts", "rennes");
  cluster.Configure({KeyedService("scripts", 4)});
  BOOST_TEST(cluster.RunUntil([&] { return cluster.AllServed(); }, absl::Seconds(5)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::authority
