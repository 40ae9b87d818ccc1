// The daemon's settings: the example loads with the defaults, and every fault is named at once.
#include "settings/daemon_settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

namespace ladderstream::settings {
namespace {

const std::string kExample = std::string(LADDERSTREAM_SOURCE_DIR) + "/examples/ladderstreamd.toml";

/// A settings file that is removed at the end of a test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content)
      : path_(std::filesystem::temp_directory_path() /
              ("ladderstream-settings-" + std::to_string(getpid()) + ".toml")) {
    std::ofstream(path_) << content;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }

  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

std::vector<SettingFault> FaultsOf(const std::string& path,
                                   const std::vector<SettingOverride>& overrides) {
  try {
    LoadDaemonSettings(path, overrides);
  } catch (const SettingsError& error) {
    return error.faults();
  }
  return {};
}

const SettingFault* FindFault(const std::vector<SettingFault>& faults, const std::string& key) {
  const auto found = std::find_if(faults.begin(), faults.end(),
                                  [&](const SettingFault& fault) { return fault.key == key; });
  return found == faults.end() ? nullptr : &*found;
}

BOOST_AUTO_TEST_SUITE(daemon_settings)

BOOST_AUTO_TEST_CASE(node_listens_for_peers_at_its_peer_address_unless_told_otherwise) {
  const SettingOverride peer{"node.peer", "10.0.0.1:7009"};
  const DaemonSettings direct = LoadDaemonSettings(kExample, {peer});
  BOOST_TEST(FormatEndpoint(direct.peer_listen) == "10.0.0.1:7009");
  const DaemonSettings forwarded =
      LoadDaemonSettings(kExample, {peer, {"node.peer_listen", "10.0.0.2:7010"}});
  BOOST_TEST(FormatEndpoint(forwarded.authority.self.peer) == "10.0.0.1:7009");
  BOOST_TEST(FormatEndpoint(forwarded.peer_listen) == "10.0.0.2:7010");
}

BOOST_AUTO_TEST_CASE(the_example_loads_and_shows_the_defaults) {
  const DaemonSettings loaded = LoadDaemonSettings(kExample, {});
  BOOST_TEST(loaded.name == "rennes-1");
  BOOST_TEST(FormatEndpoint(loaded.operators) == "127.0.0.1:9000");
  BOOST_TEST(loaded.seeds.size() == 3U);
  BOOST_TEST(loaded.seeds[1].peer.port == 7001);
  BOOST_TEST(loaded.seeds[1].id == NodeId());
  BOOST_TEST(loaded.authority.self.zone == "rennes");
  BOOST_TEST(loaded.authority.group == GroupId(1));
  const DaemonSettings defaults;
  BOOST_TEST((loaded.authority.backend_lease == defaults.authority.backend_lease));
  BOOST_TEST((loaded.authority.recovery_delay == defaults.authority.recovery_delay));
  BOOST_TEST(
      (loaded.authority.replication.leader_lease == defaults.authority.replication.leader_lease));
  BOOST_TEST(loaded.data_path.max_connections == defaults.data_path.max_connections);
  BOOST_TEST((loaded.data_path.body_timeout == defaults.data_path.body_timeout));
}

BOOST_AUTO_TEST_CASE(the_command_line_goes_before_the_file) {
  const DaemonSettings loaded =
      LoadDaemonSettings(kExample, {{"node.name", "brest-2"},
                                    {"node.peer", "127.0.0.1:7500"},
                                    {"node.seeds", "[\"127.0.0.1:7500\"]"},
                                    {"group.voter_count", "5"},
                                    {"group.store_poll_interval", "900ms"}});
  BOOST_TEST(loaded.name == "brest-2");
  BOOST_TEST(loaded.peer.port == 7500);
  BOOST_TEST(loaded.seeds.size() == 1U);
  BOOST_TEST(loaded.authority.voter_count == 5U);
  BOOST_TEST((loaded.authority.store_poll_interval == absl::Milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(all_faults_are_named_at_once) {
  const TemporaryFile file(
      "[node]\n"
      "name = \"\"\n"
      "zone = \"rennes\"\n"
      "peer = \"server.example:7000\"\n"
      "http = \"127.0.0.1:99999\"\n"
      "operators = 9000\n"
      "seeds = [\"127.0.0.1:7000\", \"nowhere\"]\n"
      "log_level = \"loud\"\n"
      "colour = \"blue\"\n"
      "[group]\n"
      "voter_count = 9\n"
      "pull_interval = \"soon\"\n");
  const std::vector<SettingFault> faults = FaultsOf(file.path(), {{"limits.max_connections", "x"}});
  const auto check = [&](const std::string& key, ResultCode code, const std::string& value,
                         const std::string& place) {
    const SettingFault* const fault = FindFault(faults, key);
    BOOST_TEST_REQUIRE(fault != nullptr, key << " is missing");
    BOOST_TEST((fault->code == code), key);
    BOOST_TEST(fault->value == value);
    BOOST_TEST(fault->place == place);
    BOOST_TEST(!fault->allowed.empty());
  };
  const std::string at = file.path() + ":";
  check("node.name", ResultCode::kInvalidSetting, "\"\"", at + "2");
  check("node.region", ResultCode::kMissingSetting, "", "");
  check("node.peer", ResultCode::kInvalidSetting, "\"server.example:7000\"", at + "4");
  check("node.http", ResultCode::kInvalidSetting, "\"127.0.0.1:99999\"", at + "5");
  check("node.operators", ResultCode::kInvalidSetting, "9000", at + "6");
  check("node.metrics", ResultCode::kMissingSetting, "", "");
  check("node.seeds[1]", ResultCode::kInvalidSetting, "\"nowhere\"", at + "7");
  check("node.log_level", ResultCode::kInvalidSetting, "\"loud\"", at + "8");
  check("node.colour", ResultCode::kUnknownSetting, "\"blue\"", at + "9");
  check("group.voter_count", ResultCode::kInvalidSetting, "9", at + "11");
  check("group.pull_interval", ResultCode::kInvalidSetting, "\"soon\"", at + "12");
  check("limits.max_connections", ResultCode::kInvalidSetting, "x", "--set");
  check("platform.table_service", ResultCode::kMissingSetting, "", "");
  constexpr size_t kSpoiledSettings = 13;
  BOOST_TEST(faults.size() == kSpoiledSettings);
}

BOOST_AUTO_TEST_CASE(an_unknown_setting_is_shown_its_neighbours) {
  const auto faults = FaultsOf(kExample, {{"node.zones", "rennes"}, {"colour", "blue"}});
  BOOST_TEST_REQUIRE(faults.size() == 2U);
  BOOST_TEST(faults[0].key == "colour");
  BOOST_TEST(faults[0].allowed ==
             "settings of the sections group, limits, node, platform, replication");
  BOOST_TEST(faults[1].key == "node.zones");
  BOOST_TEST(faults[1].allowed.find("node.zone") != std::string::npos);
  BOOST_TEST(faults[1].allowed.find("group.") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(durations_are_checked_against_each_other) {
  const auto faults = FaultsOf(kExample, {{"replication.leader_lease", "400ms"}});
  BOOST_TEST_REQUIRE(faults.size() == 1U);
  BOOST_TEST((faults[0].code == ResultCode::kInconsistentSettings));
  BOOST_TEST(faults[0].allowed.find("leader_lease") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(one_address_for_two_purposes_is_inconsistent) {
  const auto faults = FaultsOf(kExample, {{"node.http", "127.0.0.1:7000"}});
  BOOST_TEST_REQUIRE(faults.size() == 1U);
  BOOST_TEST((faults[0].code == ResultCode::kInconsistentSettings));
  BOOST_TEST(faults[0].key == "node.peer, node.http = \"127.0.0.1:7000\"");
}

BOOST_AUTO_TEST_CASE(a_file_that_is_not_toml_names_its_line) {
  const TemporaryFile file("[node]\nname = \"a\"\nzone = = 3\n");
  const auto faults = FaultsOf(file.path(), {});
  BOOST_TEST_REQUIRE(!faults.empty());
  BOOST_TEST((faults[0].code == ResultCode::kUnreadableSettings));
  BOOST_TEST(faults[0].place == file.path() + ":3");
}

BOOST_AUTO_TEST_CASE(a_missing_file_is_unreadable) {
  const auto faults = FaultsOf("/nonexistent/settings.toml", {});
  BOOST_TEST_REQUIRE(!faults.empty());
  BOOST_TEST((faults[0].code == ResultCode::kUnreadableSettings));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::settings
