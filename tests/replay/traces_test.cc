// Replays every recorded trace against its stated outcome: traces/NAME.trace and
// traces/NAME.expected.
#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>

#include "replayer.h"
#include "trace.h"

namespace ladderstream::replay {
namespace {

std::set<std::filesystem::path> FindTraces() {
  std::set<std::filesystem::path> traces;
  const std::filesystem::path directory = std::filesystem::path(LADDERSTREAM_SOURCE_DIR) / "traces";
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    if (entry.path().extension() == ".trace") {
      traces.insert(entry.path());
    }
  }
  return traces;
}

std::string ResultLine(const Outcome& outcome) {
  return absl::StrCat("requests=", outcome.requests, " in_time=", outcome.in_time,
                      " imbalance=", outcome.imbalance, " churn=", outcome.churn,
                      " unavailable_ms=", absl::ToInt64Milliseconds(outcome.unavailable),
                      " violations=", outcome.violations.size());
}

Outcome ReplayFile(const std::filesystem::path& path) {
  std::ifstream input(path);
  const Trace trace = ReadTrace(input);
  return Replayer(trace).Run();
}

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(end_as_stated) {
  BOOST_TEST(FindTraces().size() >= 4);
  for (std::filesystem::path path : FindTraces()) {
    const Outcome outcome = ReplayFile(path);
    BOOST_TEST_MESSAGE(path.stem().string() << ": " << ResultLine(outcome));
    std::ifstream expected(path.replace_extension(".expected"));
    for (const std::string& miss : FindMisses(ReadExpectation(expected), outcome)) {
      BOOST_ERROR(path.stem().string() << ": " << miss);
    }
  }
}

BOOST_AUTO_TEST_CASE(give_the_same_outcome_every_time) {
  const std::filesystem::path first = *FindTraces().begin();
  BOOST_TEST(ResultLine(ReplayFile(first)) == ResultLine(ReplayFile(first)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::replay
