// How soon all nodes know of a request that is held, and what a lost coordinator, a cut node and a
// fresh one change.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "core/quarantine/crash_suspects.h"
#include "relay_world.h"

namespace ladderstream::membership {
namespace {

using quarantine::CrashSuspects;
using quarantine::Fingerprint;

constexpr Fingerprint kGuilty{1, 1};
/// A request that crashed its third back end may be sent for so long by nodes that were in touch.
constexpr Duration kBound = absl::Seconds(3);

class Fleet {
 public:
  explicit Fleet(uint64_t count) : world(count, {}) {
    for (const auto& [number, node] : world.nodes) {
      tables[number];
    }
    world.on_suspects = [this](uint64_t number, const auto& suspects) { Hear(number, suspects); };
    world.Run(absl::Seconds(2));
  }

  /// A back end goes down under the request, which was sent by this node.
  void Crash(uint64_t number, const std::string& backend) {
    CrashSuspects& table = tables.at(number);
    table.OnLost(kGuilty, backend, world.now);
    table.OnRefused(backend, world.now);
    table.OnRefused(backend, world.now + CrashSuspects::kBetweenProbes);
    Tell(number, true);
  }
  bool Holds(uint64_t number) const {
    const quarantine::Judgement judgement = tables.at(number).Judge(kGuilty, world.now);
    return judgement.Held(world.now) || judgement.needs_trial;
  }
  /// How long until every node but those left out holds the request.
  Duration UntilAllHold(const std::vector<uint64_t>& left_out = {}) {
    const Time start = world.now;
    const auto all = [&] {
      return std::all_of(tables.begin(), tables.end(), [&](const auto& entry) {
        return std::find(left_out.begin(), left_out.end(), entry.first) != left_out.end() ||
               Holds(entry.first);
      });
    };
    while (!all() && world.now - start < absl::Seconds(20)) {
      world.Run(World::kStep);
    }
    return world.now - start;
  }

  World world;
  std::map<uint64_t, CrashSuspects> tables;

 private:
  void Hear(uint64_t number, const std::vector<quarantine::SuspectRecord>& suspects) {
    if (tables.at(number).Merge(suspects, world.now)) {
      Tell(number, false);
    }
  }
  void Tell(uint64_t number, bool own) {
    world.nodes.at(number)->membership.OnSuspects(tables.at(number).Shared(world.now), own,
                                                  world.now);
  }
};

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(all_nodes_hold_it_soon_after_the_third_crash_wherever_they_were_seen) {
  for (const uint64_t count : {70U, 300U}) {
    Fleet fleet(count);
    fleet.Crash(5, "b-1");
    fleet.world.Run(absl::Milliseconds(400));
    fleet.Crash(23, "b-2");
    fleet.world.Run(absl::Milliseconds(400));
    fleet.Crash(61, "b-3");
    const Duration taken = fleet.UntilAllHold();
    BOOST_TEST_MESSAGE(count << " nodes: " << absl::FormatDuration(taken));
    BOOST_TEST((taken < kBound));
  }
}

BOOST_AUTO_TEST_CASE(without_a_coordinator_too) {
  Fleet fleet(70);
  fleet.world.coordinator().frozen = true;
  fleet.world.Run(absl::Seconds(2));
  for (const uint64_t seen_by : {5U, 23U, 61U}) {
    fleet.Crash(seen_by, "b-" + std::to_string(seen_by));
    fleet.world.Run(absl::Milliseconds(400));
  }
  const Duration taken = fleet.UntilAllHold({World::kCoordinator});
  BOOST_TEST_MESSAGE("70 nodes without a coordinator: " << absl::FormatDuration(taken));
  BOOST_TEST((taken < kBound));
}

BOOST_AUTO_TEST_CASE(a_node_that_was_frozen_hears_of_it_when_it_is_back) {
  Fleet fleet(12);
  fleet.world.nodes.at(7)->frozen = true;
  for (const uint64_t seen_by : {2U, 3U, 4U}) {
    fleet.Crash(seen_by, "b-" + std::to_string(seen_by));
    fleet.world.Run(absl::Milliseconds(400));
  }
  fleet.world.Run(absl::Seconds(10));
  BOOST_TEST(!fleet.Holds(7));
  fleet.world.nodes.at(7)->frozen = false;
  BOOST_TEST((fleet.UntilAllHold() < kBound));
}

BOOST_AUTO_TEST_CASE(in_calm_nothing_is_told) {
  Fleet fleet(12);
  BOOST_TEST(fleet.world.nodes.at(3)->membership.TakeActions().empty());
  for (const auto& [number, node] : fleet.world.nodes) {
    node->membership.OnSuspects({}, true, fleet.world.now);
  }
  size_t heard = 0;
  fleet.world.on_suspects = [&](uint64_t, const auto&) { ++heard; };
  fleet.world.Run(absl::Seconds(2));
  BOOST_TEST(heard == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::membership
