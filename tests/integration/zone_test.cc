// A zone loses the others.
#include <boost/test/unit_test.hpp>

#include "support/load.h"

namespace ladderstream::integration {
namespace {

BOOST_AUTO_TEST_SUITE(zone)

BOOST_AUTO_TEST_CASE(cut_zone_of_the_leader) {
  Cluster cluster;
  const std::string leader = cluster.WaitForLeader();
  const std::string zone = cluster.node(leader).zone;
  std::vector<std::string> outside;
  for (const BackendPlace& place : cluster.backends()) {
    if (place.service == kScripts && place.zone != zone) {
      outside.push_back(place.id);
    }
  }
  // Callers go on using the nodes of all zones.
  Load load(cluster);
  load.AwaitAnswers(100);
  cluster.CutZone(zone);
  cluster.Avoid(leader);
  BOOST_TEST(cluster.WaitForLeader() != leader);
  cluster.WaitUntilOwnedBy(outside);
  load.AwaitAnswers(200);
  cluster.Heal();
  cluster.WaitUntilReady(cluster.node(leader));
  cluster.StopAvoiding(leader);
  load.AwaitAnswers(300);
  CheckClean(load.StopAndJudge());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::integration
