#include "core/membership/load_sampling.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <string>

namespace ladderstream::membership {
namespace {

LoadReport MakeLoad(uint32_t keys) {
  LoadReport load;
  for (uint32_t i = 0; i < keys; ++i) {
    load.keys.push_back(i);
    load.counts.push_back(i == keys / 2 ? static_cast<float>(keys) : 1);
    load.backends.push_back(std::to_string(i));
    load.answers.push_back(i);
    load.busy_us.push_back(uint64_t{i} * 10);
    load.includes_wait.push_back(static_cast<uint8_t>(i % 2));
  }
  return load;
}

BOOST_AUTO_TEST_CASE(ShortReportIsNotSampled) {
  LoadReport load = MakeLoad(16);
  SampleLoad(16, 0.9, &load);
  BOOST_TEST(load.keys.size() == 16);
  BOOST_TEST(load.backends.size() == 16);
}

BOOST_AUTO_TEST_CASE(SamplePreservesSumAndHotKey) {
  for (const double draw : {0.0, 0.3, 0.99}) {
    LoadReport load = MakeLoad(1000);
    SampleLoad(20, draw, &load);
    BOOST_TEST(load.keys.size() <= 20);
    BOOST_TEST(load.counts.size() == load.keys.size());
    BOOST_TEST(std::accumulate(load.counts.begin(), load.counts.end(), 0.0) == 1999,
               boost::test_tools::tolerance(0.001));
    const auto hot = std::find(load.keys.begin(), load.keys.end(), 500);
    BOOST_TEST_REQUIRE((hot != load.keys.end()));
    BOOST_TEST(load.counts[hot - load.keys.begin()] == 1000, boost::test_tools::tolerance(0.11F));
  }
}

BOOST_AUTO_TEST_CASE(BackEndFiguresStayAligned) {
  LoadReport load = MakeLoad(100);
  SampleLoad(10, 0.95, &load);
  BOOST_TEST_REQUIRE(load.backends.size() == 10);
  BOOST_TEST(load.reported_share == 0.1);
  for (size_t i = 0; i < 10; ++i) {
    BOOST_TEST(load.backends[i] == std::to_string(load.answers[i]));
    BOOST_TEST(load.busy_us[i] == load.answers[i] * 10);
    BOOST_TEST(load.includes_wait[i] == load.answers[i] % 2);
  }
}

}  // namespace
}  // namespace ladderstream::membership
