// Operators race one another, and drain a back end under load.
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "standin/support/boot_time.h"
#include "support/load.h"

namespace ladderstream::integration {
namespace {

constexpr absl::Duration kNoNewWorkAfter = absl::Seconds(3);

BOOST_AUTO_TEST_SUITE(operators)

// Starts the operators' command line against one node.
void StartRacer(Cluster& cluster, const std::string& name, const NodePlace& node,
                uint64_t expected_revision, uint64_t max_queue) {
  cluster.processes().Start(
      {name,
       absl::StrCat(LADDERSTREAM_BINARY_DIR, "/ladderstreamd_ctl"),
       {"update-service", absl::StrCat("--nodes=", FormatEndpoint(node.operators)),
        absl::StrCat("--name=", kScripts), absl::StrCat("--max_queue=", max_queue),
        absl::StrCat("--expected_revision=", expected_revision), "--output=json"}});
}

// Gives whether the racer won; checks that a loser was refused with the code of a conflict.
bool RacerWon(Cluster& cluster, const std::string& name) {
  const auto status = cluster.processes().WaitForExit(name, absl::Seconds(20));
  BOOST_REQUIRE(status.has_value());
  constexpr int kRefused = 1;
  const std::string output = cluster.processes().ReadLog(name);
  BOOST_TEST((status->code == 0 || status->code == kRefused), output);
  const bool names_conflict = absl::StrContains(
      output, std::to_string(static_cast<uint32_t>(ResultCode::kRevisionConflict)));
  BOOST_TEST((status->code == 0 || names_conflict), output);
  return status->code == 0;
}

BOOST_AUTO_TEST_CASE(racing_changes_have_one_winner) {
  Cluster cluster;
  constexpr uint64_t kRounds = 5;
  for (uint64_t round = 1; round <= kRounds; ++round) {
    const uint64_t before = cluster.operators().Status().revision_in_force();
    std::vector<std::string> racers;
    for (const NodePlace& node : cluster.nodes()) {
      racers.push_back(absl::StrCat("racer-", round, "-", node.name));
      StartRacer(cluster, racers.back(), node, before, 100 * round + racers.size());
    }
    const auto winners = std::count_if(racers.begin(), racers.end(),
                                       [&](const auto& racer) { return RacerWon(cluster, racer); });
    BOOST_TEST(winners == 1);
    Await("the winner to be in force",
          [&] { return cluster.operators().Status().revision_in_force() == before + 1; });
  }
}

BOOST_AUTO_TEST_CASE(drained_back_end_gets_no_new_work) {
  Cluster cluster({.service_time_ms = 20});
  Load load(cluster);
  load.AwaitAnswers(100);
  const std::vector<std::string> drained = {"scripts-1", "callbacks-1"};
  for (const std::string& id : drained) {
    BOOST_REQUIRE(cluster.operators().DrainBackend(id).Accepted());
  }
  const absl::Time limit = standin::BootTimeNow() + kNoNewWorkAfter;
  cluster.WaitUntilOwnedBy(cluster.ScriptBackends(drained.front()));
  Await("load beyond the limit", [&] {
    load.AwaitAnswers(50);
    return standin::BootTimeNow() > limit + absl::Seconds(1);
  });
  CheckClean(load.StopAndJudge());
  BOOST_TEST(CountUnknown(load.calls()) == 0U);
  for (const rehearsal::Execution& execution : cluster.ReadRecords().executions) {
    const bool is_drained =
        execution.backend.value() == drained[0] || execution.backend.value() == drained[1];
    BOOST_TEST((!is_drained || execution.started <= limit),
               execution.backend << " began " << execution.attempt_id << " after the limit");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::integration
