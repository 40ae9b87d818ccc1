// Tests that changes between ownership maps turn the older map into the newer one and apply to no
// other map.
#include "core/ownership/map_changes.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "core/ownership/assignment_table.h"
#include "core/ownership/assignments.h"

namespace ladderstream::ownership {
namespace {

constexpr int kRounds = 200;
constexpr int kOwners = 5;

OwnershipMap RandomSuccessor(const OwnershipMap& map, std::mt19937_64* random) {
  OwnershipMap next = map;
  ++next.version.sequence;
  Assignments& assignments = next.services["boards"].assignments;
  AssignmentTable table;
  if (!assignments.empty()) {
    table = AssignmentTable(assignments);
  }
  const Key first = (*random)() % (kLastKey + 1);
  const Key last = first + (*random)() % (kLastKey + 1 - first);
  const std::string owner = absl::StrCat("b", (*random)() % kOwners);
  table.Assign({first, last}, owner, next.version.sequence);
  assignments = table.Slice({0, kLastKey});
  next.services["boards"].moving = {{first, last}};
  return next;
}

BOOST_AUTO_TEST_SUITE(map_changes)

BOOST_AUTO_TEST_CASE(ChangesProduceTheNewerMap) {
  std::mt19937_64 random(7);
  OwnershipMap map{{1, 1}, {}};
  OwnershipMap older = map;
  for (int round = 0; round < kRounds; ++round) {
    map = RandomSuccessor(map, &random);
    const auto reached = ApplyChanges(older, ChangesBetween(older, map));
    BOOST_REQUIRE(reached.has_value());
    BOOST_TEST((reached->version == map.version));
    BOOST_TEST((reached->services == map.services));
    if (random() % 3 == 0) {
      older = map;
    }
  }
}

BOOST_AUTO_TEST_CASE(ChangesApplyToEveryIntermediateMap) {
  std::mt19937_64 random(7);
  std::vector<OwnershipMap> maps = {RandomSuccessor({{1, 1}, {}}, &random)};
  for (int round = 0; round < kRounds; ++round) {
    maps.push_back(RandomSuccessor(maps.back(), &random));
    const OwnershipMap& newest = maps.back();
    const size_t older = random() % (maps.size() - 1);
    const size_t held = older + random() % (maps.size() - 1 - older);
    const auto reached = ApplyChanges(maps[held], ChangesBetween(maps[older], newest));
    BOOST_REQUIRE(reached.has_value());
    BOOST_TEST((reached->version == newest.version));
    BOOST_TEST((reached->services == newest.services));
  }
}

BOOST_AUTO_TEST_CASE(ChangesOfAnotherMapAreNotApplied) {
  std::mt19937_64 random(7);
  const OwnershipMap first = RandomSuccessor({{1, 1}, {}}, &random);
  const OwnershipMap second = RandomSuccessor(first, &random);
  const OwnershipMap third = RandomSuccessor(second, &random);
  BOOST_TEST(!ApplyChanges(third, ChangesBetween(first, second)));
  BOOST_TEST(!ApplyChanges(first, ChangesBetween(second, third)));
}

BOOST_AUTO_TEST_CASE(ChangesOfAnotherEpochNeedTheirBase) {
  std::mt19937_64 random(7);
  const OwnershipMap first = RandomSuccessor({{1, 1}, {}}, &random);
  const OwnershipMap second = RandomSuccessor(first, &random);
  OwnershipMap successor = first;
  successor.version = {2, 1};
  BOOST_TEST(!ApplyChanges(second, ChangesBetween(first, successor)));
  BOOST_TEST(ApplyChanges(first, ChangesBetween(first, successor)).has_value());
}

BOOST_AUTO_TEST_CASE(ChangesDoNotRestoreServiceMissingFromTheCopy) {
  std::mt19937_64 random(7);
  const OwnershipMap with = RandomSuccessor({{1, 1}, {}}, &random);
  OwnershipMap without = with;
  without.services.clear();
  ++without.version.sequence;
  OwnershipMap again = with;
  again.version.sequence += 2;
  OwnershipMap changed = RandomSuccessor(with, &random);
  changed.version = again.version;
  BOOST_TEST(!ApplyChanges(without, ChangesBetween(with, again)));
  BOOST_TEST(!ApplyChanges(without, ChangesBetween(with, changed)));
}

BOOST_AUTO_TEST_CASE(ServiceOfIntermediateMapIsRemoved) {
  std::mt19937_64 random(7);
  const OwnershipMap before{{1, 1}, {}};
  const OwnershipMap between = RandomSuccessor(before, &random);
  const OwnershipMap after{{1, 3}, {}};
  const auto reached = ApplyChanges(between, ChangesBetween(before, after));
  BOOST_REQUIRE(reached.has_value());
  BOOST_TEST(reached->services.empty());
}

BOOST_AUTO_TEST_CASE(RemovedServiceIsRemoved) {
  std::mt19937_64 random(7);
  const OwnershipMap with = RandomSuccessor({{1, 1}, {}}, &random);
  OwnershipMap without = with;
  without.services.clear();
  ++without.version.sequence;
  const auto reached = ApplyChanges(with, ChangesBetween(with, without));
  BOOST_REQUIRE(reached.has_value());
  BOOST_TEST(reached->services.empty());
}

BOOST_AUTO_TEST_CASE(OneMovedRangeChangesFewAssignments) {
  std::mt19937_64 random(7);
  OwnershipMap map{{1, 1}, {}};
  for (int round = 0; round < kRounds; ++round) {
    map = RandomSuccessor(map, &random);
  }
  OwnershipMap next = map;
  ++next.version.sequence;
  AssignmentTable table(next.services["boards"].assignments);
  table.Assign({100, 200}, "b9", 9999);
  next.services["boards"].assignments = table.Slice({0, kLastKey});
  BOOST_TEST(ChangesBetween(map, next).services.at("boards").assignments.size() <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
