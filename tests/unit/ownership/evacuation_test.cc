// Tests the evacuation of zones that hold a third of the back ends each, and its end.
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <set>

#include "coordinator_harness.h"

namespace ladderstream::ownership {
namespace {

constexpr int kBackends = 30;
constexpr int kZones = 3;

struct EvacuationFixture {
  EvacuationFixture() : node(&store, 1, 1, absl::UnixEpoch()) {
    for (int i = 0; i < kBackends; ++i) {
      catalog::Backend backend;
      backend.id = absl::StrCat("b-", i);
      backend.service = Harness::kService;
      backend.address = {backend.id, 1};
      backend.zone = absl::StrCat("zone-", i % kZones);
      backend.cold_requests_per_second = 4;
      backends.push_back(backend);
    }
    node.RegisterBackends(backends);
    node.Run(absl::Seconds(4));
  }

  void Evacuate(const std::set<std::string>& zones) {
    for (catalog::Backend& backend : backends) {
      backend.evacuated = zones.contains(backend.zone);
    }
    node.RegisterBackends(backends);
  }
  /// Returns the number of ranges that the back ends of a zone own.
  size_t RangesOf(const std::string& zone) const {
    size_t count = 0;
    for (const Assignment& range : node.published.services.at(Harness::kService).assignments) {
      for (const catalog::Backend& backend : backends) {
        count += backend.id == range.owner && backend.zone == zone ? 1 : 0;
      }
    }
    return count;
  }
  size_t Moving() const { return node.published.services.at(Harness::kService).moving.size(); }

  ModelStore store;
  Harness node;
  std::vector<catalog::Backend> backends;
};

BOOST_FIXTURE_TEST_SUITE(evacuation, EvacuationFixture)

BOOST_AUTO_TEST_CASE(all_keys_leave_the_zone_at_once) {
  BOOST_REQUIRE(RangesOf("zone-1") > 0);
  Evacuate({"zone-1"});
  node.Run(absl::Milliseconds(500));
  BOOST_TEST(RangesOf("zone-1") == 0U);
  BOOST_TEST(Moving() == 0U);
  // The keys were spread over all remaining back ends.
  for (const catalog::Backend& backend : backends) {
    size_t ranges = 0;
    for (const Assignment& range : node.published.services.at(Harness::kService).assignments) {
      ranges += range.owner == backend.id ? 1 : 0;
    }
    BOOST_TEST((backend.evacuated ? ranges == 0 : ranges >= 1), backend.id);
  }
}

BOOST_AUTO_TEST_CASE(two_zones_can_be_evacuated_together) {
  Evacuate({"zone-0", "zone-1"});
  node.Run(absl::Milliseconds(500));
  BOOST_TEST(RangesOf("zone-0") + RangesOf("zone-1") == 0U);
  BOOST_TEST(RangesOf("zone-2") > 0U);
}

BOOST_AUTO_TEST_CASE(an_unknown_zone_changes_nothing) {
  const uint64_t sequence = node.published.version.sequence;
  Evacuate({"nowhere"});
  node.Run(absl::Milliseconds(500));
  BOOST_TEST(node.published.version.sequence == sequence);
}

BOOST_AUTO_TEST_CASE(service_recovers_after_all_zones_were_evacuated) {
  Evacuate({"zone-0", "zone-1", "zone-2"});
  node.Run(absl::Seconds(3));
  Evacuate({});
  node.Run(absl::Seconds(2));
  BOOST_TEST(RangesOf("zone-0") + RangesOf("zone-1") + RangesOf("zone-2") > 0U);
  BOOST_TEST(Moving() == 0U);
}

BOOST_AUTO_TEST_CASE(returning_cold_zone_gets_no_keys_before_it_is_warm) {
  Evacuate({"zone-1"});
  node.Run(absl::Milliseconds(500));
  for (catalog::Backend& backend : backends) {
    backend.cold_until = backend.evacuated ? node.now + absl::Seconds(3) : backend.cold_until;
  }
  Evacuate({});
  node.Run(absl::Milliseconds(2900));
  BOOST_TEST(RangesOf("zone-1") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
