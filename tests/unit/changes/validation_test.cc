// Validation reports every fault of a configuration together, each with the path of its field.
#include "core/changes/validation.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "sample_configuration.h"

namespace ladderstream::changes {
namespace {

/// A modification that makes one field invalid, and the field path that the fault must name.
struct InvalidField {
  std::string field;
  std::function<void(catalog::Configuration&)> apply;
};

const std::vector<InvalidField> kInvalidFields = {
    {"services[cards].health_path", [](auto& c) { c.services["cards"].health_path = "health"; }},
    {"services[cards].max_connections",
     [](auto& c) { c.services["cards"].max_connections = 70000; }},
    {"services[cards].warmup_ms", [](auto& c) { c.services["cards"].warmup = absl::Hours(2); }},
    {"services[a b].name", [](auto& c) { c.services["a b"] = SampleService("a b"); }},
    {"routes[].name", [](auto& c) { c.routes.push_back(SampleRoute("", "cards")); }},
    {"routes[read].host", [](auto& c) { c.routes[0].host = "Example.org"; }},
    {"routes[read].path_prefix", [](auto& c) { c.routes[0].path_prefix = "/read"; }},
    {"routes[pay].path_prefix", [](auto& c) { c.routes[1].path_prefix = "/read/"; }},
    {"routes[read].timeout_ms", [](auto& c) { c.routes[0].timeout = absl::ZeroDuration(); }},
    {"routes[read].target_latency_ms",
     [](auto& c) { c.routes[0].target_latency = absl::Hours(2); }},
    {"routes[read].max_attempts", [](auto& c) { c.routes[0].max_attempts = 0; }},
    {"routes[read].priority", [](auto& c) { c.routes[0].priority = 1001; }},
    {"routes[read].targets.count", [](auto& c) { c.routes[0].targets.clear(); }},
    {"routes[read].targets[none].service",
     [](auto& c) { c.routes[0].targets[0].service = "none"; }},
    {"routes[read].targets[scripts].weight", [](auto& c) { c.routes[0].targets[0].weight = -1; }},
    {"routes[read].targets",
     [](auto& c) { c.routes[0].targets[0].weight = std::numeric_limits<double>::quiet_NaN(); }},
    {"routes[read].targets[scripts].service",
     [](auto& c) { c.routes[0].targets.push_back(c.routes[0].targets[0]); }},
    {"limits.max_header_bytes", [](auto& c) { c.limits.max_header_bytes = 10; }},
    {"limits.max_body_bytes", [](auto& c) { c.limits.max_body_bytes = 0; }},
    {"limits.idle_timeout_ms", [](auto& c) { c.limits.idle_timeout = absl::Hours(2); }},
};

bool NamesField(const std::vector<ConfigurationFault>& faults, const std::string& field) {
  return std::any_of(faults.begin(), faults.end(),
                     [&](const ConfigurationFault& fault) { return fault.field == field; });
}

BOOST_AUTO_TEST_SUITE(validation)

BOOST_AUTO_TEST_CASE(a_valid_configuration_has_no_faults) {
  BOOST_TEST(Validate(SampleConfiguration()).empty());
}

BOOST_AUTO_TEST_CASE(an_invalid_field_is_named) {
  for (const InvalidField& invalid : kInvalidFields) {
    catalog::Configuration configuration = SampleConfiguration();
    invalid.apply(configuration);
    BOOST_TEST(NamesField(Validate(configuration), invalid.field), invalid.field);
  }
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once) {
  catalog::Configuration configuration = SampleConfiguration();
  configuration.routes[0].host = "";
  configuration.routes[1].max_attempts = 99;
  configuration.limits.max_body_bytes = 0;
  BOOST_TEST(Validate(configuration).size() == 3U);
}

BOOST_AUTO_TEST_CASE(operation_id_syntax) {
  BOOST_TEST(IsOperationId("deploy-1.2_x"));
  BOOST_TEST(!IsOperationId(""));
  BOOST_TEST(!IsOperationId("a/b"));
  BOOST_TEST(!IsOperationId(std::string(65, 'a')));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::changes
