// What makes two arrivals the same request: one that ends whatever runs it is held whoever repeats
// it, in whatever form and however often, and nobody who asks for something else is.
#include <boost/test/unit_test.hpp>

#include "bounds.h"
#include "fleet_model.h"

namespace ladderstream::model {
namespace {

/// Bodies that differ behind the bytes that are read at once.
constexpr size_t kLongBody = 200000;

FleetSettings ReadByBytes(uint64_t seed) {
  FleetSettings settings{.nodes = 4, .backends_per_zone = 8, .seed = seed};
  settings.identify_by_bytes = true;
  return settings;
}

/// Sizes of a service by zone: some zones have one back end.
std::vector<size_t> DrawSizes(uint64_t seed) {
  const std::vector<size_t> sizes[] = {{3, 2, 1}, {2, 2, 2}, {4, 1, 1}, {4, 4, 4}, {8, 8, 8}};
  return sizes[seed % std::size(sizes)];
}

/// Who asks how often, in which form and of which service.
GuiltyCaller DrawCaller(uint64_t seed) {
  constexpr size_t kCallers[] = {200, 1, 3, 1000};
  constexpr int kIntervalsMs[] = {50, 330, 1200};
  constexpr Repeat kRepeats[] = {Repeat::kSame, Repeat::kHostCase, Repeat::kParameterOrder,
                                 Repeat::kEscapes, Repeat::kTraceHeader};
  GuiltyCaller caller = CallerOf(seed % 2 == 0 ? EndMode::kSilent : EndMode::kRefuses,
                                 absl::Milliseconds(kIntervalsMs[seed % std::size(kIntervalsMs)]));
  caller.callers = kCallers[seed % std::size(kCallers)];
  caller.repeat = kRepeats[seed % std::size(kRepeats)];
  caller.by_key = seed % 7 < 2;
  caller.once = seed % 3 == 0 && !caller.by_key;
  if (seed % 4 == 0) {
    caller.restarts_after = absl::Milliseconds(100);
  }
  return caller;
}

void CheckWatched(FleetModel* fleet, const GuiltyCaller& caller, uint64_t seed) {
  fleet->Call(caller);
  fleet->Run(kWatched);
  BOOST_TEST_CONTEXT("seed " << seed) { CheckBounds(*fleet); }
}

BOOST_AUTO_TEST_SUITE(crash_evidence)

// Guards against a count for each caller of the same request.
BOOST_AUTO_TEST_CASE(several_callers_share_one_count) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    FleetModel fleet(ReadByBytes(seed));
    GuiltyCaller caller = CallerOf(EndMode::kRefuses, absl::Milliseconds(300));
    caller.callers = 200;
    CheckWatched(&fleet, caller, seed);
  }
}

// Guards against a count for each spelling of the same request.
BOOST_AUTO_TEST_CASE(other_spellings_share_one_count) {
  for (const Repeat repeat :
       {Repeat::kHostCase, Repeat::kParameterOrder, Repeat::kEscapes, Repeat::kTraceHeader}) {
    FleetModel fleet(ReadByBytes(1));
    GuiltyCaller caller = CallerOf(EndMode::kRefuses, absl::Milliseconds(300));
    caller.repeat = repeat;
    BOOST_TEST_CONTEXT("repeat " << static_cast<int>(repeat)) { CheckWatched(&fleet, caller, 1); }
  }
}

// Guards against a request that is cleared by others which only resemble it.
BOOST_AUTO_TEST_CASE(twins_that_are_served_clear_nothing) {
  for (const size_t body : {size_t{0}, kLongBody}) {
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      FleetModel fleet(ReadByBytes(seed));
      GuiltyCaller caller = CallerOf(EndMode::kRefuses, absl::Milliseconds(300));
      caller.callers = 200;
      caller.body_bytes = body;
      caller.twins_per_second = 10;
      BOOST_TEST_CONTEXT("body of " << body << " bytes") { CheckWatched(&fleet, caller, seed); }
    }
  }
}

// Guards against sizes, rates and services for which the evidence does not suffice.
BOOST_AUTO_TEST_CASE(bounds_hold_for_drawn_callers) {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    FleetSettings settings = ReadByBytes(seed);
    settings.nodes = 3 + seed % 9;
    settings.backends_by_zone = DrawSizes(seed);
    settings.reads_of_many_per_second = 20;
    FleetModel fleet(settings);
    CheckWatched(&fleet, DrawCaller(seed), seed);
  }
}

// Guards against a read of many callers that is at work at every crash.
BOOST_AUTO_TEST_CASE(nobody_is_held_for_reading_what_many_read) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetSettings settings = ReadByBytes(seed);
    settings.backends_per_zone = 6;
    settings.reads_of_many_per_second = 100;
    FleetModel fleet(settings);
    for (int burst = 0; burst < 4; ++burst) {
      fleet.EndBackends(4, burst % 2 == 0 ? EndMode::kRefuses : EndMode::kSilent);
      fleet.Run(absl::Seconds(1));
    }
    fleet.LoseCoordinator();
    fleet.EndBackends(4, EndMode::kRefuses);
    fleet.Run(absl::Seconds(10));
    BOOST_TEST(fleet.innocent_refused() == 0U, "seed " << seed << fleet.refusals());
    BOOST_TEST((fleet.longest_refused() == absl::ZeroDuration()),
               "seed " << seed << ": a read of many was refused for " << fleet.longest_refused());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::model
