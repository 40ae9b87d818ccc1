// Operators race one another, and drain a back end under load.
#include <boost/test/unit_test.hpp>
#include <thread>

#include "standin/support/boot_time.h"
#include "support/load.h"

namespace ladderstream::integration {
namespace {

constexpr absl::Duration kNoNewWorkAfter = absl::Seconds(3);

BOOST_AUTO_TEST_SUITE(operators)

BOOST_AUTO_TEST_CASE(racing_changes_have_one_winner) {
  Cluster cluster;
  constexpr int kRounds = 5;
  for (int round = 0; round < kRounds; ++round) {
    const v1::GetConfigurationResponse before = cluster.operators().Configuration();
    std::vector<ChangeOutcome> outcomes(cluster.nodes().size());
    std::vector<std::thread> racers;
    for (size_t i = 0; i < outcomes.size(); ++i) {
      racers.emplace_back([&, i] {
        v1::UpdateServiceRequest request;
        *request.mutable_header() = ExpectRevision(before.revision());
        *request.mutable_service() = before.services(0);
        request.mutable_service()->mutable_limits()->set_max_queue(100 * round + i + 1);
        outcomes[i] = cluster.operators(cluster.nodes()[i].name).UpdateService(request);
      });
    }
    for (std::thread& racer : racers) {
      racer.join();
    }
    int winners = 0;
    for (const ChangeOutcome& outcome : outcomes) {
      winners += outcome.Accepted() ? 1 : 0;
      BOOST_TEST((outcome.Accepted() || outcome.code == ResultCode::kRevisionConflict),
                 outcome.message);
    }
    BOOST_TEST(winners == 1);
    Await("the winner to be in force", [&] {
      return cluster.operators().Status().revision_in_force() == before.revision() + 1;
    });
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
