#include "node/load_exchange.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::node {
namespace {

load::ServiceLoad MakeLoad(const std::string& service) {
  load::ServiceLoad load;
  load.service = service;
  load.samples.push_back({"backend-1", 2, absl::Milliseconds(90)});
  load.declined.push_back({"backend-2", absl::Seconds(3)});
  return load;
}

BOOST_AUTO_TEST_CASE(OnlyLoadsOfShardedServicesAreReported) {
  catalog::Configuration configuration;
  configuration.services["keyed"].sharded = true;
  configuration.services["plain"].sharded = false;
  const std::vector<load::ServiceLoad> loads = {MakeLoad("plain"), MakeLoad("keyed"),
                                                MakeLoad("undeclared")};
  const auto reports = ToReports(loads, &configuration);
  BOOST_TEST_REQUIRE(reports.size() == 1);
  BOOST_TEST(reports.front().service == "keyed");
  BOOST_TEST(reports.front().busy_us.front() == 90'000);
  BOOST_TEST(reports.front().declined_by.front() == "backend-2");
  BOOST_TEST(reports.front().backoff_ms.front() == 3000);
  BOOST_TEST(ToReports(loads, nullptr).empty());
}

}  // namespace
}  // namespace ladderstream::node
