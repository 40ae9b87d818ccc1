// Faults come together.
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/load.h"

namespace ladderstream::integration {
namespace {

BOOST_AUTO_TEST_SUITE(two_faults)

BOOST_AUTO_TEST_CASE(frozen_leader_and_killed_owner_with_lost_store_answers) {
  Cluster cluster;
  const std::string leader = cluster.WaitForLeader();
  Load load(cluster);
  load.AwaitAnswers(100);
  cluster.SetStore({{"lose_answers", 1000}, {"delay_ms", 300}});
  cluster.processes().Signal(leader, SIGSTOP);
  cluster.processes().Kill("scripts-1");
  cluster.Avoid(leader);
  cluster.WaitUntilOwnedBy(cluster.ScriptBackends("scripts-1"));
  load.AwaitAnswers(100);
  cluster.processes().Signal(leader, SIGCONT);
  cluster.StopAvoiding(leader);
  load.AwaitAnswers(300);
  CheckClean(load.StopAndJudge());
}

BOOST_AUTO_TEST_CASE(frozen_owner_and_cut_zone) {
  Cluster cluster;
  const std::string leader = cluster.WaitForLeader();
  const std::string zone = cluster.node(leader).zone;
  std::string victim;
  std::string survivor;
  for (const BackendPlace& place : cluster.backends()) {
    if (place.service == kScripts && place.zone != zone) {
      (victim.empty() ? victim : survivor) = place.id;
    }
  }
  Load load(cluster);
  load.AwaitAnswers(100);
  cluster.processes().Signal(victim, SIGSTOP);
  cluster.CutZone(zone);
  cluster.Avoid(leader);
  cluster.WaitUntilOwnedBy({survivor});
  load.AwaitAnswers(100);
  cluster.processes().Signal(victim, SIGCONT);
  cluster.Heal();
  cluster.StopAvoiding(leader);
  load.AwaitAnswers(300);
  CheckClean(load.StopAndJudge());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::integration
