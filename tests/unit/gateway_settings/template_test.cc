// The settings template, filled with a platform's fields, gives settings that the node accepts.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "gateway/settings/node_settings.h"
#include "template_renderer.h"
#include "temporary_file.h"

namespace ladderstream::gateway {
namespace {

/// Templates see the fields as plain tables, without the sections of a settings file.
const char kFields[] =
    "grants=direct\n"
    "node_name=front-rennes-a-1\n"
    "role=my-front\n"
    "machine_class=front\n"
    "serves=front,control\n"
    "ip=10.1.0.34\n"
    "zone=rennes-a\n"
    "region=bretagne\n"
    "loss_counts=false\n"
    "bootstrap=true\n"
    "limits.cpu_share=0.2\n"
    "limits.cores=1\n"
    "limits.memory_mb=260\n"
    "limits.max_fds=4100\n"
    "limits.link_mbps=1000.0\n"
    "limits.disk_mb=0\n"
    "listen.front=10.1.0.34:8548\n"
    "listen.readiness=10.1.0.34:8542\n"
    "listen.control=10.1.0.34:8544\n"
    "port_range=7540,7555\n"
    "seeds=10.1.0.34:8544,10.2.0.34:8544,10.3.0.15:8544\n"
    "zones.rennes-a=bretagne\n"
    "discovery=platform\n"
    "entry=vip\n"
    "heartbeat_s=1.3\n"
    "platform.address=10.200.1.7:8541\n"
    "platform.form=table\n"
    "platform.writes_per_s=400\n"
    "platform.reads_per_s=2000\n"
    "platform.tx_s=0.003\n"
    "platform.part_writes_per_s=300\n"
    "platform.row_bytes=65536\n"
    "platform.across=true\n"
    "platform.history_s=20\n"
    "contracts=base,drain,config,cost,retry,recover,own,platform\n"
    "bounds.reuse_after_s=2\n"
    "bounds.drain_s=2\n"
    "bounds.evacuate_s=5\n"
    "bounds.cold_overshoot=1.5\n"
    "bounds.cold_slack=8\n"
    "bounds.grace_s=6\n"
    "bounds.config_apply_s=2\n"
    "bounds.retry_budget_ratio=0.2\n"
    "bounds.budget_window_s=10\n"
    "bounds.retry_budget_slack=62\n"
    "bounds.recovery_s=15\n"
    "bounds.max_hold_s=10\n";

std::string ReadTemplate() {
  std::ifstream file(std::string(LADDERSTREAM_SOURCE_DIR) + "/deploy/node.toml.template");
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

NodeSettings Load(const nlohmann::json& fields) {
  const TemporaryFile file(RenderTemplate(ReadTemplate(), fields));
  return LoadNodeSettings(file.path(), {});
}

BOOST_AUTO_TEST_SUITE(node_template)

BOOST_AUTO_TEST_CASE(every_field_of_the_platform_reaches_its_setting) {
  const NodeSettings loaded = Load(ReadFields(kFields));
  BOOST_TEST(loaded.name == "front-rennes-a-1");
  BOOST_TEST(loaded.zone == "rennes-a");
  BOOST_TEST(loaded.region == "bretagne");
  BOOST_TEST(FormatEndpoint(loaded.listen.callers) == "10.1.0.34:8548");
  BOOST_TEST(FormatEndpoint(loaded.listen.readiness) == "10.1.0.34:8542");
  BOOST_TEST(FormatEndpoint(loaded.listen.peers) == "10.1.0.34:8544");
  BOOST_TEST_REQUIRE(loaded.listen.metrics.has_value());
  BOOST_TEST(loaded.listen.metrics->host == "10.1.0.34");
  BOOST_TEST_REQUIRE(loaded.membership.seeds.size() == 3U);
  BOOST_TEST(FormatEndpoint(loaded.membership.seeds[2]) == "10.3.0.15:8544");
  BOOST_TEST(loaded.limits.cpu_share == 0.2);
  BOOST_TEST(loaded.limits.memory_mb == 260U);
  BOOST_TEST(loaded.limits.descriptors == 4100U);
  BOOST_TEST(loaded.limits.link_mbps == 1000);
  BOOST_TEST(FormatEndpoint(loaded.store.address) == "10.200.1.7:8541");
  BOOST_TEST(loaded.store.writes_per_second == 400);
  BOOST_TEST(loaded.store.reads_per_second == 2000);
  BOOST_TEST(loaded.store.partition_writes_per_second == 300);
  BOOST_TEST((loaded.store.transaction_time == absl::Milliseconds(3)));
  BOOST_TEST(loaded.store.row_bytes == 65536U);
}

BOOST_AUTO_TEST_CASE(every_bound_of_the_platform_reaches_its_setting) {
  const NodeSettings loaded = Load(ReadFields(kFields));
  const PlatformBounds& bounds = loaded.bounds;
  BOOST_TEST((bounds.drain_time == absl::Seconds(2)));
  BOOST_TEST((bounds.evacuation_time == absl::Seconds(5)));
  BOOST_TEST(bounds.cold_overshoot == 1.5);
  BOOST_TEST(bounds.cold_slack == 8.0);
  BOOST_TEST((bounds.stop_grace == absl::Seconds(6)));
  BOOST_TEST((bounds.maximum_hold == absl::Seconds(10)));
  BOOST_TEST(loaded.forwarding.zone == "rennes-a");
  BOOST_TEST((loaded.forwarding.drain_serving == absl::Milliseconds(1200)));
  BOOST_TEST(loaded.forwarding.budget_ratio == 0.2);
  BOOST_TEST(loaded.forwarding.budget_slack == 62);
  BOOST_TEST((loaded.forwarding.budget_window == absl::Seconds(10)));
}

BOOST_AUTO_TEST_CASE(bounds_that_a_platform_does_not_give_have_the_defaults) {
  nlohmann::json fields = ReadFields(kFields);
  fields["bounds"] = nlohmann::json::object();
  fields.erase("seeds");
  const NodeSettings loaded = Load(fields);
  BOOST_TEST((loaded.bounds.maximum_hold == PlatformBounds{}.maximum_hold));
  BOOST_TEST(loaded.membership.seeds.empty());
}

BOOST_AUTO_TEST_CASE(names_with_quotes_stay_one_setting) {
  nlohmann::json fields = ReadFields(kFields);
  fields["node_name"] = "front \"1\"\nzone = \"x\"";
  BOOST_TEST(Load(fields).name == "front \"1\"\nzone = \"x\"");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
