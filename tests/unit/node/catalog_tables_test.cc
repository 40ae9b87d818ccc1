// Guards against decoding all registrations again when a single one changes. With 9,998 back ends,
// that was the second-largest cost in the profile of a node's start, and the largest once
// ServiceTable::EndEarlierIncarnations was no longer in it.
#include "node/catalog_tables.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <boost/test/unit_test.hpp>

#include "../observability/test_log.h"
#include "../platform/registration_row.h"
#include "platform/adapter.h"

namespace ladderstream::node {
namespace {

constexpr size_t kBackends = 10'000;

std::string NameOf(size_t number) { return absl::StrCat("i-", 100'000 + number); }

struct Tables {
  Tables() {
    std::vector<store::Row> rows;
    for (size_t i = 0; i < kBackends; ++i) {
      rows.push_back(RowOf(i, "ready", 1, 1));
    }
    backend_follower.Merge(rows, 1, now, now);
    tables.ApplyUpdates(now);
  }
  store::Row RowOf(size_t number, const std::string& state, size_t sequence,
                   store::RowVersion version) const {
    return {{std::string(adapter->backend_table()), "", NameOf(number)},
            platform::RegistrationRow(1000 + number, state, sequence, 1),
            version,
            false};
  }
  /// Returns the number of registrations decoded.
  uint64_t ApplyChange(const store::Row& row) {
    const uint64_t before = tables.decoded_rows();
    reported = {};
    store::TableChanges changes;
    changes.base = row.version - 1;
    changes.version = row.version;
    changes.newest_change = row.version;
    changes.rows = {row};
    backend_follower.Apply(changes, now);
    tables.ApplyUpdates(now);
    return tables.decoded_rows() - before;
  }

  /// Makes a configuration with these services the newest one.
  void Configure(const std::vector<std::string>& services) {
    catalog::Configuration configuration;
    configuration.version = ++configuration_version;
    for (const std::string& name : services) {
      configuration.services[name].name = name;
    }
    const store::Row row = {{std::string(adapter->configuration_table()), "",
                             std::string(adapter->configuration_key())},
                            adapter->EncodeConfiguration(configuration, ""),
                            configuration_version,
                            false};
    configuration_follower.Merge({row}, configuration_version, now, now);
    tables.ApplyUpdates(now);
  }

  uint64_t configuration_version = 0;
  Time now = absl::FromUnixSeconds(1000);
  interfaces::PlatformAdapterPtr adapter = platform::MakeAdapter();
  observability::TestLog test;
  observability::NodeMetrics metrics;
  observability::BeliefLog beliefs{&test.log, &metrics};
  store::TableFollower configuration_follower{
      {.table = std::string(adapter->configuration_table()), .partition = ""}};
  store::TableFollower backend_follower{
      {.table = std::string(adapter->backend_table()), .partition = ""}};
  catalog::BackendChanges reported;
  CatalogTables tables{
      adapter.get(),
      &beliefs,
      &configuration_follower,
      &backend_follower,
      {[](const ConfigurationPtr& /*configuration*/) {},
       [this](const catalog::BackendChanges& changes,
              const forwarding::RegistrationUpdate& /*update*/) { reported = changes; }}};
};

BOOST_FIXTURE_TEST_SUITE(catalog_tables, Tables)

BOOST_AUTO_TEST_CASE(a_start_decodes_each_registration_once) {
  BOOST_TEST(tables.decoded_rows() == kBackends);
  BOOST_TEST(reported.set.size() == kBackends);
}

BOOST_AUTO_TEST_CASE(one_changed_registration_decodes_and_reports_one) {
  BOOST_TEST(ApplyChange(RowOf(7, "draining", 2, 2)) == 1U);
  BOOST_REQUIRE(reported.set.size() == 1U);
  BOOST_TEST(reported.set.front().draining);
  BOOST_TEST(reported.gone.empty());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_without_other_changes_reports_nothing) {
  BOOST_TEST(ApplyChange(RowOf(7, "ready", 2, 2)) == 1U);
  BOOST_TEST(reported.Empty());
}

BOOST_AUTO_TEST_CASE(a_restarted_back_end_replaces_its_earlier_incarnation) {
  store::Row row = RowOf(7, "ready", 1, 2);
  row.value = platform::RegistrationRow(1007, "ready", 1, 2);
  ApplyChange(row);
  BOOST_REQUIRE(reported.set.size() == 1U);
  BOOST_REQUIRE(reported.gone.size() == 1U);
  BOOST_TEST(reported.set.front().id != reported.gone.front());
  BOOST_TEST(tables.backends().all().size() == kBackends);
}

// The row of an earlier incarnation that takes effect late replaced the living one.
BOOST_AUTO_TEST_CASE(late_row_of_an_earlier_start_is_ignored) {
  store::Row restarted = RowOf(7, "ready", 1, 2);
  restarted.value = platform::RegistrationRow(1007, "ready", 1, 5);
  ApplyChange(restarted);
  const std::string living = reported.set.front().id;
  store::Row late = RowOf(7, "ready", 9, 3);
  late.value = platform::RegistrationRow(1007, "ready", 9, 4);
  ApplyChange(late);
  BOOST_TEST(reported.Empty());
  BOOST_TEST(tables.backends().all().contains(living));
  restarted.version = 4;
  ApplyChange(restarted);
  BOOST_TEST(reported.Empty());
  now += absl::Minutes(1);
  tables.ApplyUpdates(now);
  BOOST_TEST(reported.Empty());
}

// The clock of a back end's machine may have been set back before its restart.
BOOST_AUTO_TEST_CASE(row_of_an_earlier_start_that_stays_is_accepted) {
  store::Row restarted = RowOf(7, "ready", 1, 2);
  restarted.value = platform::RegistrationRow(1007, "ready", 1, 5);
  ApplyChange(restarted);
  store::Row set_back = RowOf(7, "ready", 1, 3);
  set_back.value = platform::RegistrationRow(1007, "ready", 1, 4);
  ApplyChange(set_back);
  BOOST_TEST(reported.Empty());
  now += absl::Seconds(5);
  tables.ApplyUpdates(now);
  BOOST_REQUIRE(reported.set.size() == 1U);
  BOOST_TEST(reported.set.front().started_at_ms == 4U);
  BOOST_TEST(reported.gone.size() == 1U);
}

// A row of another writer names a service that no configuration has; the back end at its address
// lost its keys to it.
BOOST_AUTO_TEST_CASE(row_of_a_service_without_a_configuration_names_no_back_end) {
  Configure({"cards"});
  store::Row stray = RowOf(kBackends, "ready", 1, 2);
  stray.value = absl::StrReplaceAll(stray.value, {{"cards", "unknown"}});
  ApplyChange(stray);
  BOOST_TEST(reported.Empty());
  BOOST_TEST(tables.backends().all().size() == kBackends);
  Configure({"cards", "unknown"});
  BOOST_TEST(tables.backends().all().size() == kBackends + 1);
}

BOOST_AUTO_TEST_CASE(an_unreadable_registration_removes_only_its_back_end) {
  store::Row row = RowOf(7, "ready", 2, 2);
  row.value = "no registration";
  ApplyChange(row);
  BOOST_TEST(reported.set.empty());
  BOOST_TEST(reported.gone.size() == 1U);
  BOOST_TEST(tables.backends().all().size() == kBackends - 1);
}

BOOST_AUTO_TEST_CASE(a_removed_registration_reports_only_its_back_end) {
  store::Row row = RowOf(7, "ready", 2, 2);
  row.removed = true;
  BOOST_TEST(ApplyChange(row) == 0U);
  BOOST_TEST(reported.gone.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::node
