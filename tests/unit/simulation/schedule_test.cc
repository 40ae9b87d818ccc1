// Seeded fault schedules over the whole decision library, and schedules that failed once.
#include <boost/test/unit_test.hpp>

#include "simulation/schedule_run.h"

namespace ladderstream::simulation {
namespace {

constexpr Duration kRun = absl::Seconds(30);

FaultPlan PlanWith(uint64_t seed, std::vector<Fault> faults) {
  return FaultPlan{seed, kRun, std::move(faults)};
}

BOOST_AUTO_TEST_SUITE(schedules)

BOOST_AUTO_TEST_CASE(fixed_seeds_keep_every_invariant) {
  constexpr uint64_t kFirstSeed = 100;
  constexpr uint64_t kSeeds = 20;
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + kSeeds; ++seed) {
    const FaultPlan plan = PlanOfSeed(seed, kRun);
    const RunResult result = RunPlan(plan);
    BOOST_TEST(result.violation == "", Describe(plan) << result.violation);
    BOOST_TEST(result.counts.answered > 0U);
    BOOST_TEST(result.counts.moves > 0U);
    BOOST_TEST(result.counts.revisions > 0U);
  }
}

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_run) {
  const FaultPlan plan = PlanOfSeed(7, absl::Seconds(10));
  BOOST_TEST(RunPlan(plan).counts.events == RunPlan(plan).counts.events);
}

// A voter cut off for two seconds was removed from the group, took its old state for the current
// one, and never asked for a newer one.
BOOST_AUTO_TEST_CASE(a_removed_voter_follows_the_group_again) {
  const Fault cut{absl::Milliseconds(3105), absl::Milliseconds(2235), FaultKind::kCutNode, 0};
  BOOST_TEST(RunPlan(PlanWith(5, {cut})).violation == "");
  const Fault one_way{absl::Milliseconds(5873), absl::Milliseconds(2305), FaultKind::kCutNodeOneWay,
                      0};
  BOOST_TEST(RunPlan(PlanWith(8, {one_way})).violation == "");
}

// A replica that lost touch pulled ownership without the configuration it belongs to.
BOOST_AUTO_TEST_CASE(a_replica_that_turns_observer_keeps_its_revision) {
  const Fault partition{absl::Seconds(3), absl::Milliseconds(489), FaultKind::kPartitionNodes, 0,
                        true};
  BOOST_TEST(RunPlan(PlanWith(1, {partition})).violation == "");
  const Fault store_down{absl::Milliseconds(9436), absl::Milliseconds(5463), FaultKind::kStoreDown};
  const Fault split{absl::Milliseconds(10669), absl::Milliseconds(2398), FaultKind::kPartitionNodes,
                    0};
  BOOST_TEST(RunPlan(PlanWith(7, {store_down, split})).violation == "");
}

// A group of two lost one voter; the table service's row still named voters who were heard.
BOOST_AUTO_TEST_CASE(a_lost_majority_that_the_row_does_not_show_is_founded_anew) {
  BOOST_TEST(RunPlan(PlanOfSeed(6, kRun)).violation == "");
  BOOST_TEST(RunPlan(PlanOfSeed(113, kRun)).violation == "");
}

// A new generation began from a checkpoint older than the revision in force on a node.
BOOST_AUTO_TEST_CASE(a_new_generation_takes_no_revision_back) {
  BOOST_TEST(RunPlan(PlanOfSeed(57, kRun)).violation == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::simulation
