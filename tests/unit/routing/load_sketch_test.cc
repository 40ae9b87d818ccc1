#include "core/routing/load_sketch.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace ladderstream::routing {
namespace {

ShardId Key(const std::string& key) { return {ServiceName("s"), RangeIndex(0), key}; }

BOOST_AUTO_TEST_CASE(CountsExactlyWhileThereIsRoom) {
  LoadSketch sketch(4);
  for (int i = 0; i < 3; ++i) {
    sketch.Add(Key("a"));
  }
  sketch.Add(Key("b"));
  std::vector<LoadSketch::Item> items = sketch.Take();
  KeepBusiest(items, 1);
  BOOST_REQUIRE(items.size() == 1);
  BOOST_TEST(items[0].shard.key == "a");
  BOOST_TEST(items[0].count == 3U);
  BOOST_TEST(sketch.Take().empty());
}

BOOST_AUTO_TEST_CASE(FindsTheHotKeyAmongManyOthers) {
  LoadSketch sketch(64);
  for (int i = 0; i < 20000; ++i) {
    sketch.Add(Key("cold" + std::to_string(i)));
    if (i % 10 == 0) {
      sketch.Add(Key("hot"));
    }
  }
  std::vector<LoadSketch::Item> items = sketch.Take();
  BOOST_TEST(items.size() == 64U);
  KeepBusiest(items, 1);
  BOOST_TEST(items[0].shard.key == "hot");
  // What is reported is a lower bound, so that noise never looks hot.
  BOOST_TEST(items[0].count <= 2000U);
  BOOST_TEST(items[0].count >= 1500U);
}

}  // namespace
}  // namespace ladderstream::routing
