// The load model: the same for a seed, follows the sun, and has hot keys that come and go.
#include "emulator/load_model.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "emulator/measured_load.h"
#include "wire/result_code.h"

namespace ladderstream::emulator {
namespace {

ServiceModel SmallService() {
  ServiceModel service = ScriptavelScripts();
  service.key_count = 20000;
  return service;
}

BOOST_AUTO_TEST_SUITE(Load)

BOOST_AUTO_TEST_CASE(IsTheSameForASeed) {
  LoadModel first(SmallService(), 5);
  LoadModel second(SmallService(), 5);
  LoadModel other(SmallService(), 6);
  const LoadSample sample = first.At(absl::Hours(9));
  BOOST_TEST(sample.keys == second.At(absl::Hours(9)).keys);
  BOOST_TEST(sample.keys != other.At(absl::Hours(9)).keys);
}

BOOST_AUTO_TEST_CASE(RisesInTheMorningAndFallsInTheEvening) {
  LoadModel load(SmallService(), 1);
  const double night = load.At(absl::Hours(3)).Total();
  const double noon = load.At(absl::Hours(12)).Total();
  const double evening = load.At(absl::Hours(23)).Total();
  BOOST_TEST(noon > 5 * night);
  BOOST_TEST(noon > 5 * evening);
}

BOOST_AUTO_TEST_CASE(CountsEveryKeyOnce) {
  const ServiceModel service = SmallService();
  const LoadModel load(service, 1);
  uint32_t keys = 0;
  for (const uint32_t count : load.keys_in_range()) {
    keys += count;
  }
  BOOST_TEST(keys == service.key_count);
}

BOOST_AUTO_TEST_CASE(HotKeysChangeWithinMinutes) {
  LoadModel load(SmallService(), 1);
  const auto hottest = [&load](absl::Duration at) {
    const LoadSample sample = load.At(at);
    return std::max_element(sample.keys.begin() + 200, sample.keys.end()) - sample.keys.begin();
  };
  int changes = 0;
  auto previous = hottest(absl::Hours(10));
  for (int minute = 1; minute <= 60; ++minute) {
    const auto now = hottest(absl::Hours(10) + absl::Minutes(minute));
    changes += now == previous ? 0 : 1;
    previous = now;
  }
  BOOST_TEST(changes >= 3);
}

BOOST_AUTO_TEST_CASE(UnknownModelsAreRefused) {
  BOOST_CHECK_THROW(FindServiceModel("nothing"), Error);
}

BOOST_AUTO_TEST_CASE(MeasuredLoadIsLateAndComesNear) {
  SignalModel model;
  MeasuredLoad signals(model, 1);
  LoadSample truth;
  truth.ranges = {100};
  truth.keys = {0};
  for (int i = 0; i < 10; ++i) {
    signals.Observe(truth, absl::Seconds(1));
  }
  truth.ranges = {1000};
  BOOST_TEST(signals.Observe(truth, absl::Seconds(1)).ranges[0] < 150);
  for (int i = 0; i < 100; ++i) {
    signals.Observe(truth, absl::Seconds(1));
  }
  const double measured = signals.Observe(truth, absl::Seconds(1)).ranges[0];
  BOOST_TEST(measured > 900);
  BOOST_TEST(measured < 1100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::emulator
