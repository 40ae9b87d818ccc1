// An owning back end is lost, or comes back believing that it still owns what it held.
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/load.h"

namespace ladderstream::integration {
namespace {

constexpr char kVictim[] = "scripts-1";
constexpr absl::Duration kServedAgainWithin = absl::Seconds(2);

BOOST_AUTO_TEST_SUITE(owner)

BOOST_AUTO_TEST_CASE(killed_owner_is_replaced) {
  Cluster cluster;
  const std::string key = cluster.KeyOwnedBy(kVictim);
  Load load(cluster, {.probed_keys = {key}});
  load.AwaitAnswers(100);
  cluster.processes().Kill(kVictim);
  cluster.WaitUntilOwnedBy(cluster.ScriptBackends(kVictim));
  load.AwaitAnswers(300);
  const rehearsal::Verdict verdict = load.StopAndJudge();
  CheckClean(verdict);
  BOOST_TEST(verdict.unavailable <= kServedAgainWithin);
}

BOOST_AUTO_TEST_CASE(frozen_owner_returns) {
  Cluster cluster({.service_time_ms = 20});
  Load load(cluster);
  load.AwaitAnswers(100);
  cluster.processes().Signal(kVictim, SIGSTOP);
  cluster.WaitUntilOwnedBy(cluster.ScriptBackends(kVictim));
  load.AwaitAnswers(100);
  cluster.processes().Signal(kVictim, SIGCONT);
  load.AwaitAnswers(300);
  CheckClean(load.StopAndJudge());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::integration
