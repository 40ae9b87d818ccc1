// Every fault of a configuration is found, at its field.
#include "core/configuration/validation.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>

#include "sample_configuration.h"

namespace ladderstream::configuration {
namespace {

/// One way to spoil the sample, and the one fault that must be found.
struct Spoiled {
  std::string field;
  ResultCode code;
  std::function<void(Configuration&)> spoil;
};

std::ostream& operator<<(std::ostream& out, const Spoiled& spoiled) { return out << spoiled.field; }

constexpr ResultCode kInvalid = ResultCode::kInvalidConfiguration;
constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

const std::vector<Spoiled>& AllSpoiled() {
  static const std::vector<Spoiled> all = {
      {"services[scripts].range_count", kInvalid, [](auto& c) { c.services[0].range_count = 3; }},
      {"services[scripts].range_count", kInvalid, [](auto& c) { c.services[0].range_count = 0; }},
      {"services[scripts].range_count", kInvalid,
       [](auto& c) { c.services[0].range_count = 2 * kMaxRangeCount; }},
      {"services[Big].name", kInvalid,
       [](auto& c) { c.services.push_back(SampleService("Big", "big/")); }},
      {"services[cards].name", ResultCode::kAlreadyExists,
       [](auto& c) { c.services.push_back(SampleService("cards", "more/")); }},
      {"services[scripts].routing", kInvalid,
       [](auto& c) { c.services[0].routing = static_cast<RoutingKind>(0); }},
      {"services[scripts].key_prefixes.count", kInvalid,
       [](auto& c) { c.services[0].key_prefixes.clear(); }},
      {"services[cards].key_prefixes[script/vip]", ResultCode::kKeysOverlap,
       [](auto& c) { c.services[1].key_prefixes = {"script/vip"}; }},
      {"services[scripts].requests.count", kInvalid, [](auto& c) { c.services[0].requests = {}; }},
      {"services[scripts].requests[read].name", kInvalid,
       [](auto& c) { c.services[0].requests.push_back(c.services[0].requests[0]); }},
      {"services[scripts].requests[read].priority", kInvalid,
       [](auto& c) { c.services[0].requests[0].priority = static_cast<Priority>(9); }},
      {"services[scripts].requests[read].default_deadline_ms", kInvalid,
       [](auto& c) { c.services[0].requests[0].default_deadline_ms = 0; }},
      {"services[scripts].limits.max_queue", kInvalid,
       [](auto& c) { c.services[0].limits.max_queue = 0; }},
      {"services[scripts].limits.retry_budget_permille", kInvalid,
       [](auto& c) { c.services[0].limits.retry_budget_permille = 1001; }},
      {"services[scripts].weights.churn", kInvalid,
       [](auto& c) { c.services[0].weights.churn = kInfinity; }},
      {"services[scripts].weights.imbalance", kInvalid,
       [](auto& c) { c.services[0].weights.imbalance = kNan; }},
      {"services[scripts].weights.unavailable_time", kInvalid,
       [](auto& c) { c.services[0].weights.unavailable_time = -1; }},
      {"services[scripts].weights", kInvalid,
       [](auto& c) {
         c.services[0].weights = {0, 0, 0};
       }},
      {"backends[scripts-1].service", ResultCode::kUnknownName,
       [](auto& c) { c.backends[0].service = ServiceName("none"); }},
      {"backends[cards-1].id", ResultCode::kAlreadyExists,
       [](auto& c) { c.backends.push_back(SampleBackend("cards-1", "cards", 9009)); }},
      {"backends[cards-1].endpoint", ResultCode::kAlreadyExists,
       [](auto& c) { c.backends[1].endpoint.port = 9001; }},
      {"backends[scripts-1].endpoint", kInvalid,
       [](auto& c) { c.backends[0].endpoint.host = "server.example"; }},
      {"backends[scripts-1].slots", kInvalid, [](auto& c) { c.backends[0].slots = 0; }},
      {"backends[scripts-1].max_connections", kInvalid,
       [](auto& c) { c.backends[0].max_connections = 1; }},
      {"backends[scripts-1].zone", kInvalid, [](auto& c) { c.backends[0].zone = ""; }},
  };
  return all;
}

BOOST_AUTO_TEST_SUITE(validation)

BOOST_AUTO_TEST_CASE(a_sound_configuration_has_no_fault) {
  BOOST_TEST(Validate(SampleConfiguration()).empty());
  BOOST_TEST(Validate(Configuration()).empty());
}

BOOST_DATA_TEST_CASE(each_fault_is_found_alone, boost::unit_test::data::make(AllSpoiled()),
                     spoiled) {
  Configuration configuration = SampleConfiguration();
  spoiled.spoil(configuration);
  const std::vector<ConfigurationFault> faults = Validate(configuration);
  BOOST_TEST_REQUIRE(faults.size() == 1U);
  BOOST_TEST(faults[0].field == spoiled.field);
  BOOST_TEST((faults[0].code == spoiled.code));
  BOOST_TEST(!faults[0].allowed.empty());
}

BOOST_AUTO_TEST_CASE(all_faults_are_given_at_once) {
  Configuration configuration = SampleConfiguration();
  configuration.services[0].range_count = 3;
  configuration.services[0].limits.max_queue = 0;
  configuration.services[1].weights.churn = kNan;
  configuration.services[1].key_prefixes = {"script/vip"};
  configuration.backends[0].slots = 0;
  configuration.backends[1].service = ServiceName("none");
  constexpr size_t kSpoiledFields = 6;
  BOOST_TEST(Validate(configuration).size() == kSpoiledFields);
}

BOOST_AUTO_TEST_CASE(an_overlap_is_found_past_prefixes_in_between) {
  Configuration configuration = SampleConfiguration();
  configuration.services[0].key_prefixes = {"a", "c"};
  configuration.services[1].key_prefixes = {"ab", "b", "cd"};
  const auto faults = Validate(configuration);
  BOOST_TEST_REQUIRE(faults.size() == 2U);
  BOOST_TEST(faults[0].value == "ab");
  BOOST_TEST(faults[1].value == "cd");
}

BOOST_AUTO_TEST_CASE(an_address_that_could_not_be_read_is_shown_as_it_was_written) {
  Configuration configuration = SampleConfiguration();
  configuration.backends[0].endpoint = {"nowhere", 0};
  BOOST_TEST(Validate(configuration).at(0).value == "nowhere");
}

BOOST_AUTO_TEST_CASE(operation_ids_are_plain) {
  BOOST_TEST(IsOperationId("deploy-2026.12_a"));
  BOOST_TEST(!IsOperationId(""));
  BOOST_TEST(!IsOperationId("a/b"));
  BOOST_TEST(!IsOperationId(std::string(65, 'a')));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::configuration
