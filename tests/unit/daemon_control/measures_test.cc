#include <boost/test/unit_test.hpp>
#include <string>

#include "daemon/metrics/ownership_measures.h"

namespace ladderstream::metrics {
namespace {

const ServiceName kService("scripts");

authority::RoutingState OneShard(AssignmentState state, const std::string& owner) {
  Assignment assignment;
  assignment.shard = ShardId{kService, RangeIndex(1), ""};
  assignment.state = state;
  assignment.owner = BackendId(owner);
  authority::RoutingState routing;
  routing.assignments = {assignment};
  return routing;
}

Time At(int milliseconds) { return absl::UnixEpoch() + absl::Milliseconds(milliseconds); }

BOOST_AUTO_TEST_SUITE(measures_suite)

BOOST_AUTO_TEST_CASE(FirstAssignmentIsNeitherChurnNorOutage) {
  OwnershipMeasures measures;
  measures.Observe(OneShard(AssignmentState::kFree, ""), At(0));
  const OwnershipChanges changes =
      measures.Observe(OneShard(AssignmentState::kOwned, "a"), At(100));
  BOOST_TEST(changes.outages.empty());
  BOOST_TEST(changes.owner_changes.empty());
}

BOOST_AUTO_TEST_CASE(LossIsMeasuredToTheNextOwner) {
  OwnershipMeasures measures;
  measures.Observe(OneShard(AssignmentState::kOwned, "a"), At(0));
  OwnershipChanges changes = measures.Observe(OneShard(AssignmentState::kFree, ""), At(100));
  BOOST_TEST(changes.without_owner[kService] == 1U);
  measures.Observe(OneShard(AssignmentState::kFree, ""), At(200));
  changes = measures.Observe(OneShard(AssignmentState::kOwned, "b"), At(350));
  BOOST_TEST(changes.owner_changes[kService] == 1U);
  BOOST_REQUIRE(changes.outages.size() == 1U);
  BOOST_TEST((changes.outages.front().length == absl::Milliseconds(250)));
  BOOST_TEST(!changes.outages.front().planned);
  BOOST_TEST(changes.without_owner[kService] == 0U);
}

BOOST_AUTO_TEST_CASE(LostOwnerIsGoneSinceItLastAskedForItsLease) {
  const BackendIncarnation first(1);
  const BackendIncarnation restarted(2);
  OwnershipMeasures measures;
  measures.NoteLeaseRequest(BackendId("a"), first, At(0));
  measures.Observe(OneShard(AssignmentState::kOwned, "a"), At(10));
  measures.NoteLeaseRequest(BackendId("a"), first, At(400));
  // The restarted one asks before the loss of the earlier one is found.
  measures.NoteLeaseRequest(BackendId("a"), restarted, At(900));
  measures.Observe(OneShard(AssignmentState::kFree, ""), At(1000));
  const OwnershipChanges changes =
      measures.Observe(OneShard(AssignmentState::kOwned, "b"), At(1100));
  BOOST_REQUIRE(changes.outages.size() == 1U);
  BOOST_TEST((changes.outages.front().length == absl::Milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(SameOwnerAgainIsAnOutageWithoutChurn) {
  OwnershipMeasures measures;
  measures.Observe(OneShard(AssignmentState::kOwned, "a"), At(0));
  measures.Observe(OneShard(AssignmentState::kRevoking, "a"), At(10));
  const OwnershipChanges changes = measures.Observe(OneShard(AssignmentState::kOwned, "a"), At(20));
  BOOST_TEST(changes.owner_changes.empty());
  BOOST_REQUIRE(changes.outages.size() == 1U);
  BOOST_TEST(changes.outages.front().planned);
}

BOOST_AUTO_TEST_CASE(ImbalanceCountsIdleBackendsAndSumsNodes) {
  Configuration configuration;
  for (const char* const id : {"a", "b"}) {
    BackendConfiguration backend;
    backend.id = BackendId(id);
    backend.service = kService;
    configuration.backends.push_back(backend);
  }
  NodeReport first;
  first.backends = {{BackendId("a"), 10, 0, 0, 0}};
  NodeReport second;
  second.backends = {{BackendId("a"), 5, 0, 0, 0}, {BackendId("b"), 5, 0, 0, 0}};
  const auto imbalance = LoadImbalance(configuration, {first, second});
  BOOST_TEST(imbalance.at(kService) == 1.5);
  BOOST_TEST(LoadImbalance(configuration, {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::metrics
