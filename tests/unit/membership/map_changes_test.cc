// Changes between ownership maps lead from one to the other, and to nothing else.
#include "core/ownership/map_changes.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <random>

#include "core/ownership/assignments.h"

namespace ladderstream::ownership {
namespace {

constexpr int kRounds = 200;
constexpr int kOwners = 5;

OwnershipMap RandomSuccessor(const OwnershipMap& map, std::mt19937_64* random) {
  OwnershipMap next = map;
  ++next.version.sequence;
  Assignments& assignments = next.services["boards"].assignments;
  if (assignments.empty()) {
    assignments = Unowned();
  }
  const Key first = (*random)() % (kLastKey + 1);
  const Key last = first + (*random)() % (kLastKey + 1 - first);
  const std::string owner = absl::StrCat("b", (*random)() % kOwners);
  AssignRange({first, last}, owner, next.version.sequence, &assignments);
  next.services["boards"].moving = {{first, last}};
  return next;
}

BOOST_AUTO_TEST_SUITE(map_changes)

BOOST_AUTO_TEST_CASE(ChangesOfAnyLengthLeadToTheNewerMap) {
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

BOOST_AUTO_TEST_CASE(ChangesOfAnotherMapAreNotApplied) {
  std::mt19937_64 random(7);
  const OwnershipMap first = RandomSuccessor({{1, 1}, {}}, &random);
  const OwnershipMap second = RandomSuccessor(first, &random);
  BOOST_TEST(!ApplyChanges(RandomSuccessor(second, &random), ChangesBetween(first, second)));
}

BOOST_AUTO_TEST_CASE(AServiceThatGoesIsRemoved) {
  std::mt19937_64 random(7);
  const OwnershipMap with = RandomSuccessor({{1, 1}, {}}, &random);
  OwnershipMap without = with;
  without.services.clear();
  ++without.version.sequence;
  const auto reached = ApplyChanges(with, ChangesBetween(with, without));
  BOOST_REQUIRE(reached.has_value());
  BOOST_TEST(reached->services.empty());
}

BOOST_AUTO_TEST_CASE(OneMovedRangeCostsFewAssignments) {
  std::mt19937_64 random(7);
  OwnershipMap map{{1, 1}, {}};
  for (int round = 0; round < kRounds; ++round) {
    map = RandomSuccessor(map, &random);
  }
  OwnershipMap next = map;
  ++next.version.sequence;
  AssignRange({100, 200}, "b9", 9999, &next.services["boards"].assignments);
  BOOST_TEST(ChangesBetween(map, next).services.at("boards").assignments.size() <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
