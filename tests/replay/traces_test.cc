// Replays every recorded trace against its stated outcome: traces/NAME.trace and
// traces/NAME.expected.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <set>

#include "rehearsal/replay/expectation.h"
#include "rehearsal/replay/replayer.h"
#include "rehearsal/report.h"

namespace ladderstream::rehearsal {
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

Verdict ReplayFile(const std::filesystem::path& path) {
  std::ifstream input(path);
  return Judge(Replay(ReadTrace(input)));
}

BOOST_AUTO_TEST_SUITE(traces)

BOOST_AUTO_TEST_CASE(end_as_stated) {
  BOOST_TEST(FindTraces().size() >= 4);
  for (std::filesystem::path path : FindTraces()) {
    const Verdict verdict = ReplayFile(path);
    BOOST_TEST_MESSAGE(path.filename().string() << ": " << ResultLine("REPLAY", verdict));
    std::ifstream expected(path.replace_extension(".expected"));
    for (const std::string& miss : FindMisses(ReadExpectation(expected), verdict)) {
      BOOST_ERROR(path.stem().string() << ": " << miss);
    }
  }
}

BOOST_AUTO_TEST_CASE(give_the_same_verdict_every_time) {
  Trace day;
  {
    std::ifstream input(*FindTraces().begin());
    day = ReadTrace(input);
  }
  BOOST_TEST(VerdictTable(Judge(Replay(day))) == VerdictTable(Judge(Replay(day))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::rehearsal
