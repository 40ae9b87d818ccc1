// A request that ends whatever runs it, beside faults that explain its losses in another way: it
// still reaches back ends at most three times from 3 s after the third one ended under it.
#include <boost/test/unit_test.hpp>

#include "bounds.h"
#include "fleet_model.h"

namespace ladderstream::model {
namespace {

/// More often than a silent end is settled.
void KillAllNodesRepeatedly(FleetModel* fleet, int count) {
  for (int kill = 0; kill < count; ++kill) {
    fleet->Run(absl::Milliseconds(2500));
    fleet->KillAllNodes();
  }
}

BOOST_AUTO_TEST_SUITE(crash_evidence)

// Guards against crashes in one zone that are taken for a cut path, which cleared them.
BOOST_AUTO_TEST_CASE(crashes_are_not_explained_by_a_cut_path) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    for (const size_t backends : {2U, 4U}) {
      for (const int interval_ms : {200, 500, 1000, 2000}) {
        FleetModel fleet({.nodes = 3, .backends_per_zone = backends, .seed = seed});
        fleet.Call(CallerOf(EndMode::kRefuses, absl::Milliseconds(interval_ms)));
        fleet.Run(kWatched);
        BOOST_TEST_CONTEXT("seed " << seed << ", " << 3 * backends << " back ends, a call each "
                                   << interval_ms << " ms") {
          CheckBounds(fleet);
        }
      }
    }
  }
}

// Guards against losses that are dropped while the path of the service is called cut, and against
// losses at a peer that neither judges, probes nor reports them.
BOOST_AUTO_TEST_CASE(losses_at_a_peer_count) {
  for (const PathFault fault : {PathFault::kSilent, PathFault::kReset, PathFault::kRefuse}) {
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      FleetModel fleet({.nodes = 4, .seed = seed});
      fleet.CutOff(0, fault);
      fleet.CutOff(1, fault);
      fleet.Run(absl::Seconds(2));
      GuiltyCaller caller = CallerOf(EndMode::kRefuses);
      caller.nodes = {0, 1};
      fleet.Call(caller);
      fleet.Run(kWatched);
      BOOST_TEST_CONTEXT("seed " << seed << ", path fault " << static_cast<int>(fault)) {
        CheckBounds(fleet);
      }
    }
  }
}

// Guards against losses that are forgotten as their path is cut right behind them.
BOOST_AUTO_TEST_CASE(losses_before_a_cut_stay_open) {
  for (const PathFault fault : {PathFault::kSilent, PathFault::kReset, PathFault::kRefuse}) {
    for (uint64_t seed = 1; seed <= 8; ++seed) {
      FleetModel fleet({.nodes = 4, .seed = seed});
      fleet.Call(CallerOf(EndMode::kRefuses));
      for (int cut = 0; cut < 10; ++cut) {
        fleet.Run(absl::Milliseconds(600));
        fleet.CutOff(cut % 4, fault);
        fleet.CutOff((cut + 1) % 4, fault);
        fleet.Run(absl::Milliseconds(600));
        fleet.HealPaths();
      }
      fleet.Run(kWatched);
      BOOST_TEST_CONTEXT("seed " << seed << ", path fault " << static_cast<int>(fault)) {
        CheckBounds(fleet);
      }
    }
  }
}

// Guards against a burst of the same request that ends several back ends before any loss is judged.
BOOST_AUTO_TEST_CASE(losses_at_the_same_moment_count) {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    FleetModel fleet({.nodes = 4, .seed = seed});
    fleet.CallAtOnce(CallerOf(EndMode::kRefuses), 4);
    fleet.Run(absl::Milliseconds(3100));
    fleet.Call(CallerOf(EndMode::kRefuses));
    fleet.Run(kWatched);
    BOOST_TEST_CONTEXT("seed " << seed) { CheckBounds(fleet); }
  }
}

// Guards against back ends that fall silent instead of refusing, which were never counted.
BOOST_AUTO_TEST_CASE(silent_ends_count) {
  for (const int interval_ms : {500, 1000, 2000}) {
    FleetModel fleet({.nodes = 4, .backends_per_zone = 6});
    fleet.Call(CallerOf(EndMode::kSilent, absl::Milliseconds(interval_ms)));
    fleet.Run(kWatched);
    BOOST_TEST_CONTEXT("a call each " << interval_ms << " ms") { CheckBounds(fleet); }
  }
}

// Guards against losses of an owner of keys, whose keys move on to the next one.
BOOST_AUTO_TEST_CASE(silent_owners_count) {
  FleetModel fleet({.nodes = 4, .backends_per_zone = 5});
  GuiltyCaller caller = CallerOf(EndMode::kSilent);
  caller.by_key = true;
  fleet.Call(caller);
  fleet.Run(kWatched);
  CheckBounds(fleet);
}

// Guards against back ends that are back under their names before a probe finds them away.
BOOST_AUTO_TEST_CASE(quick_restarts_under_one_name_count) {
  FleetModel fleet({.nodes = 4});
  GuiltyCaller caller = CallerOf(EndMode::kRefuses);
  caller.restarts_after = absl::Milliseconds(100);
  fleet.Call(caller);
  fleet.Run(kWatched);
  CheckBounds(fleet);
}

// Guards against nodes that all start anew and know nothing of what was held before.
BOOST_AUTO_TEST_CASE(held_requests_outlive_all_nodes) {
  FleetModel fleet({.nodes = 4, .backends_per_zone = 6});
  fleet.Call(CallerOf(EndMode::kRefuses));
  for (int kill = 0; kill < 4; ++kill) {
    fleet.Run(absl::Seconds(6));
    fleet.KillAllNodes();
  }
  fleet.Run(kWatched);
  CheckBounds(fleet);
}

// Guards against silent losses that are forgotten before the lapse of a registration settles them.
BOOST_AUTO_TEST_CASE(silent_ends_outlive_all_nodes) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    FleetModel fleet({.nodes = 4, .backends_per_zone = 8, .seed = seed});
    fleet.Call(CallerOf(EndMode::kSilent));
    KillAllNodesRepeatedly(&fleet, 8);
    fleet.Run(kWatched);
    BOOST_TEST_CONTEXT("seed " << seed) { CheckBounds(fleet); }
  }
}

// Guards against back ends that are back before any node that saw them end has heard of it.
BOOST_AUTO_TEST_CASE(quick_restarts_outlive_all_nodes) {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    FleetModel fleet({.nodes = 4, .backends_per_zone = 8, .seed = seed});
    GuiltyCaller caller = CallerOf(EndMode::kRefuses);
    caller.restarts_after = absl::Milliseconds(100);
    fleet.Call(caller);
    KillAllNodesRepeatedly(&fleet, 8);
    fleet.Run(kWatched);
    BOOST_TEST_CONTEXT("seed " << seed) { CheckBounds(fleet); }
  }
}

// Guards against faults that only together hide what a lost back end means.
BOOST_AUTO_TEST_CASE(bounds_hold_beside_drawn_faults) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    FleetModel fleet({.nodes = 4 + seed % 5, .backends_per_zone = 8, .seed = seed});
    GuiltyCaller caller = CallerOf(seed % 2 == 0 ? EndMode::kSilent : EndMode::kRefuses);
    caller.by_key = seed % 3 == 0;
    if (seed % 5 == 0) {
      caller.restarts_after = absl::Milliseconds(100);
    }
    fleet.Call(caller);
    fleet.RunWithDrawnFaults(absl::Seconds(20));
    fleet.Run(kWatched);
    BOOST_TEST_CONTEXT("seed " << seed) { CheckBounds(fleet); }
  }
}

// Guards against nodes that wake with requests that have been held meanwhile.
BOOST_AUTO_TEST_CASE(nodes_that_were_frozen_hear_of_held_requests_first) {
  FleetModel fleet({.nodes = 8, .backends_per_zone = 6});
  for (size_t node = 2; node < 8; ++node) {
    fleet.Freeze(node, absl::Seconds(6));
  }
  fleet.Call(CallerOf(EndMode::kRefuses, absl::Milliseconds(250)));
  fleet.Run(kWatched);
  CheckBounds(fleet);
}

BOOST_AUTO_TEST_CASE(nobody_is_held_for_a_burst_of_crashes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetModel fleet({.nodes = 4, .backends_per_zone = 6, .seed = seed});
    for (int burst = 0; burst < 4; ++burst) {
      fleet.EndBackends(4, burst % 2 == 0 ? EndMode::kRefuses : EndMode::kSilent);
      fleet.Run(absl::Seconds(1));
    }
    fleet.Run(absl::Seconds(10));
    BOOST_TEST(fleet.innocent_refused() == 0U, "seed " << seed << fleet.refusals());
  }
}

BOOST_AUTO_TEST_CASE(nobody_is_held_for_a_release) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FleetModel fleet({.nodes = 4, .seed = seed});
    fleet.Release();
    fleet.Run(absl::Seconds(20));
    BOOST_TEST(fleet.innocent_refused() == 0U, "seed " << seed << fleet.refusals());
  }
}

BOOST_AUTO_TEST_CASE(nobody_is_held_while_all_paths_are_cut) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const PathFault fault : {PathFault::kSilent, PathFault::kReset, PathFault::kRefuse}) {
      FleetModel fleet({.nodes = 4, .seed = seed});
      fleet.CutOffAll(fault);
      fleet.Run(absl::Seconds(6));
      fleet.HealPaths();
      fleet.Run(absl::Seconds(6));
      fleet.CutOff(0, fault);
      fleet.Run(absl::Seconds(6));
      BOOST_TEST(fleet.innocent_refused() == 0U,
                 "seed " << seed << ", path fault " << static_cast<int>(fault) << fleet.refusals());
    }
  }
}

BOOST_AUTO_TEST_CASE(nobody_is_held_for_lost_answers) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FleetModel fleet({.nodes = 4, .seed = seed});
    fleet.SetLostAnswers(0.3);
    fleet.Run(absl::Seconds(20));
    BOOST_TEST(fleet.innocent_refused() == 0U, "seed " << seed << fleet.refusals());
  }
}

// Nothing is probed, shared or stored while nothing is lost.
BOOST_AUTO_TEST_CASE(calm_costs_nothing) {
  FleetModel fleet({.nodes = 4});
  fleet.Run(absl::Seconds(20));
  BOOST_TEST(fleet.probes() == 0U);
  BOOST_TEST(fleet.store_writes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::model
