// Guards against a quadratic comparison of new back ends with all known ones. At the start of 984
// nodes and 9,998 back ends it took 78% of the processor time of all nodes: 100 million comparisons
// on each node in ServiceTable::EndEarlierIncarnations, so that five minutes simulated 5.8 s.
#include "core/forwarding/service_table.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

#include "core/catalog/incarnation_id.h"

namespace ladderstream::forwarding {
namespace {

constexpr size_t kBackends = 10'000;

catalog::Backend BackendOf(size_t number, uint64_t started_at_ms = 1) {
  catalog::Backend backend;
  backend.id = catalog::IncarnationId(absl::StrCat("b-", 100'000 + number), started_at_ms);
  backend.service = "cards";
  backend.address = {"10.0.0.1", static_cast<uint16_t>(number)};
  return backend;
}

struct LargeTable {
  LargeTable() {
    catalog::BackendChanges all;
    for (size_t i = 0; i < kBackends; ++i) {
      all.set.push_back(BackendOf(i));
    }
    table.ChangeBackends(all, {}, now);
  }
  /// Applies the changes and returns the number of back ends examined.
  uint64_t Change(const catalog::BackendChanges& changes) {
    const uint64_t before = table.registrations_examined();
    table.ChangeBackends(changes, {}, now);
    return table.registrations_examined() - before;
  }

  Time now = absl::FromUnixSeconds(1000);
  DispatcherSettings settings;
  ServiceTable table{settings};
};

BOOST_FIXTURE_TEST_SUITE(service_table, LargeTable)

BOOST_AUTO_TEST_CASE(initial_load_examines_each_back_end_once) {
  BOOST_TEST(table.registrations_examined() == kBackends);
  BOOST_TEST(table.Service("cards").backends.size() == kBackends);
}

BOOST_AUTO_TEST_CASE(changed_registration_examines_one_back_end) {
  catalog::Backend changed = BackendOf(7);
  changed.draining = true;
  BOOST_TEST(Change({{changed}, {}}) == 1U);
  BOOST_TEST(table.FindBackend(changed.id)->registration.draining);
}

BOOST_AUTO_TEST_CASE(restarted_back_end_ends_its_earlier_incarnation) {
  const catalog::Backend again = BackendOf(7, 2);
  BOOST_TEST(Change({{again}, {}}) == 2U);
  BOOST_TEST((table.FindBackend(BackendOf(7).id)->usable_until == absl::InfinitePast()));
  BOOST_TEST((table.FindBackend(BackendOf(8).id)->usable_until == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(deregistered_back_end_is_removed_after_the_retention_time) {
  const std::string id = BackendOf(7).id;
  BOOST_TEST(Change({{}, {id}}) == 1U);
  now += absl::Seconds(29);
  BOOST_TEST(Change({}) == 0U);
  BOOST_TEST((table.FindBackend(id) != nullptr));
  now += absl::Seconds(2);
  BOOST_TEST(Change({}) == 1U);
  BOOST_TEST((table.FindBackend(id) == nullptr));
  BOOST_TEST(table.Service("cards").backends.size() == kBackends - 1);
}

BOOST_AUTO_TEST_CASE(back_end_registered_again_is_not_removed) {
  Change({{}, {BackendOf(7).id}});
  Change({{BackendOf(7)}, {}});
  now += absl::Seconds(31);
  Change({});
  BOOST_TEST((table.FindBackend(BackendOf(7).id) != nullptr));
}

BOOST_AUTO_TEST_CASE(back_ends_of_a_service_stay_sorted_by_id) {
  Change({{BackendOf(20'000), BackendOf(3, 2)}, {}});
  const std::vector<BackendStatePtr>& listed = table.Service("cards").backends;
  BOOST_TEST(listed.size() == kBackends + 2);
  for (size_t i = 1; i < listed.size(); ++i) {
    BOOST_REQUIRE(listed[i - 1]->registration.id < listed[i]->registration.id);
  }
}

BOOST_AUTO_TEST_CASE(back_end_that_changes_service_is_listed_there) {
  catalog::Backend moved = BackendOf(7);
  moved.service = "scripts";
  Change({{moved}, {}});
  BOOST_TEST(table.Service("cards").backends.size() == kBackends - 1);
  BOOST_TEST(table.Service("scripts").backends.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
