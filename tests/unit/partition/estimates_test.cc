#include <boost/test/unit_test.hpp>

#include "core/partition/capacity.h"
#include "core/partition/hot_slices.h"
#include "core/partition/key_load_tree.h"
#include "core/partition/load_view.h"
#include "core/partition/recent_load.h"
#include "core/partition/service_times.h"
#include "service_fixture.h"

namespace ladderstream::partition {
namespace {

const Time kStart = absl::UnixEpoch();
constexpr Duration kReport = absl::Milliseconds(300);
constexpr double kTolerance = 0.01;

/// Feeds tree and recent load with the same reports.
struct Observed {
  KeyLoadTree calm{absl::Seconds(15)};
  RecentLoad recent;
  Time now = kStart;

  void Report(const std::vector<KeyCount>& counts, bool to_calm = true) {
    now += kReport;
    calm.Advance(kReport, kReport);
    recent.Add(counts, kReport, now);
    for (const KeyCount& count : counts) {
      calm.Add(count.key, to_calm ? count.count : 0);
    }
  }
};

/// One request on each of 60 keys all over the key space.
std::vector<KeyCount> Background(Key offset) {
  constexpr Key kDistance = 1000;
  std::vector<KeyCount> counts;
  for (Key key = offset; key <= ownership::kLastKey; key += kDistance) {
    counts.push_back({key, 1});
  }
  return counts;
}

void ReportCalm(Observed& observed, int reports) {
  constexpr Key kStride = 37;
  for (int i = 0; i < reports; ++i) {
    observed.Report(Background(static_cast<Key>(i) * kStride % 1000));
  }
}

BOOST_AUTO_TEST_CASE(CountsDecayAndRangesAddUp) {
  KeyLoadTree tree(absl::Seconds(10));
  tree.Add(0, 8);
  tree.Add(ownership::kLastKey, 4);
  tree.Advance(absl::Seconds(10), absl::ZeroDuration());
  tree.Add(500, 3);
  BOOST_TEST(tree.Total() == 9.0, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(tree.Count(KeyRange{0, 499}) == 4.0, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(tree.Count(KeyRange{500, 500}) == 3.0, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(tree.Count(KeyRange{501, ownership::kLastKey}) == 2.0,
             boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(RatesStayRightOverHours) {
  KeyLoadTree tree(absl::Seconds(10));
  for (int i = 0; i < 20000; ++i) {
    tree.Advance(absl::Seconds(1), absl::Seconds(1));
    tree.Add(77, 5);
  }
  BOOST_TEST(tree.Total() / tree.ObservedSeconds() == 5.0,
             boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(KeysBeyondTheLastAreIgnored) {
  KeyLoadTree tree(absl::Seconds(10));
  tree.Add(ownership::kLastKey + 1, 5);
  tree.Add(3, -1);
  BOOST_TEST(tree.Total() == 0);
}

BOOST_AUTO_TEST_CASE(OneReportShowsAHotSlice) {
  Observed observed;
  ReportCalm(observed, 60);
  std::vector<KeyCount> counts = Background(0);
  for (Key key = 30403; key < 30500; key += 6) {
    counts.push_back({key, 1});
  }
  observed.Report(counts, false);
  const auto slices = FindHotSlices(observed.recent, observed.calm, 1, observed.now);
  BOOST_REQUIRE(slices.size() == 1);
  BOOST_TEST(slices[0].range().first <= 30400);
  BOOST_TEST(slices[0].range().first > 30370);
  BOOST_TEST(slices[0].range().last >= 30499);
  BOOST_TEST(slices[0].range().last < 30530);
  BOOST_TEST(slices[0].excess() > 40);
  BOOST_TEST(slices[0].excess() < 75);
}

BOOST_AUTO_TEST_CASE(AHotKeyIsASliceOfItsOwn) {
  Observed observed;
  ReportCalm(observed, 60);
  std::vector<KeyCount> counts = Background(0);
  counts.push_back({31234, 20});
  observed.Report(counts, false);
  const auto slices = FindHotSlices(observed.recent, observed.calm, 1, observed.now);
  BOOST_REQUIRE(slices.size() == 1);
  BOOST_TEST((slices[0].range() == KeyRange{31234, 31234}));
}

BOOST_AUTO_TEST_CASE(FewCountsAreNoEvidence) {
  Observed observed;
  ReportCalm(observed, 60);
  std::vector<KeyCount> counts = Background(0);
  counts.insert(counts.end(), {{31230, 1}, {31231, 1}, {31232, 1}});
  observed.Report(counts, false);
  BOOST_TEST(FindHotSlices(observed.recent, observed.calm, 1, observed.now).empty());
  Observed busy;
  for (int i = 0; i < 60; ++i) {
    counts = Background(static_cast<Key>(i) * 37 % 1000);
    counts.push_back({31230, 1});
    busy.Report(counts);
  }
  counts.push_back({31230, 7});
  busy.Report(counts, false);
  BOOST_TEST(FindHotSlices(busy.recent, busy.calm, 1, busy.now).empty());
}

BOOST_AUTO_TEST_CASE(ABusyKeyMayTurnHotOverSeveralReports) {
  Observed observed;
  for (int i = 0; i < 64; ++i) {
    std::vector<KeyCount> counts = Background(static_cast<Key>(i) * 37 % 1000);
    counts.push_back({31230, i < 60 ? 2.0 : 8.0});
    observed.Report(counts, i < 60);
  }
  BOOST_TEST(FindHotSlices(observed.recent, observed.calm, 1, observed.now).size() == 1);
}

BOOST_AUTO_TEST_CASE(AlwaysBusyKeysAreNotHot) {
  Observed observed;
  for (int i = 0; i < 60; ++i) {
    std::vector<KeyCount> counts = Background(static_cast<Key>(i) * 37 % 1000);
    counts.push_back({31234, 20});
    observed.Report(counts);
  }
  BOOST_TEST(FindHotSlices(observed.recent, observed.calm, 1, observed.now).empty());
}

BOOST_AUTO_TEST_CASE(ASliceThatEndsLosesItsExcessAtOnce) {
  Observed observed;
  ReportCalm(observed, 60);
  for (int i = 0; i < 6; ++i) {
    std::vector<KeyCount> counts = Background(0);
    counts.push_back({31234, 20});
    observed.Report(counts, false);
  }
  ReportCalm(observed, 2);
  for (const HotSlice& slice : FindHotSlices(observed.recent, observed.calm, 1, observed.now)) {
    BOOST_TEST(slice.excess() < 10);
  }
}

BOOST_AUTO_TEST_CASE(HotSlicesDoNotRaiseTheCalmScale) {
  Observed observed;
  ReportCalm(observed, 60);
  std::vector<KeyCount> counts = Background(0);
  counts.push_back({31234, 60});
  observed.Report(counts, false);
  const auto slices = FindHotSlices(observed.recent, observed.calm, 1, observed.now);
  const double with = CalmScale(observed.recent, observed.calm, slices, observed.now);
  BOOST_TEST(with > 0.9);
  BOOST_TEST(with < 1.1);
  BOOST_TEST(CalmScale(observed.recent, observed.calm, {}, observed.now) > 1.15);
}

BOOST_AUTO_TEST_CASE(CellsCoverTheRangeAndIsolateABusyKey) {
  KeyLoadTree calm(absl::Seconds(15));
  calm.Advance(absl::Seconds(10), absl::Seconds(10));
  calm.Add(1000, 400);
  const std::vector<HotSlice> none;
  const LoadView view(calm, 1, none);
  const KeyRange range{900, 3000};
  Key next = range.first;
  double sum = 0;
  for (const Cell& cell : view.Cells(range, 1)) {
    BOOST_TEST(cell.range.first == next);
    next = cell.range.last + 1;
    sum += cell.rate;
    BOOST_TEST((cell.rate <= 1.2 || cell.range.Size() == 1));
  }
  BOOST_TEST(next == range.last + 1);
  BOOST_TEST(sum == view.Of(range).total, boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(ComfortGrowsWithSlotsAndSpeed) {
  const double typical = ComfortableLoad(2, 0.06, 0.18);
  BOOST_TEST(typical > 0.5 * 2 / 0.06);
  BOOST_TEST(typical < 0.85 * 2 / 0.06);
  BOOST_TEST(ComfortableLoad(3, 0.06, 0.18) > 1.5 * typical);
  BOOST_TEST(ComfortableLoad(2, 0.12, 0.18) < 0.5 * typical);
  BOOST_TEST(ComfortableLoad(2, 10, 0.18) > 0);
}

BOOST_AUTO_TEST_CASE(ServiceTimesAreLearnedButNotFromColdBackends) {
  ServiceTimes times;
  BOOST_TEST(!times.Known());
  times.SetColdUntil("cold", kStart + absl::Seconds(2));
  for (int i = 1; i <= 5; ++i) {
    times.Add({{"a", 10, absl::Milliseconds(600)},
               {"b", 10, absl::Milliseconds(600)},
               {"slow", 10, absl::Milliseconds(2400)},
               {"cold", 10, absl::Milliseconds(9000)}},
              kStart + i * kReport);
  }
  BOOST_TEST(times.Typical() == 0.06, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(times.Of("slow") > 0.2);
  BOOST_TEST(times.Of("cold") == 0.06, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(times.Of("unknown") == 0.06, boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(ServiceTimesOfBackendsThatTellNoLoadAreFoundBehindTheirQueues) {
  // A free back end, and one that is used so much that its answers wait four times as long as they
  // are worked on; both work 60 ms on each. Told times say one is five times slower.
  constexpr uint32_t kSlots = 4;
  BOOST_TEST(ServiceTimeBehind(kSlots, 5, 0.06) == 0.06, boost::test_tools::tolerance(0.02));
  BOOST_TEST(ServiceTimeBehind(kSlots, 63, 0.3) == 0.06, boost::test_tools::tolerance(0.1));
  // Full all the time: what it gets done tells how long it works.
  BOOST_TEST(ServiceTimeBehind(kSlots, 40, 0.45) == 0.1, boost::test_tools::tolerance(0.05));
  BOOST_TEST(ServiceTimeBehind(kSlots, 0, 0.06) == 0.06, boost::test_tools::tolerance(0.02));

  ServiceTimes times;
  times.Keep({{"busy", "", kSlots}, {"free", "", kSlots}, {"usual", "", kSlots}});
  for (int i = 1; i <= 40; ++i) {
    const Time now = kStart + i * absl::Milliseconds(400);
    times.Add({{"busy", 13, 13 * absl::Milliseconds(300), true, 0.5},
               {"free", 4, 4 * absl::Milliseconds(60), true},
               {"usual", 4, 4 * absl::Milliseconds(60), true}},
              now);
  }
  BOOST_TEST(times.Of("busy") == 0.06, boost::test_tools::tolerance(0.15));
  BOOST_TEST(times.Of("free") == 0.06, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(OldServiceTimesAreForgotten) {
  ServiceTimes times;
  const ServiceTimeSample usual_b{"b", 100, absl::Seconds(6)};
  const ServiceTimeSample usual_c{"c", 100, absl::Seconds(6)};
  times.Add({{"a", 100, absl::Seconds(30)}, usual_b, usual_c}, kStart);
  times.Add({{"a", 20, absl::Milliseconds(1200)}, usual_b, usual_c}, kStart + absl::Seconds(30));
  BOOST_TEST(times.Of("a") < 0.075);
}

}  // namespace
}  // namespace ladderstream::partition
