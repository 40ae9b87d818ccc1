// The platform stand-in keeps its promises and fails as it is told to.
#include "standin/platform/platform.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::standin {
namespace {

const Endpoint kAnyEndpoint{"127.0.0.1", 0};

struct Fixture {
  Fixture()
      : platform({kAnyEndpoint, kAnyEndpoint, kAnyEndpoint, kAnyEndpoint}),
        table(platform.table().host, platform.table().port),
        control(platform.control().host, platform.control().port) {}

  // Gives the parsed answer; null when none came.
  nlohmann::json Transact(const std::string& body) {
    const auto answer = table.Post("/v1/transaction", body, "application/json");
    return answer ? nlohmann::json::parse(answer->body, nullptr, false) : nlohmann::json();
  }

  void Control(const std::string& change) {
    const auto answer = control.Post("/control", change, "application/json");
    BOOST_REQUIRE(answer);
    BOOST_REQUIRE_EQUAL(answer->status, 200);
  }

  Platform platform;
  httplib::Client table;
  httplib::Client control;
};

constexpr char kCreate[] =
    R"({"reads":["k"],"conditions":[{"key":"k","version":"0"}],"writes":[{"key":"k","value":"YQ=="}]})";
constexpr char kRead[] = R"({"reads":["k"]})";

BOOST_FIXTURE_TEST_SUITE(platform, Fixture)

BOOST_AUTO_TEST_CASE(condition_that_does_not_hold_changes_nothing) {
  BOOST_TEST(Transact(kCreate).at("committed") == true);
  const nlohmann::json second = Transact(kCreate);
  BOOST_TEST(second.at("committed") == false);
  BOOST_TEST(second.at("rows").at(0).at("version") == "1");
}

BOOST_AUTO_TEST_CASE(lost_answer_comes_after_the_write) {
  Control(R"({"target":"table","lose_answers":1})");
  BOOST_TEST(Transact(kCreate).is_null());
  BOOST_TEST(Transact(kRead).at("rows").at(0).at("version") == "1");
}

BOOST_AUTO_TEST_CASE(service_that_is_down_comes_back_with_its_rows) {
  // An idle kept-alive connection must not hold the service up.
  table.set_keep_alive(true);
  Transact(kCreate);
  Control(R"({"target":"table","down":true})");
  BOOST_TEST(Transact(kRead).is_null());
  Control(R"({"target":"table","down":false})");
  BOOST_TEST(Transact(kRead).at("rows").at(0).at("value") == "YQ==");
}

BOOST_AUTO_TEST_CASE(rate_limit_is_answered_with_429) {
  Control(R"({"target":"table","rate_limit":1})");
  const auto first = table.Post("/v1/transaction", kRead, "application/json");
  const auto second = table.Post("/v1/transaction", kRead, "application/json");
  BOOST_REQUIRE(second);
  BOOST_TEST(second->status == 429);
  BOOST_TEST(second->has_header("Retry-After"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(machine_list_shows_the_past) {
  MachineList list(absl::Seconds(2));
  const absl::Time start = absl::UnixEpoch();
  list.Register({{"name", "m1"}, {"state", "live"}}, start);
  list.Register({{"name", "m1"}, {"state", "leaving"}}, start + absl::Seconds(1));
  BOOST_TEST(list.Read(start).at("machines").empty());
  BOOST_TEST(list.Read(start + absl::Seconds(2)).at("machines").at(0).at("state") == "live");
  BOOST_TEST(list.Read(start + absl::Seconds(3)).at("machines").at(0).at("state") == "leaving");
}

}  // namespace
}  // namespace ladderstream::standin
