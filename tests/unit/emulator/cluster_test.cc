// The emulated cluster counts the three measures as they are defined.
#include "emulator/cluster.h"

#include <boost/test/unit_test.hpp>

#include "core/placement/baselines.h"

namespace ladderstream::emulator {
namespace {

constexpr absl::Duration kPeriod = absl::Seconds(1);

ServiceModel SmallService() {
  ServiceModel service = ScriptavelScripts();
  service.key_count = 20000;
  return service;
}

/// A cluster with the load that drives it.
struct Stage {
  explicit Stage(placement::PlacementPolicyPtr policy)
      : load(SmallService(), 1), cluster(SmallService(), load, std::move(policy), kPeriod, 1) {}

  void Run(absl::Duration from, absl::Duration to) {
    for (absl::Duration now = from; now < to; now += kPeriod) {
      const LoadSample truth = load.At(now);
      cluster.Step(truth, truth, now, kPeriod);
    }
  }

  LoadModel load;
  Cluster cluster;
};

BOOST_AUTO_TEST_SUITE(EmulatedCluster)

BOOST_AUTO_TEST_CASE(FoundingCountsAsNoChurn) {
  Stage stage(placement::MakeStaticHashPolicy());
  stage.Run(absl::Hours(9), absl::Hours(9) + absl::Minutes(1));
  BOOST_TEST(stage.cluster.measures().forced_churn == 0);
  BOOST_TEST(stage.cluster.measures().planned_churn == 0);
  BOOST_TEST(stage.cluster.measures().unavailable_ms_per_key == 0);
  BOOST_TEST(stage.cluster.last_imbalance() > 1);
}

BOOST_AUTO_TEST_CASE(ACrashCostsItsKeysOneTakeover) {
  Stage stage(placement::MakeStaticHashPolicy());
  const absl::Duration crash = absl::Hours(9) + absl::Minutes(1);
  stage.Run(absl::Hours(9), crash);
  stage.cluster.Handle({crash, FaultKind::kCrash, 3}, crash);
  stage.Run(crash, crash + absl::Minutes(1));
  const Measures& measures = stage.cluster.measures();
  BOOST_TEST(measures.forced_churn > 0.02);
  BOOST_TEST(measures.forced_churn < 0.2);
  const TransferModel transfer;
  BOOST_TEST(measures.unavailable_ms_per_key >=
             measures.forced_churn * absl::ToDoubleMilliseconds(transfer.takeover_min));
  BOOST_TEST(measures.unavailable_ms_per_key <=
             measures.forced_churn * absl::ToDoubleMilliseconds(transfer.takeover_max));
  BOOST_TEST(measures.planned_churn == 0);
}

BOOST_AUTO_TEST_CASE(ADrainedBackendIsLeftWithoutATakeover) {
  Stage stage(placement::MakeDefaultPolicy());
  const absl::Duration drain = absl::Hours(9) + absl::Minutes(1);
  stage.Run(absl::Hours(9), drain);
  const double before = stage.cluster.measures().unavailable_ms_per_key;
  stage.cluster.Handle({drain, FaultKind::kDrain, 3}, drain);
  stage.Run(drain, drain + kPeriod);
  const Measures& measures = stage.cluster.measures();
  BOOST_TEST(measures.forced_churn > 0.02);
  const double cost = measures.unavailable_ms_per_key - before;
  BOOST_TEST(cost < 0.2 * absl::ToDoubleMilliseconds(TransferModel().planned_max));
}

BOOST_AUTO_TEST_CASE(TheDefaultPolicyBalancesBetterThanStaticHashing) {
  Stage ours(placement::MakeDefaultPolicy());
  Stage hashed(placement::MakeStaticHashPolicy());
  const absl::Duration end = absl::Hours(9) + absl::Minutes(30);
  ours.Run(absl::Hours(9), end);
  hashed.Run(absl::Hours(9), end);
  BOOST_TEST(ours.cluster.measures().imbalance.Mean() < 1.2);
  BOOST_TEST(hashed.cluster.measures().imbalance.Mean() >
             ours.cluster.measures().imbalance.Mean() + 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::emulator
