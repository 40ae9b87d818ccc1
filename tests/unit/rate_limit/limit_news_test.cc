// How soon all nodes know that a back end named a limit, and that it did away with it.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "core/allowance/told_limits.h"
#include "relay_world.h"

namespace ladderstream::membership {
namespace {

const std::string kBackend = "needy@1";
/// From then on the limit binds whoever has heard of it.
constexpr Duration kBound = absl::Seconds(3);
constexpr uint64_t kHearer = 5;

class Fleet {
 public:
  explicit Fleet(uint64_t count) : world(count, {}) {
    for (const auto& [number, node] : world.nodes) {
      tables[number];
    }
    world.on_limits = [this](uint64_t number, const auto& limits) {
      ++messages_with_limits;
      if (tables.at(number).Merge(limits, world.now)) {
        Tell(number, false);
      }
    };
    world.Run(absl::Seconds(2));
  }

  void Hear(uint64_t number, std::optional<double> rate) {
    allowance::ToldLimits& table = tables.at(number);
    table.OnAnswer(kBackend, {rate, false}, world.now, world.now);
    if (table.TakeNews()) {
      Tell(number, true);
    }
  }
  /// How long until every node but one believes this.
  Duration UntilAllKnow(std::optional<double> rate, uint64_t left_out = 0) {
    const Time start = world.now;
    const auto all = [&] {
      return std::all_of(tables.begin(), tables.end(), [&](const auto& entry) {
        return entry.first == left_out || entry.second.RateOf(kBackend) == rate;
      });
    };
    while (!all() && world.now - start < absl::Seconds(20)) {
      world.Run(World::kStep);
    }
    return world.now - start;
  }

  World world;
  std::map<uint64_t, allowance::ToldLimits> tables;
  size_t messages_with_limits = 0;

 private:
  void Tell(uint64_t number, bool own) {
    const allowance::ToldLimits& table = tables.at(number);
    world.nodes.at(number)->membership.OnLimits(table.Changed(true, world.now),
                                                table.Changed(false, world.now), own, world.now);
  }
};

BOOST_AUTO_TEST_SUITE(limit_news)

BOOST_AUTO_TEST_CASE(all_nodes_know_of_a_limit_and_of_its_end_soon) {
  for (const uint64_t count : {11U, 70U, 300U}) {
    Fleet fleet(count);
    fleet.Hear(kHearer, 3.4);
    const Duration begun = fleet.UntilAllKnow(3.4);
    fleet.world.Run(absl::Seconds(1));
    fleet.Hear(kHearer, std::nullopt);
    const Duration ended = fleet.UntilAllKnow(std::nullopt);
    BOOST_TEST_MESSAGE(count << " nodes: " << absl::FormatDuration(begun) << ", its end "
                             << absl::FormatDuration(ended));
    BOOST_TEST((begun < kBound));
    BOOST_TEST((ended < kBound));
  }
}

BOOST_AUTO_TEST_CASE(without_a_coordinator_too) {
  Fleet fleet(70);
  fleet.world.coordinator().frozen = true;
  fleet.world.Run(absl::Seconds(2));
  fleet.Hear(kHearer, 3.4);
  const Duration taken = fleet.UntilAllKnow(3.4, World::kCoordinator);
  BOOST_TEST_MESSAGE("70 nodes without a coordinator: " << absl::FormatDuration(taken));
  BOOST_TEST((taken < kBound));
}

BOOST_AUTO_TEST_CASE(what_does_not_change_is_told_for_a_while_only) {
  Fleet fleet(12);
  fleet.Hear(kHearer, 3.4);
  fleet.world.Run(2 * allowance::ToldLimits::kTellFor);
  fleet.messages_with_limits = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.Hear(kHearer, 3.4);
    fleet.world.Run(absl::Milliseconds(100));
  }
  BOOST_TEST(fleet.messages_with_limits == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::membership
