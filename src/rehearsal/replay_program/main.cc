// ladderstream_replay: replays recorded traces on simulated time against stated outcomes.
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

#include "rehearsal/replay/day.h"
#include "rehearsal/replay/expectation.h"
#include "rehearsal/replay/replayer.h"
#include "rehearsal/report.h"
#include "wire/result_code.h"

DEFINE_string(trace, "", "trace to replay");
DEFINE_string(expected, "", "its stated outcome; empty: only the verdict is printed");
DEFINE_string(make_day, "", "write the compressed day of this deployment to --trace instead");
DEFINE_uint64(seed, 1, "of the day that is made");

namespace ladderstream::rehearsal {
namespace {

constexpr int kBadCommandLine = 2;
constexpr char kVersion[] = "0.1.0";
constexpr char kUsage[] =
    "Replays a trace on simulated time and compares the verdict with a stated outcome.\n"
    "exit codes: 0 as stated; 1 otherwise; 2 bad flags or files";

template <typename Stream>
Stream Open(const std::string& path) {
  Stream stream(path);
  if (!stream) {
    throw Error(ResultCode::kInvalidSetting, "cannot open \"" + path + "\"");
  }
  return stream;
}

int Run() {
  if (!FLAGS_make_day.empty()) {
    auto output = Open<std::ofstream>(FLAGS_trace);
    WriteTrace(MakeDay(FindDeployment(FLAGS_make_day), {.seed = FLAGS_seed}), output);
    return EXIT_SUCCESS;
  }
  auto input = Open<std::ifstream>(FLAGS_trace);
  const Verdict verdict = Judge(Replay(ReadTrace(input)));
  std::cout << VerdictTable(verdict) << ResultLine("REPLAY", verdict) << std::endl;
  if (FLAGS_expected.empty()) {
    return verdict.IsClean() ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  auto expected = Open<std::ifstream>(FLAGS_expected);
  const std::vector<std::string> misses = FindMisses(ReadExpectation(expected), verdict);
  for (const std::string& miss : misses) {
    std::cout << "not as stated: " << miss << "\n";
  }
  return misses.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace ladderstream::rehearsal

int main(int argc, char** argv) {
  gflags::SetUsageMessage(ladderstream::rehearsal::kUsage);
  gflags::SetVersionString(ladderstream::rehearsal::kVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  try {
    return ladderstream::rehearsal::Run();
  } catch (const std::exception& error) {
    std::cerr << "ERROR: " << error.what() << "\n";
    return ladderstream::rehearsal::kBadCommandLine;
  }
}
