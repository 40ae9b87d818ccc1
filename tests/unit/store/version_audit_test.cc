// What the versions of the store prove of the copies of its tables.
#include "core/store/version_audit.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::store {
namespace {

BOOST_AUTO_TEST_SUITE(version_audit)

BOOST_AUTO_TEST_CASE(known_versions_are_explained_in_any_order) {
  VersionAudit audit;
  audit.CompleteUpTo(10);
  audit.Add(13);
  audit.Add(12);
  BOOST_TEST(audit.explained() == 10U);
  audit.Add(11);
  BOOST_TEST(audit.explained() == 13U);
}

// Guards against a change that is taken for known because later versions are.
BOOST_AUTO_TEST_CASE(version_that_nobody_reported_ends_what_is_explained) {
  VersionAudit audit;
  audit.CompleteUpTo(10);
  audit.Add(11);
  for (RowVersion version = 13; version < 20'000; ++version) {
    audit.Add(version);
  }
  BOOST_TEST(audit.explained() == 11U);
  audit.CompleteUpTo(20'000);
  BOOST_TEST(audit.explained() == 20'000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::store
