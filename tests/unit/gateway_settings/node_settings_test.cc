// A node's settings: the example shows every one with its default, all faults are told at once, and
// settings that contradict each other are refused.
#include "gateway/settings/node_settings.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "gateway/settings/leave_bound.h"
#include "temporary_file.h"

namespace ladderstream::gateway {
namespace {

using settings::SettingFault;
using settings::SettingOverride;
using settings::SettingsError;

const std::string kExample =
    std::string(LADDERSTREAM_SOURCE_DIR) + "/examples/ladderstream_node.toml";

const std::vector<SettingOverride> kRequired = {{"node.name", "a"},
                                                {"node.zone", "z"},
                                                {"listen.callers", "10.0.0.1:1"},
                                                {"listen.readiness", "10.0.0.1:2"},
                                                {"listen.peers", "10.0.0.1:3"},
                                                {"store.address", "10.0.0.2:4"}};

std::vector<SettingFault> FaultsOf(const std::string& path,
                                   const std::vector<SettingOverride>& overrides) {
  try {
    LoadNodeSettings(path, overrides);
  } catch (const SettingsError& error) {
    return error.faults();
  }
  return {};
}

NodeSettings LoadWith(const std::vector<SettingOverride>& more) {
  std::vector<SettingOverride> overrides = kRequired;
  overrides.insert(overrides.end(), more.begin(), more.end());
  return LoadNodeSettings("", overrides);
}

/// Checks that `overrides` contradict each other, and that the fault names `key`.
void CheckInconsistent(const std::vector<SettingOverride>& overrides, const std::string& key) {
  const std::vector<SettingFault> faults = FaultsOf(kExample, overrides);
  const bool found = std::any_of(faults.begin(), faults.end(), [&](const SettingFault& fault) {
    return fault.code == ResultCode::kInconsistentSettings && fault.key.rfind(key, 0) == 0;
  });
  BOOST_TEST(found, "no fault about " << key);
}

/// The names of the example's settings, those behind "# " included.
std::vector<std::string> ExampleNames() {
  std::ifstream file(kExample);
  std::vector<std::string> names;
  std::string section;
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("# ", 0) == 0) {
      line = line.substr(2);
    }
    const size_t equals = line.find(" = ");
    if (line.rfind('[', 0) == 0) {
      section = line.substr(1, line.find(']') - 1);
    } else if (equals != std::string::npos && line.find(' ') == equals) {
      names.push_back(absl::StrCat(section, ".", line.substr(0, equals)));
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

BOOST_AUTO_TEST_SUITE(node_settings)

BOOST_AUTO_TEST_CASE(the_example_shows_the_defaults) {
  const NodeSettings shown = LoadNodeSettings(kExample, {});
  const NodeSettings defaults = LoadWith({});
  BOOST_TEST(shown.limits.memory_mb == defaults.limits.memory_mb);
  BOOST_TEST(shown.store.row_bytes == defaults.store.row_bytes);
  BOOST_TEST((shown.bounds.stop_grace == defaults.bounds.stop_grace));
  BOOST_TEST((shown.bounds.maximum_hold == defaults.bounds.maximum_hold));
  BOOST_TEST((shown.ownership.lease == defaults.ownership.lease));
  BOOST_TEST((shown.ownership.lease_renewal == defaults.ownership.lease_renewal));
  BOOST_TEST((shown.ownership.hold == defaults.ownership.hold));
  BOOST_TEST((shown.ownership.hold_renewal == defaults.ownership.hold_renewal));
  BOOST_TEST((shown.ownership.slack == defaults.ownership.slack));
  BOOST_TEST((shown.ownership.heartbeat_timeout == defaults.ownership.heartbeat_timeout));
  BOOST_TEST((shown.ownership.order_timeout == defaults.ownership.order_timeout));
  BOOST_TEST((shown.ownership.store_timeout == defaults.ownership.store_timeout));
  BOOST_TEST((shown.ownership.partition_interval == defaults.ownership.partition_interval));
  BOOST_TEST((shown.ownership.challenge_delay == defaults.ownership.challenge_delay));
  BOOST_TEST(shown.limits.link_mbps == defaults.limits.link_mbps);
  BOOST_TEST((shown.membership.coordinator_timeout == defaults.membership.coordinator_timeout));
  BOOST_TEST((shown.membership.confirmation == defaults.membership.confirmation));
  BOOST_TEST((shown.membership.member_lifetime == defaults.membership.member_lifetime));
  BOOST_TEST((shown.forwarding.expiry_grace == defaults.forwarding.expiry_grace));
  BOOST_TEST(shown.forwarding.max_wait_share == defaults.forwarding.max_wait_share);
  BOOST_TEST(shown.forwarding.admission_floor == defaults.forwarding.admission_floor);
}

BOOST_AUTO_TEST_CASE(a_floor_that_starves_a_rank_or_exceeds_all_is_refused) {
  for (const char* floor : {"0", "1.5"}) {
    std::vector<SettingOverride> overrides = kRequired;
    overrides.push_back({"forwarding.admission_floor", floor});
    const std::vector<SettingFault> faults = FaultsOf(kExample, overrides);
    BOOST_REQUIRE_EQUAL(faults.size(), 1U);
    BOOST_TEST(faults[0].key == "forwarding.admission_floor");
  }
  BOOST_TEST(LoadWith({{"forwarding.admission_floor", "1"}}).forwarding.admission_floor == 1);
}

BOOST_AUTO_TEST_CASE(source_host_that_is_no_address_is_refused) {
  std::vector<SettingOverride> overrides = kRequired;
  overrides.push_back({"node.source_host", "rennes-1"});
  BOOST_TEST(FaultsOf(kExample, overrides).size() == 1U);
  BOOST_TEST(LoadWith({{"node.source_host", "10.0.0.7"}}).source_host == "10.0.0.7");
}

BOOST_AUTO_TEST_CASE(other_nodes_are_told_where_to_reach_this_one) {
  const ListenAddresses direct = LoadWith({}).listen;
  BOOST_TEST((direct.own_peer_address() == direct.peers));
  const ListenAddresses relayed = LoadWith({{"listen.peers_advertised", "10.9.9.9:7"}}).listen;
  BOOST_TEST(FormatEndpoint(relayed.own_peer_address()) == "10.9.9.9:7");
  BOOST_TEST((relayed.peers == direct.peers));
}

BOOST_AUTO_TEST_CASE(what_stands_between_a_leave_and_the_last_request_fits_into_the_drain_time) {
  for (const char* drain_time : {"700ms", "1s", "2s", "2500ms", "3s", "10s"}) {
    const NodeSettings loaded = LoadWith({{"bounds.drain_time", drain_time}});
    const LeaveBound bound =
        LeaveBoundOf(loaded.membership.relay, loaded.forwarding.connect_timeout);
    BOOST_TEST((bound.Total() <= loaded.bounds.drain_time), drain_time);
    BOOST_TEST((loaded.forwarding.drain_time == loaded.bounds.drain_time));
    // An owner that leaves is given some of it for its keys to move, never all.
    BOOST_TEST((loaded.forwarding.drain_serving < loaded.bounds.drain_time));
  }
}

BOOST_AUTO_TEST_CASE(the_example_shows_every_setting) {
  // The fault of an unknown setting lists the settings of its section.
  std::vector<std::string> known;
  for (const char* section :
       {"node", "listen", "membership", "limits", "store", "bounds", "ownership", "forwarding"}) {
    const auto faults = FaultsOf(kExample, {{absl::StrCat(section, ".colour"), "blue"}});
    BOOST_TEST_REQUIRE(faults.size() == 1U);
    BOOST_TEST((faults[0].code == ResultCode::kUnknownSetting));
    std::string list = faults[0].allowed.substr(std::string("one of ").size());
    for (size_t comma = list.find(", "); comma != std::string::npos; comma = list.find(", ")) {
      known.push_back(list.substr(0, comma));
      list = list.substr(comma + 2);
    }
    known.push_back(list);
  }
  std::sort(known.begin(), known.end());
  const std::vector<std::string> shown = ExampleNames();
  BOOST_TEST(shown == known, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(all_faults_are_told_at_once) {
  const TemporaryFile file(
      "[node]\n"
      "name = 7\n"
      "log_level = \"loud\"\n"
      "colour = \"blue\"\n"
      "[listen]\n"
      "callers = \"server.example:80\"\n"
      "[limits]\n"
      "descriptors = -1\n"
      "[store]\n"
      "writes_per_second = \"many\"\n"
      "[bounds]\n"
      "maximum_hold = 10\n");
  std::vector<std::string> keys;
  for (const SettingFault& fault : FaultsOf(file.path(), {})) {
    keys.push_back(fault.key);
  }
  std::sort(keys.begin(), keys.end());
  const std::vector<std::string> expected = {
      "bounds.maximum_hold", "limits.descriptors", "listen.callers",         "listen.peers",
      "listen.readiness",    "node.colour",        "node.log_level",         "node.name",
      "node.zone",           "store.address",      "store.writes_per_second"};
  BOOST_TEST(keys == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(settings_that_contradict_each_other_are_refused) {
  CheckInconsistent({{"listen.peers", "127.0.0.1:8000"}}, "listen.callers, listen.peers");
  CheckInconsistent({{"listen.metrics", "127.0.0.1:8001"}}, "listen.readiness, listen.metrics");
  // One renewal of the lease without an answer has to bring no challenge.
  CheckInconsistent({{"ownership.lease_renewal", "1400ms"}}, "ownership.unrenewed_patience =");
  CheckInconsistent({{"ownership.lease", "2400ms"}}, "ownership.unrenewed_patience =");
  CheckInconsistent({{"ownership.heartbeat_timeout", "2500ms"}}, "ownership.heartbeat_timeout");
  CheckInconsistent({{"ownership.heartbeat_timeout", "600ms"}}, "ownership.heartbeat_timeout");
  // A hold has to survive the change of coordinators.
  CheckInconsistent({{"ownership.unrenewed_patience", "2850ms"}}, "ownership.hold =");
  CheckInconsistent({{"ownership.hold_renewal", "2100ms"}}, "ownership.hold =");
  CheckInconsistent({{"ownership.hold", "10100ms"}}, "ownership.hold =");
  CheckInconsistent({{"membership.longest_report_interval", "2900ms"}}, "membership.confirmation");
  CheckInconsistent({{"membership.confirmation", "3300ms"}}, "membership.confirmation");
  CheckInconsistent({{"membership.member_lifetime", "2900ms"}}, "membership.member_lifetime");
  CheckInconsistent({{"membership.shortest_report_interval", "1600ms"}},
                    "membership.shortest_report_interval");
  CheckInconsistent({{"store.transaction_time", "600ms"}}, "store.transaction_time");
  CheckInconsistent({{"limits.descriptors", "255"}}, "limits.descriptors");
}

BOOST_AUTO_TEST_CASE(a_weak_machine_leaves_the_lease_to_others_for_a_moment) {
  const auto delay_of = [](const std::vector<SettingOverride>& more) {
    return LoadWith(more).ownership.challenge_delay;
  };
  const Duration weak = delay_of({{"limits.cpu_share", "0.1"}});
  BOOST_TEST((weak > absl::ZeroDuration()));
  BOOST_TEST((weak < LoadWith({}).ownership.heartbeat_timeout));
  BOOST_TEST((delay_of({{"limits.link_mbps", "10"}}) > absl::ZeroDuration()));
  BOOST_TEST((delay_of({{"limits.cpu_share", "0.1"}, {"ownership.challenge_delay", "5ms"}}) ==
              absl::Milliseconds(5)));
}

BOOST_AUTO_TEST_CASE(times_shrink_to_fit_into_a_short_hold) {
  for (const char* maximum_hold : {"10s", "4500ms", "2s", "1s"}) {
    const NodeSettings loaded = LoadWith({{"bounds.maximum_hold", maximum_hold}});
    BOOST_TEST((loaded.ownership.hold <= loaded.bounds.maximum_hold), maximum_hold);
  }
  const NodeSettings chosen =
      LoadWith({{"bounds.maximum_hold", "3s"}, {"ownership.hold", "2900ms"}});
  BOOST_TEST((chosen.ownership.hold == absl::Milliseconds(2900)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
