// Schedules of the soak: drawn, written and read.
#include "standin/fleet/soak_schedule.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

BOOST_AUTO_TEST_SUITE(soak_schedule)

BOOST_AUTO_TEST_CASE(a_seed_draws_the_same_faults_and_another_seed_others) {
  const auto drawn = DrawSchedule(7, absl::Seconds(30));
  BOOST_TEST((drawn == DrawSchedule(7, absl::Seconds(30))));
  BOOST_TEST((drawn != DrawSchedule(8, absl::Seconds(30))));
}

BOOST_AUTO_TEST_CASE(kept_seeds_draw_what_they_drew) {
  const auto drawn = DrawSchedule(6, absl::Seconds(20));
  BOOST_TEST(drawn.size() == 23U);
  const std::string first = FormatSchedule({drawn.begin(), drawn.begin() + 4});
  for (const char* fault : {"links_cut", "store_slow", "backend_freezes", "all_nodes_killed"}) {
    BOOST_TEST(first.find(fault) != std::string::npos, fault);
  }
  BOOST_TEST(drawn.front().target == 334U);
}

BOOST_AUTO_TEST_CASE(faults_end_in_time_and_overlap) {
  const Duration length = absl::Seconds(60);
  const auto drawn = DrawSchedule(3, length);
  size_t overlaps = 0;
  for (size_t i = 0; i < drawn.size(); ++i) {
    BOOST_TEST((drawn[i].at + drawn[i].lasts <= length));
    BOOST_TEST((drawn[i].lasts > absl::ZeroDuration()));
    overlaps += i > 0 && drawn[i].at < drawn[i - 1].at + drawn[i - 1].lasts ? 1 : 0;
  }
  BOOST_TEST(overlaps > drawn.size() / 2);
}

BOOST_AUTO_TEST_CASE(every_kind_is_drawn) {
  std::set<FaultKind> kinds;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    for (const SoakFault& fault : DrawSchedule(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawSeries(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawRests(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawLimits(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawChanges(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawPathCuts(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawCrashes(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawSharedCrashes(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawConfigurations(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
    for (const SoakFault& fault : DrawRegistrations(seed, absl::Seconds(60))) {
      kinds.insert(fault.kind);
    }
  }
  BOOST_TEST(kinds.size() == static_cast<size_t>(FaultKind::kCount));
}

BOOST_AUTO_TEST_CASE(series_follow_each_other_in_time_and_overlap) {
  const Duration length = absl::Seconds(60);
  const auto drawn = DrawSeries(3, length);
  BOOST_TEST((drawn == DrawSeries(3, length)));
  size_t stops = 0;
  for (size_t i = 0; i < drawn.size(); ++i) {
    BOOST_TEST((drawn[i].at + drawn[i].lasts <= length));
    BOOST_TEST((i == 0 || drawn[i - 1].at <= drawn[i].at));
    stops += drawn[i].kind == FaultKind::kNodeStopped ? 1 : 0;
  }
  BOOST_TEST(stops >= 4);
  BOOST_TEST(drawn.size() > 2 * DrawSchedule(3, length).size());
}

BOOST_AUTO_TEST_CASE(a_written_schedule_reads_as_it_was) {
  const auto drawn = DrawSchedule(11, absl::Seconds(60));
  BOOST_TEST((ParseSchedule("# kept\n" + FormatSchedule(drawn)) == drawn));
}

BOOST_AUTO_TEST_CASE(a_fault_in_a_schedule_is_named_with_its_line) {
  for (const char* text : {"node_killed 1 2\n", "node_lost 1 2 3\n", "node_killed 1 -2 3\n",
                           "node_killed one 2 3\n"}) {
    try {
      ParseSchedule(std::string("node_killed 1 2 3\n") + text);
      BOOST_ERROR("taken: " << text);
    } catch (const Error& error) {
      BOOST_TEST((error.code() == ResultCode::kMalformedMessage));
      BOOST_TEST(std::string(error.what()).find("line 2") != std::string::npos, error.what());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
