// Guards against coordinator steps whose cost grows with the number of ranges. With 4,272 owners on
// half a core, each answer and each step scanned all ranges a dozen times; the coordinator was
// always busy, one step took 763 ms, and it lost its lease twice in six seconds. A profile named
// OnGrantDone, ServiceWake, MergeAdjacent and HasReadyChanges.
#include "core/ownership/range_table.h"

#include <boost/test/unit_test.hpp>

#include "core/ownership/assignments.h"

namespace ladderstream::ownership {
namespace {

const Time kStart = absl::UnixEpoch();
constexpr Key kRanges = 4096;
constexpr Key kKeysOfRange = (kLastKey + 1) / kRanges;

std::string OwnerOf(Key range) { return "b-" + std::to_string(range); }

struct LargeTable {
  LargeTable() {
    Assignments assignments;
    for (Key i = 0; i < kRanges; ++i) {
      assignments.push_back(
          {{i * kKeysOfRange, (i + 1) * kKeysOfRange - 1}, OwnerOf(i), FenceOf(1, i + 1)});
    }
    table = RangeTable(assignments, kStart);
    for (RangeState* state : table.All()) {
      state->confirmed = true;
      state->order_due = kStart + absl::Milliseconds(state->range.first);
    }
    table.MergeAdjacent();
    table.Busy();
  }
  /// Returns how many ranges were indexed again.
  template <typename Work>
  uint64_t Count(const Work& work) {
    const uint64_t before = table.indexed();
    work();
    table.Busy();
    return table.indexed() - before;
  }

  RangeTable table;
};

BOOST_FIXTURE_TEST_SUITE(range_table_test, LargeTable)

BOOST_AUTO_TEST_CASE(AStepWithoutWorkIndexesNoRange) {
  BOOST_TEST(Count([&] {
               table.MergeAdjacent();
               BOOST_TEST(table.Busy().empty());
               BOOST_TEST(table.Unconfirmed().empty());
               BOOST_TEST(table.Due(kStart - absl::Seconds(1)).empty());
             }) == 0U);
}

BOOST_AUTO_TEST_CASE(AnAnsweredOrderIndexesOnlyItsRange) {
  BOOST_TEST(Count([&] {
               for (RangeState* state : table.Overlapping({160, 175})) {
                 state->last_grant = kStart + absl::Seconds(1);
               }
               table.MergeAdjacent();
             }) <= 3U);
}

BOOST_AUTO_TEST_CASE(DueOrdersAreSortedByTime) {
  const std::vector<const RangeState*> due =
      table.Due(kStart + absl::Milliseconds(2 * kKeysOfRange));
  BOOST_REQUIRE(due.size() == 3U);
  BOOST_TEST(due[0]->range.first == 0U);
  BOOST_TEST(due[2]->range.first == 2 * kKeysOfRange);
  BOOST_TEST((table.NextDue(kStart) == kStart + absl::Milliseconds(kKeysOfRange)));
  table.At(0).order_due = kStart + absl::Hours(1);
  BOOST_TEST(table.Due(kStart).empty());
}

BOOST_AUTO_TEST_CASE(RangesInTransitionAreListedUntilTheyAreSettled) {
  table.At(100).phase = RangePhase::kReleasing;
  table.At(200).confirmed = false;
  BOOST_REQUIRE(table.Busy().size() == 1U);
  BOOST_TEST(table.Busy().front()->range.Contains(100));
  BOOST_REQUIRE(table.Unconfirmed().size() == 1U);
  BOOST_TEST(table.Unconfirmed().front()->range.Contains(200));
  table.At(100).phase = RangePhase::kOwned;
  table.At(200).confirmed = true;
  BOOST_TEST(table.Busy().empty());
  BOOST_TEST(table.Unconfirmed().empty());
}

BOOST_AUTO_TEST_CASE(RangesThatAreSplitAndMergedAreIndexedAsOne) {
  table.SplitAt(8);
  BOOST_TEST(table.size() == kRanges + 1);
  BOOST_TEST(table.At(7).range.last == 7U);
  table.At(8).moving = true;
  table.MergeAdjacent();
  BOOST_TEST(table.size() == kRanges + 1);
  table.At(8).moving = false;
  table.MergeAdjacent();
  BOOST_TEST(table.size() == kRanges);
  BOOST_TEST(table.Busy().empty());
  BOOST_TEST(table.Due(kStart).size() == 1U);
  BOOST_TEST(table.At(8).range.last == kKeysOfRange - 1);
}

BOOST_AUTO_TEST_CASE(CutAfterSplitsARangeInAnyPhase) {
  table.At(0).phase = RangePhase::kCommitting;
  table.At(0).next_fence = 7;
  table.SplitAt(8);
  BOOST_TEST(table.size() == kRanges);
  table.CutAfter(7);
  BOOST_TEST(table.size() == kRanges + 1);
  BOOST_TEST(table.At(8).next_fence == 7U);
  table.CutAfter(7);
  BOOST_TEST(table.size() == kRanges + 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
