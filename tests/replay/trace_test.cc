// Traces and their bounds are read, or refused with the place.
#include "trace.h"

#include <absl/strings/match.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <sstream>
#include <string>

#include "replayer.h"
#include "wire/result_code.h"

namespace ladderstream::replay {
namespace {

constexpr char kHeader[] = R"({"trace":2,"nodes":2,"length_ms":10,"services":{"cards":2}})";

std::string FaultOf(const std::string& line) {
  std::istringstream input(std::string(kHeader) + "\n" + line);
  try {
    ReadTrace(input);
  } catch (const Error& error) {
    return error.what();
  }
  return "";
}

BOOST_AUTO_TEST_SUITE(trace)

BOOST_AUTO_TEST_CASE(events_are_read) {
  BOOST_TEST(FaultOf(R"({"at_ms":1,"event":"requests","service":"cards","keys":[1,2]})").empty());
  BOOST_TEST(
      FaultOf(R"({"at_ms":1,"event":"kill_backend","target":"cards-01","for_ms":5})").empty());
  BOOST_TEST(FaultOf(R"({"at_ms":1,"event":"table_down","for_ms":5})").empty());
}

BOOST_AUTO_TEST_CASE(what_is_wrong_is_named) {
  BOOST_TEST(absl::StrContains(FaultOf(R"({"at_ms":1,"event":"set_fire","for_ms":5})"), "line 2"));
  BOOST_TEST(!FaultOf(R"({"at_ms":1,"event":"requests","service":"none","keys":[1]})").empty());
  BOOST_TEST(!FaultOf(R"({"at_ms":1,"event":"kill_node","target":"node-2","for_ms":5})").empty());
  std::istringstream headless(R"({"at_ms":1,"event":"table_down","for_ms":5})");
  BOOST_CHECK_THROW(ReadTrace(headless), Error);
  std::istringstream bounds(R"({"min_in_time_share":0.9})");
  BOOST_CHECK_THROW(ReadExpectation(bounds), Error);
}

BOOST_AUTO_TEST_CASE(each_bound_that_is_missed_is_told) {
  const Expectation expectation = {
      .in_time_share = 0.9, .imbalance = 2, .churn = 1, .unavailable = absl::Seconds(1)};
  const Outcome within = {.requests = 100,
                          .in_time = 90,
                          .imbalance = 2,
                          .churn = 1,
                          .unavailable = absl::Seconds(1),
                          .violations = {}};
  BOOST_TEST(FindMisses(expectation, within).empty());
  const Outcome beyond = {.requests = 100,
                          .in_time = 89,
                          .imbalance = 2.1,
                          .churn = 1.1,
                          .unavailable = absl::Seconds(2),
                          .violations = {"two owners"}};
  BOOST_TEST(FindMisses(expectation, beyond).size() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::replay
