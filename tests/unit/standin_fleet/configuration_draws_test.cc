// Drawn changes of the configuration: every one is sound, and the node takes every way to write it.
#include "standin/fleet/configuration_draws.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "core/changes/validation.h"
#include "platform/adapter.h"
#include "standin/fleet/configuration_encoding.h"
#include "standin/fleet/deployments.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr int kVersions = 300;

const interfaces::PlatformAdapterPtr kAdapter = platform::MakeAdapter();

struct Drawn {
  explicit Drawn(uint64_t seed) : draws(seed), random(seed) {
    Deployment deployment = SmallDeployment();
    AddUnaskedServices(&deployment);
    configuration = deployment.fleet.configuration;
    configuration.version = 1;
    draws.AddFirstRoutes(&configuration);
  }

  void Change() {
    ++configuration.version;
    draws.Change(random(), &random, &configuration);
  }

  ConfigurationDraws draws;
  std::mt19937_64 random;
  catalog::Configuration configuration;
};

/// Routes by name and nothing that a row does not hold.
catalog::Configuration Sorted(catalog::Configuration configuration) {
  std::sort(configuration.routes.begin(), configuration.routes.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  for (auto& [name, service] : configuration.services) {
    service.warmup = service.sharded ? service.warmup : absl::ZeroDuration();
  }
  for (catalog::Route& route : configuration.routes) {
    if (route.targets.size() == 1) {
      route.targets.front().weight = 1;
    }
  }
  return configuration;
}

/// What the node makes of a row, or why it refuses it.
std::string Refusal(const std::string& row, const catalog::Configuration& expected) {
  try {
    return Sorted(kAdapter->DecodeConfiguration(row)) == Sorted(expected) ? "" : "taken as another";
  } catch (const Error& error) {
    return error.what();
  }
}

BOOST_AUTO_TEST_SUITE(configuration_draws)

BOOST_AUTO_TEST_CASE(drawn_changes_are_sound_and_touch_every_part) {
  Drawn drawn(1);
  std::set<std::string> hosts;
  std::set<uint32_t> priorities;
  std::set<uint32_t> attempts;
  std::set<std::string> services;
  std::set<size_t> header_limits;
  std::set<size_t> route_counts;
  for (int version = 0; version < kVersions; ++version) {
    drawn.Change();
    BOOST_TEST_REQUIRE(changes::Validate(drawn.configuration).empty());
    header_limits.insert(drawn.configuration.limits.max_header_bytes);
    route_counts.insert(drawn.configuration.routes.size() / 100);
    for (const catalog::Route& route : drawn.configuration.routes) {
      hosts.insert(route.host);
      priorities.insert(route.priority);
      attempts.insert(route.max_attempts);
      services.insert(route.targets.front().service);
    }
  }
  BOOST_TEST(hosts.size() > 5U);
  BOOST_TEST(priorities.size() == 4U);
  BOOST_TEST(attempts.size() == 4U);
  BOOST_TEST(services.size() == 5U);
  BOOST_TEST(header_limits.size() == 3U);
  BOOST_TEST(route_counts.size() == 2U);
}

// Guards against a configuration that the store has taken and a node refuses for the way in which
// it is written, so that the version before stays in force at every node.
BOOST_AUTO_TEST_CASE(every_way_to_write_a_configuration_is_taken) {
  Drawn drawn(2);
  for (int version = 0; version < kVersions; ++version) {
    drawn.Change();
    const std::string row =
        EncodeConfiguration(drawn.configuration, 1, DrawEncoding(&drawn.random));
    const std::string refusal = Refusal(row, drawn.configuration);
    BOOST_TEST_REQUIRE(refusal.empty(), refusal << ": " << row.substr(0, 1000));
  }
}

BOOST_AUTO_TEST_CASE(a_damaged_row_is_refused) {
  const Drawn drawn(3);
  for (int damage = 0; damage < static_cast<int>(ConfigurationDamage::kCount); ++damage) {
    const std::string row =
        EncodeDamaged(drawn.configuration, static_cast<ConfigurationDamage>(damage));
    BOOST_CHECK_THROW(kAdapter->DecodeConfiguration(row), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
