#include "rehearsal/fault_schedule.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace ladderstream::rehearsal {
namespace {

ScheduleSettings Settings(uint64_t seed) {
  ScheduleSettings settings;
  settings.seed = seed;
  settings.length = absl::Seconds(600);
  settings.nodes = {"node-0", "node-1", "node-2"};
  settings.keyed_backends = {"scripts-00", "scripts-01", "scripts-02"};
  settings.other_backends = {"callbacks-00", "callbacks-01"};
  return settings;
}

bool HasLength(const Fault& fault) { return fault.until > fault.from; }

BOOST_AUTO_TEST_SUITE(fault_schedule)

BOOST_AUTO_TEST_CASE(is_the_same_for_the_same_seed) {
  const auto first = MakeFaultSchedule(Settings(7));
  const auto second = MakeFaultSchedule(Settings(7));
  const auto other = MakeFaultSchedule(Settings(8));
  BOOST_REQUIRE(first.size() == second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST((first[i].from == second[i].from));
    BOOST_TEST(first[i].target == second[i].target);
  }
  BOOST_TEST((other.front().from != first.front().from));
}

BOOST_AUTO_TEST_CASE(brings_about_every_kind_in_ten_minutes) {
  std::set<FaultKind> kinds;
  for (const Fault& fault : MakeFaultSchedule(Settings(1))) {
    kinds.insert(fault.kind);
  }
  BOOST_TEST(kinds.size() == 12);
}

BOOST_AUTO_TEST_CASE(keeps_to_two_at_once_one_per_target_and_one_node) {
  const auto faults = MakeFaultSchedule(Settings(3));
  bool two_at_once = false;
  for (const Fault& fault : faults) {
    uint32_t under_way = 0;
    for (const Fault& other : faults) {
      const bool overlaps = HasLength(fault) && HasLength(other) && other.from <= fault.from &&
                            other.until > fault.from;
      under_way += overlaps ? 1 : 0;
      if (overlaps && &other != &fault) {
        BOOST_TEST(other.target != fault.target);
        BOOST_TEST(!(other.target.starts_with("node") && fault.target.starts_with("node")));
      }
    }
    BOOST_TEST(under_way <= 2);
    two_at_once = two_at_once || under_way == 2;
  }
  BOOST_TEST(two_at_once);
}

BOOST_AUTO_TEST_CASE(leaves_the_ends_calm) {
  const ScheduleSettings settings = Settings(5);
  for (const Fault& fault : MakeFaultSchedule(settings)) {
    BOOST_TEST((fault.from >= settings.calm));
    BOOST_TEST((fault.until <= settings.length - settings.calm));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::rehearsal
