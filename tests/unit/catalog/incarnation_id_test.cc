// Ids of incarnations, and what they were made of.
#include "core/catalog/incarnation_id.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace ladderstream::catalog {
namespace {

BOOST_AUTO_TEST_SUITE(incarnation_id)

BOOST_AUTO_TEST_CASE(an_id_gives_back_what_it_was_made_of) {
  std::set<std::string> ids;
  size_t made = 0;
  for (const char* instance : {"i-1", "", "@", "i@x", "i@7", "i@7@0", "i@", "7"}) {
    for (const uint64_t start : {uint64_t{0}, uint64_t{7}, uint64_t{1764720000000}}) {
      const std::string id = IncarnationId(instance, start);
      BOOST_TEST(InstanceOf(id) == instance);
      BOOST_TEST(StartOf(id) == start);
      ids.insert(id);
      ++made;
    }
  }
  BOOST_TEST(ids.size() == made);
}

BOOST_AUTO_TEST_CASE(who_tells_no_start_keeps_its_name) {
  BOOST_TEST(IncarnationId("i-7f3a91c2", 0) == "i-7f3a91c2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::catalog
