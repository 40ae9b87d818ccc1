#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "service_fixture.h"

namespace ladderstream::partition {
namespace {

constexpr uint32_t kBackends = 8;
constexpr double kAllKeys = ownership::kLastKey + 1;

double Highest(const std::map<std::string, double>& loads) {
  double highest = 0;
  for (const auto& [id, load] : loads) {
    highest = std::max(highest, load);
  }
  return highest;
}

BOOST_AUTO_TEST_CASE(TheFirstPartitionFollowsCapacity) {
  Partitioner partitioner({});
  const std::vector<ProposedMove> moves =
      partitioner.Initial({{"a", "", 1, true, true, {}},
                           {"b", "", 3, true, true, {}},
                           {"c", "", 2, true, true, absl::Seconds(3)},
                           {"d", "", 2, false, true, {}},
                           {"e", "", 2, true, false, {}}});
  Key next = 0;
  std::map<std::string, double> keys;
  for (const ProposedMove& move : moves) {
    BOOST_TEST(move.range.first == next);
    next = move.range.last + 1;
    keys[move.to] += move.range.Size();
  }
  BOOST_TEST(next == ownership::kLastKey + 1);
  BOOST_TEST(keys.size() == 3);
  BOOST_TEST(keys["b"] > 2.5 * keys["a"]);
  BOOST_TEST(keys["c"] < 1.3 * keys["a"]);
}

BOOST_AUTO_TEST_CASE(WithoutBackendsNobodyOwnsTheFirstPartition) {
  const std::vector<ProposedMove> moves = Partitioner({}).Initial({{"a", "", 1, false, true, {}}});
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST((moves[0].range == KeyRange{0, ownership::kLastKey}));
  BOOST_TEST(moves[0].to.empty());
}

BOOST_AUTO_TEST_CASE(AllKeysOfThoseThatMayNotKeepThemMoveAtOnce) {
  PartitionWeights weights;
  weights.max_moves = 1;
  ServiceFixture service(kBackends, weights);
  service.backends[2].keeps = false;
  const std::string gone = service.backends[5].id;
  service.backends.erase(service.backends.begin() + 5);
  service.Assign({40, 90}, "");
  const std::string draining = service.backends[2].id;
  service.Step();
  for (const ownership::Assignment& assignment : service.assignments) {
    BOOST_TEST(assignment.owner != gone);
    BOOST_TEST(assignment.owner != draining);
    BOOST_TEST(!assignment.owner.empty());
  }
}

BOOST_AUTO_TEST_CASE(EvacuationIsProposedAgainUntilItIsCarriedOut) {
  ServiceFixture service(kBackends);
  service.backends[2].keeps = false;
  const auto once =
      service.partitioner.Propose(service.assignments, {}, service.backends, service.now);
  const auto again =
      service.partitioner.Propose(service.assignments, {}, service.backends, service.now);
  BOOST_TEST(!once.empty());
  BOOST_TEST(KeysOf(again) == KeysOf(once));
}

BOOST_AUTO_TEST_CASE(KeysOnTheMoveAreLeftAlone) {
  ServiceFixture service(kBackends);
  service.backends[0].keeps = false;
  service.busy = {{100, 199}};
  service.Step();
  BOOST_TEST(service.OwnerOf(99) != service.backends[0].id);
  BOOST_TEST(service.OwnerOf(100) == service.backends[0].id);
  BOOST_TEST(service.OwnerOf(199) == service.backends[0].id);
  BOOST_TEST(service.OwnerOf(200) != service.backends[0].id);
}

BOOST_AUTO_TEST_CASE(NoMoveSpansTwoOwners) {
  ServiceFixture service(kBackends);
  service.backends.erase(service.backends.begin() + 3, service.backends.begin() + 5);
  BOOST_TEST(service.Step().size() >= 2);
}

BOOST_AUTO_TEST_CASE(NothingMovesWhenNobodyAccepts) {
  ServiceFixture service(2);
  for (PartitionBackend& backend : service.backends) {
    backend.accepts = false;
  }
  service.backends[0].keeps = false;
  BOOST_TEST(service.Step().empty());
}

BOOST_AUTO_TEST_CASE(ABackendThatDoesNotAcceptKeepsItsKeys) {
  ServiceFixture service(kBackends);
  service.Run(Even(120), absl::Seconds(6));
  service.backends[3].accepts = false;
  service.slowness[service.backends[3].id] = 5;
  BOOST_TEST(service.Run(Even(120), absl::Seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(TheLoadOfALostBackendIsShared) {
  ServiceFixture service(kBackends);
  const std::vector<Flow> flows = Even(160);
  service.Run(flows, absl::Seconds(6));
  service.backends.erase(service.backends.begin() + 1);
  service.Step();
  BOOST_TEST(Highest(service.Loads(flows)) < 1.35 * 160 / (kBackends - 1));
}

BOOST_AUTO_TEST_CASE(KeysWithoutLoadGoToANeighbourInOnePiece) {
  ServiceFixture service(kBackends);
  service.Run({{{0, 100}, 20}}, absl::Seconds(3));
  const std::string lost = service.backends[6].id;
  service.backends.erase(service.backends.begin() + 6);
  const std::vector<ProposedMove> moves = service.Step();
  BOOST_REQUIRE(moves.size() == 1);
  BOOST_TEST(KeysOf(moves) > kAllKeys / kBackends / 2);
  const bool left = moves[0].to == service.backends[5].id;
  const bool right = moves[0].to == service.backends[6].id;
  BOOST_TEST((left || right));
}

}  // namespace
}  // namespace ladderstream::partition
