#include "rehearsal/trace.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "rehearsal/replay/day.h"
#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

std::string Write(const Trace& trace) {
  std::ostringstream output;
  WriteTrace(trace, output);
  return output.str();
}

BOOST_AUTO_TEST_SUITE(trace)

BOOST_AUTO_TEST_CASE(reads_what_it_wrote) {
  const Trace day = MakeDay(TirolDeployment(), {.seed = 5, .length = absl::Seconds(24)});
  BOOST_TEST(day.batches.size() > 50);
  BOOST_TEST(day.faults.size() == 8);
  std::istringstream input(Write(day));
  BOOST_TEST(Write(ReadTrace(input)) == Write(day));
}

BOOST_AUTO_TEST_CASE(makes_the_same_day_from_the_same_seed) {
  const DaySettings settings{.seed = 5, .length = absl::Seconds(24)};
  BOOST_TEST(Write(MakeDay(TirolDeployment(), settings)) ==
             Write(MakeDay(TirolDeployment(), settings)));
  BOOST_TEST(Write(MakeDay(TirolDeployment(), settings)) !=
             Write(MakeDay(TirolDeployment(), {.seed = 6, .length = absl::Seconds(24)})));
}

BOOST_AUTO_TEST_CASE(names_the_line_that_is_wrong) {
  std::istringstream input(
      R"({"trace":1,"deployment":"tirol","nodes":3,"length_ms":10,"origin":"","seed":1}
{"at_ms":1,"event":"set_fire","for_ms":5})");
  try {
    ReadTrace(input);
    BOOST_FAIL("a bad trace was read");
  } catch (const Error& error) {
    BOOST_TEST(std::string(error.what()).find("line 2") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(refuses_a_trace_without_its_first_line) {
  std::istringstream input(R"({"at_ms":1,"event":"table_down","for_ms":5})");
  BOOST_CHECK_THROW(ReadTrace(input), Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::rehearsal
