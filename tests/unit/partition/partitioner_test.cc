#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "service_fixture.h"

namespace ladderstream::partition {
namespace {

constexpr uint32_t kBackends = 14;
constexpr double kAllKeys = ownership::kLastKey + 1;
constexpr KeyRange kSlice{20000, 20099};
constexpr double kCalm = 130;
constexpr double kHot = 70;
constexpr Duration kSettling = absl::Seconds(12);

std::vector<Flow> WithSlice(const KeyRange& slice = kSlice) {
  return {{{0, ownership::kLastKey}, kCalm}, {slice, kHot}};
}

double Highest(const std::map<std::string, double>& loads) {
  double highest = 0;
  for (const auto& [id, load] : loads) {
    highest = std::max(highest, load);
  }
  return highest;
}

size_t CountRanges(const Assignments& assignments) {
  size_t ranges = 0;
  for (size_t i = 0; i < assignments.size(); ++i) {
    ranges += i == 0 || assignments[i].owner != assignments[i - 1].owner ? 1 : 0;
  }
  return ranges;
}

BOOST_AUTO_TEST_CASE(ChanceMovesNothing) {
  ServiceFixture service(kBackends);
  BOOST_TEST(service.Run(Even(kCalm), absl::Seconds(60)).empty());
}

BOOST_AUTO_TEST_CASE(AHotSliceIsSpreadAfterTwoReports) {
  ServiceFixture service(kBackends);
  service.Run(Even(kCalm), kSettling);
  const auto moves = service.Run(WithSlice(), 2 * ServiceFixture::kInterval);
  BOOST_TEST(TargetsOf(moves).size() >= 3);
  BOOST_TEST(KeysOf(moves) < 0.01 * kAllKeys);
  BOOST_TEST(Highest(service.Loads(WithSlice())) < kHot / 2);
}

BOOST_AUTO_TEST_CASE(NobodyStaysOverloadedByAHotSlice) {
  ServiceFixture service(kBackends);
  service.Run(Even(kCalm), kSettling);
  service.Run(WithSlice(), absl::Seconds(3));
  const double bearable = 0.8 * 2 / absl::ToDoubleSeconds(ServiceFixture::kWork);
  BOOST_TEST(Highest(service.Loads(WithSlice())) < bearable);
}

BOOST_AUTO_TEST_CASE(AnEndedSliceMovesNothingMore) {
  ServiceFixture service(kBackends);
  service.Run(Even(kCalm), kSettling);
  service.Run(WithSlice(), absl::Seconds(4));
  const auto moves = service.Run(Even(kCalm), absl::Seconds(10));
  BOOST_TEST(moves.size() <= 2);
}

BOOST_AUTO_TEST_CASE(OtherLoadLeavesTheOwnerOfAKeyThatCannotBeSplit) {
  ServiceFixture service(kBackends);
  const KeyRange key{20000, 20000};
  const std::vector<Flow> flows = {{{0, ownership::kLastKey}, kCalm}, {key, 22}};
  service.Run(Even(kCalm), kSettling);
  service.Run(flows, absl::Seconds(8));
  const std::string owner = service.OwnerOf(key.first);
  BOOST_TEST(service.Loads(flows)[owner] < 28);
}

BOOST_AUTO_TEST_CASE(AKeyThatNobodyCanServeIsNotPassedAround) {
  ServiceFixture service(kBackends);
  const KeyRange key{20000, 20000};
  service.Run(Even(kCalm), kSettling);
  service.Run({{{0, ownership::kLastKey}, kCalm}, {key, kHot}}, absl::Seconds(3));
  const auto moves =
      service.Run({{{0, ownership::kLastKey}, kCalm}, {key, kHot}}, absl::Seconds(12));
  const auto moved = std::count_if(moves.begin(), moves.end(), [&](const ProposedMove& move) {
    return move.range.Contains(key.first);
  });
  BOOST_TEST(moved <= 1);
}

BOOST_AUTO_TEST_CASE(AnEndedSliceLeavesNoTraceInTheCalmLoad) {
  ServiceFixture service(3);
  service.Run(Even(30), kSettling);
  const Assignments before = service.assignments;
  for (int i = 0; i < 15; ++i) {
    service.Report({{{0, ownership::kLastKey}, 30}, {kSlice, kHot}});
    service.partitioner.Propose(before, {{0, ownership::kLastKey}}, service.backends, service.now);
  }
  for (int i = 0; i < 8; ++i) {
    service.Report(Even(30));
    service.partitioner.Propose(before, {{0, ownership::kLastKey}}, service.backends, service.now);
  }
  BOOST_TEST(service.Step().empty());
}

BOOST_AUTO_TEST_CASE(AStandingImbalanceIsMended) {
  ServiceFixture service(kBackends);
  const std::vector<Flow> flows = {{{0, 4000}, 120}, {{4001, ownership::kLastKey}, 60}};
  service.Run(flows, kSettling);
  BOOST_TEST(Highest(service.Loads(flows)) < 1.6 * 180 / kBackends);
}

BOOST_AUTO_TEST_CASE(ASlowBackendGivesLoadAway) {
  ServiceFixture service(kBackends);
  const std::vector<Flow> flows = Even(190);
  service.Run(flows, kSettling);
  const std::string slow = service.backends[4].id;
  const double before = service.Loads(flows)[slow];
  service.slowness[slow] = 4;
  service.Run(flows, absl::Seconds(8));
  BOOST_TEST(service.Loads(flows)[slow] < before / 2);
}

BOOST_AUTO_TEST_CASE(ABackendWithALimitGivesItsKeysAwayAsFarAsOthersHaveRoom) {
  ServiceFixture service(kBackends);
  const std::vector<Flow> flows = Even(190);
  service.Run(flows, kSettling);
  PartitionBackend& needy = service.backends[4];
  needy.rate_limit = service.Loads(flows)[needy.id] / 3;
  service.Run(flows, absl::Seconds(8));
  BOOST_TEST(service.Loads(flows)[needy.id] < *needy.rate_limit);
  BOOST_TEST(service.Loads(flows)[needy.id] > 0);
}

// Whoever has the keys then, as much is refused.
BOOST_AUTO_TEST_CASE(LimitsThatLeaveNoRoomForWhatIsAskedMoveNothing) {
  ServiceFixture service(kBackends);
  const std::vector<Flow> flows = Even(190);
  service.Run(flows, kSettling);
  for (PartitionBackend& backend : service.backends) {
    backend.rate_limit = 190.0 / kBackends / 4;
  }
  BOOST_TEST(KeysOf(service.Run(flows, absl::Seconds(8))) < 0.05);
}

BOOST_AUTO_TEST_CASE(AFreshBackendTakesLoadFromTheBusiest) {
  ServiceFixture service(kBackends);
  const std::vector<Flow> flows = Even(340);
  service.Run(flows, kSettling);
  const double before = Highest(service.Loads(flows));
  service.backends.push_back({"b99", "", 2, true, true, absl::Seconds(3)});
  service.Run(flows, absl::Seconds(3));
  const double cold = service.Loads(flows)["b99"];
  BOOST_TEST(cold > 0);
  BOOST_TEST(cold < 0.8 * before);
  service.backends.back().cold_left = absl::ZeroDuration();
  service.Run(flows, absl::Seconds(20));
  BOOST_TEST(service.Loads(flows)["b99"] >= cold);
}

BOOST_AUTO_TEST_CASE(KeysThatJustMovedStay) {
  ServiceFixture service(kBackends);
  service.Run(Even(kCalm), kSettling);
  const auto moves = service.Run(WithSlice(), 2 * ServiceFixture::kInterval);
  BOOST_REQUIRE(!moves.empty());
  service.slowness[moves.back().to] = 20;
  for (int i = 0; i < 3; ++i) {
    service.Report(WithSlice());
  }
  for (const ProposedMove& move : service.Step()) {
    for (const ProposedMove& before : moves) {
      BOOST_TEST((move.range.last < before.range.first || before.range.last < move.range.first));
    }
  }
}

BOOST_AUTO_TEST_CASE(LoadOnTheMoveCountsForItsNextOwner) {
  ServiceFixture service(kBackends);
  service.Run(Even(kCalm), kSettling);
  service.Report(WithSlice());
  service.Report(WithSlice());
  const Assignments before = service.assignments;
  const auto moves = service.Step();
  BOOST_REQUIRE(!moves.empty());
  service.assignments = before;
  for (const ProposedMove& move : moves) {
    service.busy.push_back(move.range);
  }
  service.Report(WithSlice());
  BOOST_TEST(KeysOf(service.Step()) < 0.005 * kAllKeys);
}

BOOST_AUTO_TEST_CASE(NeverMoreMovesThanAllowed) {
  PartitionWeights weights;
  weights.max_moves = 3;
  ServiceFixture service(kBackends, weights);
  service.Run(Even(kCalm), kSettling);
  service.Report(WithSlice());
  service.Report(WithSlice());
  BOOST_TEST(service.Step().size() == 3);
}

BOOST_AUTO_TEST_CASE(RangesStayFewHoweverManySlicesCome) {
  ServiceFixture service(kBackends);
  service.Run(Even(kCalm), kSettling);
  size_t most = 0;
  for (const Duration length : {absl::Seconds(3), absl::Milliseconds(1200)}) {
    for (Key i = 0; i < 30; ++i) {
      const Key first = 1500 + i * 2111;
      service.Run(WithSlice({first, first + 99}), length);
      most = std::max(most, CountRanges(service.assignments));
    }
    BOOST_TEST(most > 2 * kBackends);
    BOOST_TEST(most <= 6 * kBackends);
    BOOST_TEST(Highest(service.Loads(WithSlice({62719, 62818}))) < kHot / 2);
  }
  service.Run(Even(kCalm), absl::Seconds(20));
  BOOST_TEST(CountRanges(service.assignments) <= 3 * kBackends);
}

/// With as many ranges as there may be, an imbalance is still mended by moving whole ones.
BOOST_AUTO_TEST_CASE(WholeRangesMoveWhenThereMayBeNoMoreRanges) {
  constexpr uint32_t kFew = 4;
  constexpr uint32_t kMost = 6 * kFew;
  ServiceFixture service(kFew);
  std::vector<Flow> flows;
  const Key size = (ownership::kLastKey + 1) / kMost;
  for (uint32_t i = 0; i < kMost; ++i) {
    const Key last = i + 1 == kMost ? ownership::kLastKey : (i + 1) * size - 1;
    service.Assign({i * size, last}, service.backends[i % kFew].id);
    flows.push_back({{i * size, last}, i % kFew == 0 ? 12.0 : 1.0});
  }
  const double before = Highest(service.Loads(flows));
  service.Run(flows, kSettling);
  BOOST_TEST(Highest(service.Loads(flows)) < before / 2);
  BOOST_TEST(CountRanges(service.assignments) <= kMost);
}

BOOST_AUTO_TEST_CASE(DearChurnKeepsColdKeysButNotHotOnes) {
  PartitionWeights weights;
  weights.churn_weight = 200;
  ServiceFixture dear(kBackends, weights);
  ServiceFixture cheap(kBackends);
  const std::vector<Flow> cold = {{{0, ownership::kLastKey / 2}, 240}};
  BOOST_TEST(KeysOf(cheap.Run(cold, absl::Seconds(3))) > 0.05 * kAllKeys);
  BOOST_TEST(KeysOf(dear.Run(cold, absl::Seconds(3))) < 0.01 * kAllKeys);
  ServiceFixture hot(kBackends, weights);
  hot.Run(Even(kCalm), kSettling);
  BOOST_TEST(TargetsOf(hot.Run(WithSlice(), absl::Seconds(1))).size() >= 3);
}

BOOST_AUTO_TEST_CASE(WithoutServiceTimesHotSlicesStillSpreadAndChanceMovesNothing) {
  ServiceFixture service(kBackends);
  service.tells_service_times = false;
  BOOST_TEST(service.Run(Even(kCalm), absl::Seconds(30)).empty());
  BOOST_TEST(TargetsOf(service.Run(WithSlice(), absl::Seconds(1))).size() >= 2);
}

BOOST_AUTO_TEST_CASE(TheSameInputsGiveTheSameMoves) {
  const auto run = [] {
    ServiceFixture service(kBackends);
    service.Run(Even(kCalm), kSettling);
    service.Run(WithSlice(), absl::Seconds(4));
    service.backends.erase(service.backends.begin());
    service.Run(Even(kCalm), absl::Seconds(4));
    return service.assignments;
  };
  BOOST_TEST((run() == run()));
}

}  // namespace
}  // namespace ladderstream::partition
