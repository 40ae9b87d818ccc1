// The platform's table service is down, slow, or loses an answer after the write took effect.
#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/load.h"

namespace ladderstream::integration {
namespace {

constexpr absl::Duration kInForceWithin = absl::Seconds(5);

// A change of the keyed service that can be told by its limit.
v1::UpdateServiceRequest ChangedQueueLimit(Cluster& cluster, uint32_t limit) {
  v1::UpdateServiceRequest request;
  *request.mutable_header() = AnyRevision();
  const v1::GetConfigurationResponse configuration = cluster.operators().Configuration();
  for (const v1::Service& service : configuration.services()) {
    if (service.name() == kScripts) {
      *request.mutable_service() = service;
    }
  }
  request.mutable_service()->mutable_limits()->set_max_queue(limit);
  return request;
}

BOOST_AUTO_TEST_SUITE(store)

BOOST_AUTO_TEST_CASE(owner_and_leader_killed_during_outage) {
  Cluster cluster;
  Load load(cluster);
  load.AwaitAnswers(100);
  cluster.SetStore({{"down", true}});
  cluster.processes().Kill("scripts-1");
  cluster.WaitUntilOwnedBy(cluster.ScriptBackends("scripts-1"));
  load.AwaitAnswers(200);
  cluster.processes().Kill(cluster.WaitForLeader());
  cluster.WaitForLeader();
  load.AwaitAnswers(300);
  CheckClean(load.StopAndJudge());
}

BOOST_AUTO_TEST_CASE(lost_answer_to_a_change_is_resolved) {
  Cluster cluster;
  const uint64_t before = cluster.operators().Status().revision_in_force();
  const v1::UpdateServiceRequest request = ChangedQueueLimit(cluster, 33);
  cluster.SetStore({{"lose_answers", 1}});
  ChangeOutcome outcome = cluster.operators().UpdateService(request);
  Await("the change to be decided", [&] {
    if (outcome.code == ResultCode::kChangePending) {
      outcome = cluster.operators().UpdateService(request);
    }
    return outcome.code != ResultCode::kChangePending;
  });
  BOOST_TEST((outcome.code == ResultCode::kOk), outcome.message);
  BOOST_TEST(outcome.revision == before + 1);
  BOOST_TEST(cluster.StoreState().at("lost") == 1);
  // Sent once more under its id, it changes nothing.
  outcome = cluster.operators().UpdateService(request);
  BOOST_TEST(outcome.Accepted());
  BOOST_TEST(outcome.revision == before + 1);
}

BOOST_AUTO_TEST_CASE(configuration_is_in_force_everywhere_and_never_reverts) {
  Cluster cluster;
  const ChangeOutcome outcome = cluster.operators().UpdateService(ChangedQueueLimit(cluster, 34));
  BOOST_REQUIRE(outcome.Accepted());
  Await(
      "the change to be in force everywhere",
      [&] {
        return std::all_of(
            cluster.nodes().begin(), cluster.nodes().end(), [&](const NodePlace& place) {
              return cluster.operators(place.name).Status().revision_in_force() == outcome.revision;
            });
      },
      kInForceWithin);
  cluster.SetStore({{"down", true}});
  const std::string node = cluster.nodes().front().name;
  cluster.processes().Kill(node);
  cluster.processes().Restart(node);
  Await("the empty node to serve again", [&] {
    const v1::GetStatusResponse status = cluster.operators(node).Status();
    // Whatever it serves by is never older.
    BOOST_REQUIRE(!status.confirmed() || status.revision_in_force() >= outcome.revision);
    return status.confirmed();
  });
  cluster.WaitUntilReady(cluster.node(node));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::integration
