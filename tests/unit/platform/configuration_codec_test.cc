// The operator's configuration and the registrations of back ends: unknown fields are left alone,
// wrong ones are refused with their place.
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "platform/adapter.h"
#include "wire/result_code.h"

namespace ladderstream::platform {
namespace {

using nlohmann::json;

const interfaces::PlatformAdapterPtr kAdapter = MakeAdapter();

const char kConfiguration[] =
    R"({"version":"r7","routes":{)"
    R"("r-9n73hh2":{"host":"jepu9.example","path_prefix":"/lepu270/","kind":"safe","timeout_s":1.2,)"
    R"("target_latency_s":0.2,"priority":2,"traffic_split":[{"service":"huvo11a","weight":90},)"
    R"({"service":"kafi81c","weight":10}],"max_attempts":2},)"
    R"("r-b9wu3fe":{"host":"hulo84.example","path_prefix":"/xapu221/ny95/","kind":"unsafe",)"
    R"("timeout_s":0.8,"target_latency_s":0.25,"priority":1,"service":"wuno96b","max_attempts":2}},)"
    R"("services":{"huvo11a":{"health_path":"/health","max_conns":130,"protocol":"h1","tls":false,)"
    R"("sharded":true,"warmup_s":2.5,"cold_s":3.5,"cold_per_s":4.2,"grants":"direct"},)"
    R"("kafi81c":{"health_path":"/health","max_conns":130,"protocol":"h1","tls":false}},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,)"
    R"("idle_timeout_s":15},"base_version":"r5"})";

const char kBackend[] =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"rennes-a","version":"v1",)"
    R"("slots":2,"state":"ready","cold_left_s":1.5,"seq":4})";

/// `text` with the value at `pointer` replaced by `value`; "" removes it.
std::string Replace(const char* text, const std::string& pointer, const std::string& value) {
  json document = json::parse(text);
  const json::json_pointer place(pointer);
  if (value.empty()) {
    document.at(place.parent_pointer()).erase(place.back());
  } else {
    document[place] = json::parse(value);
  }
  return document.dump();
}

std::string ConfigurationFault(const std::string& text) {
  try {
    kAdapter->DecodeConfiguration(text);
  } catch (const Error& error) {
    BOOST_TEST((error.code() == ResultCode::kInvalidConfiguration));
    return error.what();
  }
  return "none";
}

std::string BackendFault(const std::string& text) {
  try {
    interfaces::ReadingNotes notes;
    kAdapter->DecodeBackend("i-1", text, &notes);
  } catch (const Error& error) {
    BOOST_TEST((error.code() == ResultCode::kMalformedMessage));
    return error.what();
  }
  return "none";
}

void CheckConfigurationFault(const std::string& pointer, const std::string& value) {
  const std::string fault = ConfigurationFault(Replace(kConfiguration, pointer, value));
  BOOST_TEST(absl::StartsWith(fault, pointer), pointer << " = " << value << ": " << fault);
}

BOOST_AUTO_TEST_SUITE(configuration_codec)

BOOST_AUTO_TEST_CASE(a_configuration_is_read_whole) {
  const catalog::Configuration read = kAdapter->DecodeConfiguration(kConfiguration);
  BOOST_TEST(read.version == 7U);
  BOOST_TEST_REQUIRE(read.routes.size() == 2U);
  const catalog::Route& split = read.routes[0];
  BOOST_TEST(split.name == "r-9n73hh2");
  BOOST_TEST(split.host == "jepu9.example");
  BOOST_TEST(split.path_prefix == "/lepu270/");
  BOOST_TEST((split.repeatability == catalog::Repeatability::kRepeatable));
  BOOST_TEST((split.timeout == absl::Milliseconds(1200)));
  BOOST_TEST((split.target_latency == absl::Milliseconds(200)));
  BOOST_TEST(split.priority == 2U);
  BOOST_TEST(split.max_attempts == 2U);
  const std::vector<catalog::RouteTarget> parts = {{"huvo11a", 90}, {"kafi81c", 10}};
  BOOST_TEST((split.targets == parts));
  const std::vector<catalog::RouteTarget> whole = {{"wuno96b", 1}};
  BOOST_TEST((read.routes[1].targets == whole));
  BOOST_TEST((read.routes[1].repeatability == catalog::Repeatability::kAtMostOnce));
  const catalog::Service& sharded = read.services.at("huvo11a");
  BOOST_TEST(sharded.name == "huvo11a");
  BOOST_TEST(sharded.health_path == "/health");
  BOOST_TEST(sharded.max_connections == 130U);
  BOOST_TEST(sharded.sharded);
  BOOST_TEST((sharded.warmup == absl::Milliseconds(2500)));
  BOOST_TEST((sharded.cold_time == absl::Milliseconds(3500)));
  BOOST_TEST(sharded.cold_requests_per_second == 4.2);
  BOOST_TEST(!read.services.at("kafi81c").sharded);
  BOOST_TEST(read.limits.max_header_bytes == 16384U);
  BOOST_TEST(read.limits.max_body_bytes == 67108864U);
  BOOST_TEST((read.limits.header_timeout == absl::Seconds(3)));
  BOOST_TEST((read.limits.idle_timeout == absl::Seconds(15)));
}

BOOST_AUTO_TEST_CASE(what_is_written_is_read_back) {
  const catalog::Configuration read = kAdapter->DecodeConfiguration(kConfiguration);
  catalog::Configuration next = read;
  next.version = 8;
  next.routes[0].timeout = absl::InfiniteDuration();
  next.routes[0].targets = {{"huvo11a", 1}};
  next.routes[1].targets = {{"huvo11a", 1}, {"kafi81c", 3}};
  next.services.at("huvo11a").sharded = false;
  next.limits.max_body_bytes = 4096;
  for (const char* const previous : {"", kConfiguration}) {
    const std::string written = kAdapter->EncodeConfiguration(next, previous);
    BOOST_TEST((kAdapter->DecodeConfiguration(written) == next));
  }
}

BOOST_AUTO_TEST_CASE(fields_that_the_product_does_not_know_stay) {
  catalog::Configuration next = kAdapter->DecodeConfiguration(kConfiguration);
  next.version = 8;
  next.routes.erase(next.routes.begin());
  const json written = json::parse(kAdapter->EncodeConfiguration(next, kConfiguration));
  BOOST_TEST(written["version"] == "r8");
  BOOST_TEST(written["base_version"] == "r7");
  BOOST_TEST(written["services"]["huvo11a"]["grants"] == "direct");
  BOOST_TEST(written["services"]["kafi81c"]["protocol"] == "h1");
  BOOST_TEST(!written["routes"].contains("r-9n73hh2"));
  BOOST_CHECK_THROW(kAdapter->EncodeConfiguration(next, "[]"), Error);
}

BOOST_AUTO_TEST_CASE(a_service_that_is_only_named_by_a_route_has_the_defaults) {
  const catalog::Configuration read = kAdapter->DecodeConfiguration(kConfiguration);
  BOOST_TEST_REQUIRE(read.services.contains("wuno96b"));
  BOOST_TEST(read.services.at("wuno96b").name == "wuno96b");
  BOOST_TEST(!read.services.at("wuno96b").sharded);
}

BOOST_AUTO_TEST_CASE(what_may_be_left_out_has_the_defaults) {
  const catalog::Configuration read = kAdapter->DecodeConfiguration(
      R"({"version":"r1","services":{},"routes":{"a":{"host":"h","path_prefix":"/",)"
      R"("kind":"later","service":"s","timeout_s":null}}})");
  const catalog::Route& route = read.routes.at(0);
  BOOST_TEST((route.timeout == absl::InfiniteDuration()));
  BOOST_TEST((route.target_latency == absl::InfiniteDuration()));
  BOOST_TEST(route.max_attempts == 1U);
  // Only what is declared safe may run more than once.
  BOOST_TEST((route.repeatability == catalog::Repeatability::kAtMostOnce));
  BOOST_TEST((read.limits == catalog::Limits{}));
}

BOOST_AUTO_TEST_CASE(versions_are_told_by_their_number) {
  const auto version_of = [](const std::string& version) {
    return kAdapter->DecodeConfiguration(Replace(kConfiguration, "/version", '"' + version + '"'))
        .version;
  };
  BOOST_TEST(version_of("r12") == 12U);
  BOOST_TEST(version_of("r18446744073709551615") == 18446744073709551615U);
  for (const char* version : {"\"\"", "\"r\"", "\"12\"", "\"r-1\"", "\"r+1\"", "\"r 1\"", "\"r0\"",
                              "\"r1x\"", "\"r18446744073709551616\"", "12", "null"}) {
    CheckConfigurationFault("/version", version);
  }
}

BOOST_AUTO_TEST_CASE(a_fault_names_its_place) {
  CheckConfigurationFault("/routes", "[]");
  CheckConfigurationFault("/routes", "");
  CheckConfigurationFault("/services", "7");
  CheckConfigurationFault("/routes/r-9n73hh2", "\"text\"");
  CheckConfigurationFault("/routes/r-9n73hh2/host", "\"\"");
  CheckConfigurationFault("/routes/r-9n73hh2/path_prefix", "\"lepu/\"");
  CheckConfigurationFault("/routes/r-9n73hh2/path_prefix", "\"/lepu\"");
  CheckConfigurationFault("/routes/r-9n73hh2/kind", "");
  CheckConfigurationFault("/routes/r-9n73hh2/timeout_s", "\"1.2\"");
  CheckConfigurationFault("/routes/r-9n73hh2/timeout_s", "-0.1");
  CheckConfigurationFault("/routes/r-9n73hh2/timeout_s", "1e300");
  CheckConfigurationFault("/routes/r-9n73hh2/max_attempts", "0");
  CheckConfigurationFault("/routes/r-9n73hh2/max_attempts", "4294967296");
  CheckConfigurationFault("/routes/r-9n73hh2/priority", "1.5");
  CheckConfigurationFault("/routes/r-9n73hh2/traffic_split", "[]");
  CheckConfigurationFault("/routes/r-9n73hh2/traffic_split", "{}");
  CheckConfigurationFault("/routes/r-9n73hh2/traffic_split/1/weight", "-1");
  CheckConfigurationFault("/routes/r-9n73hh2/traffic_split/0/service", "null");
  CheckConfigurationFault("/routes/r-b9wu3fe/service", "");
  CheckConfigurationFault("/services/huvo11a/sharded", "1");
  CheckConfigurationFault("/services/huvo11a/warmup_s", "true");
  CheckConfigurationFault("/services/huvo11a/cold_s", "-1");
  CheckConfigurationFault("/services/huvo11a/cold_per_s", "\"few\"");
  CheckConfigurationFault("/limits/max_body_bytes", "0");
  CheckConfigurationFault("/limits/idle_timeout_s", "[1]");
  const std::string slash = R"({"version":"r1","services":{},"routes":{"a/b~c":7}})";
  BOOST_TEST(ConfigurationFault(slash) == "/routes/a~1b~0c: want an object, found 7");
}

BOOST_AUTO_TEST_CASE(a_fault_tells_what_was_wanted_and_what_was_found) {
  const auto fault = [](const char* pointer, const std::string& value) {
    return ConfigurationFault(Replace(kConfiguration, pointer, value));
  };
  BOOST_TEST(fault("/routes/r-9n73hh2/max_attempts", "2.5") ==
             "/routes/r-9n73hh2/max_attempts: want a whole number from 1 to 4294967295, found 2.5");
  BOOST_TEST(fault("/routes/r-9n73hh2/kind", "") ==
             "/routes/r-9n73hh2/kind: want a value, found nothing");
  const std::string longest =
      fault("/routes/r-9n73hh2/path_prefix", '"' + std::string(5000, 'a') + '"');
  BOOST_TEST(longest.size() < 200U, longest);
}

// Guards against a configuration that is refused, and so not in force, for a fraction of zero.
BOOST_AUTO_TEST_CASE(a_whole_number_may_have_a_fraction_of_zero) {
  const catalog::Configuration read = kAdapter->DecodeConfiguration(
      Replace(kConfiguration, "/routes/r-9n73hh2/max_attempts", "2.0"));
  BOOST_TEST((read == kAdapter->DecodeConfiguration(kConfiguration)));
  CheckConfigurationFault("/routes/r-9n73hh2/max_attempts", "-2.0");
  CheckConfigurationFault("/limits/max_body_bytes", "1e40");
}

BOOST_AUTO_TEST_CASE(hostile_configurations_are_refused) {
  const auto unparsed = [](size_t bytes) {
    return absl::StrCat("want JSON, found ", bytes, " bytes that cannot be parsed from byte ",
                        bytes + 1, " on");
  };
  BOOST_TEST(ConfigurationFault("") == unparsed(0));
  BOOST_TEST(ConfigurationFault("{\"version\":\"r1\"") == unparsed(15));
  BOOST_TEST(ConfigurationFault(std::string(1U << 20U, '[')) == unparsed(1U << 20U));
  BOOST_TEST(ConfigurationFault("[]") == "/: want an object, found a list of 0 entries");
  BOOST_TEST(ConfigurationFault(R"({"version":1e400})") ==
             "want JSON, found a number out of range");
  const std::string large(17U << 20U, ' ');
  BOOST_TEST(absl::StrContains(ConfigurationFault(large), "at most"));
}

BOOST_AUTO_TEST_CASE(a_registration_is_read_whole) {
  interfaces::ReadingNotes notes;
  const catalog::Backend backend = kAdapter->DecodeBackend("i-7f3a91c2", kBackend, &notes);
  catalog::Backend expected;
  expected.id = "i-7f3a91c2";
  expected.service = "huvo11a";
  expected.address = Endpoint{"10.128.0.9", 8080};
  expected.zone = "rennes-a";
  expected.slots = 2;
  expected.cold_left = absl::Milliseconds(1500);
  BOOST_TEST((backend == expected));
  const std::string draining = Replace(kBackend, "/state", "\"draining\"");
  BOOST_TEST(kAdapter->DecodeBackend("i-1", draining, &notes).draining);
  BOOST_TEST(notes.empty());
}

BOOST_AUTO_TEST_CASE(a_fault_of_a_registration_names_its_place) {
  const auto check = [](const std::string& pointer, const std::string& value) {
    const std::string fault = BackendFault(Replace(kBackend, pointer, value));
    BOOST_TEST(absl::StartsWith(fault, pointer), pointer << " = " << value << ": " << fault);
  };
  for (const char* address : {"\"10.128.0.9\"", "\"10.128.0.9:0\"", "\"10.128.0.9:70000\"",
                              "\"name.example:80\"", "\"10.128.0:80\"", "80"}) {
    check("/address", address);
  }
  check("/state", "\"gone\"");
  for (const char* field : {"/service", "/address", "/zone", "/slots", "/state"}) {
    check(field, "");
    for (const char* value : {"null", "[]", "{}", "true"}) {
      check(field, value);
    }
  }
  check("/service", "\"\"");
  check("/slots", "\"2\"");
  check("/zone", "7");
  check("/cold_left_s", "\"soon\"");
  for (const char* value : {"\"1764720000000\"", "1.5", "0", "-1", "true", "[1764720000000]"}) {
    check("/born", value);
  }
}

BOOST_AUTO_TEST_CASE(bytes_of_another_writer_are_no_registration) {
  for (const char* bytes : {"", "\xff\xfe", "r7", "[]", "7", "{\"service\":", "{}"}) {
    BOOST_TEST(BackendFault(bytes) != "none", bytes);
  }
}

BOOST_AUTO_TEST_CASE(each_start_of_a_back_end_is_another_incarnation) {
  interfaces::ReadingNotes notes;
  const auto read = [&notes](const std::string& born) {
    return kAdapter->DecodeBackend("i-1", Replace(kBackend, "/born", born), &notes);
  };
  const catalog::Backend first = read("1764720000000");
  const catalog::Backend second = read("1764720001500");
  BOOST_TEST(first.started_at_ms == 1764720000000U);
  BOOST_TEST(first.id != second.id);
  ownership::GrantAction grant;
  grant.backend = second.id;
  BOOST_TEST(kAdapter->EncodeGrant(grant).headers.back().second == "i-1");
  BOOST_TEST(notes.empty());
}

BOOST_AUTO_TEST_CASE(a_registration_is_of_use_without_what_is_not_understood) {
  const auto check = [](const std::string& pointer, const std::string& value) {
    interfaces::ReadingNotes notes;
    const catalog::Backend backend =
        kAdapter->DecodeBackend("i-1", Replace(kBackend, pointer, value), &notes);
    BOOST_TEST(backend.service == "huvo11a");
    BOOST_TEST_REQUIRE(notes.size() == 1U, pointer << " = " << value);
    BOOST_TEST(absl::StartsWith(notes.front(), pointer), notes.front());
  };
  check("/slots", "0");
  check("/slots", "-2");
  check("/slots", "4294967297");
  check("/cold_left_s", "-1");
}

BOOST_AUTO_TEST_CASE(only_the_rows_of_evacuations_name_a_zone) {
  BOOST_TEST(kAdapter->EvacuatedZoneOf("evacuate/rennes-a").value() == "rennes-a");
  for (const char* key : {"config", "evacuate", "evacuate/", "evacuated/rennes-a", ""}) {
    BOOST_TEST(!kAdapter->EvacuatedZoneOf(key).has_value(), key);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::platform
