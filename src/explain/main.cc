// ladderstream_explain: from the logs of all nodes, what happened to one request and why, or what
// became of all of them.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <string>

#include "explain/explanation.h"
#include "explain/outcomes.h"
#include "explain/report.h"
#include "logging/log.h"
#include "settings/program_flags.h"

DEFINE_string(request, "", "the id of the request");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(outcomes, false, "sum up all requests by outcome and cause instead");
DEFINE_double(interval_s, 1, "with --outcomes: the time within which most of them are looked for");
DEFINE_double(window_s, 10, "beliefs that changed this many seconds before the request are shown");

namespace ladderstream::explain {
namespace {

constexpr char kUsage[] =
    "Explains what happened to a request, from the logs of all nodes.\n"
    "  ladderstream_explain --request=ID FILE...    (\"-\" reads standard input)\n"
    "  ladderstream_explain --outcomes FILE...      sums up all requests by outcome and cause\n"
    "Exit codes: 0 explained, 1 no line names the request, 2 bad command line, 3 a file cannot be\n"
    "read (what the others tell is printed).";

constexpr int kExplained = 0;
constexpr int kNotFound = 1;
constexpr int kUnreadable = 3;

int Refuse(const std::string& message) {
  std::cerr << "ladderstream_explain: " << message << "; see --help.\n";
  return settings::kExitBadUsage;
}

/// False if the file cannot be opened or not be read to its end.
template <typename Reader>
bool ReadFile(const std::string& path, Reader* reader) {
  if (path == "-") {
    reader->Read(std::cin);
    return true;
  }
  std::ifstream file(path);
  if (file) {
    reader->Read(file);
  }
  if (!file.is_open() || file.bad()) {
    std::cerr << "ladderstream_explain: cannot read " << path << ".\n";
    return false;
  }
  return true;
}

template <typename Reader>
bool ReadFiles(int argc, char** argv, Reader* reader) {
  bool all_read = true;
  for (int i = 1; i < argc; ++i) {
    all_read = ReadFile(argv[i], reader) && all_read;
  }
  return all_read;
}

int SumUp(int argc, char** argv) {
  Outcomes outcomes(absl::Seconds(FLAGS_interval_s));
  const bool all_read = ReadFiles(argc, argv, &outcomes);
  if (FLAGS_output == "json") {
    WriteOutcomesAsJson(outcomes, std::cout);
  } else {
    WriteOutcomes(outcomes, std::cout);
  }
  if (!all_read) {
    return kUnreadable;
  }
  return outcomes.Rows().empty() ? kNotFound : kExplained;
}

int Run(int argc, char** argv) {
  if (FLAGS_request.empty() && !FLAGS_outcomes) {
    return Refuse("--request is missing");
  }
  if (!FLAGS_request.empty() && FLAGS_outcomes) {
    return Refuse("--request and --outcomes exclude each other");
  }
  if (!(FLAGS_interval_s > 0)) {
    return Refuse("--interval_s must be above 0");
  }
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return Refuse("--output=" + FLAGS_output + " is neither table nor json");
  }
  if (!(FLAGS_window_s >= 0)) {
    return Refuse("--window_s must be 0 or more");
  }
  if (argc < 2) {
    return Refuse("no log file is given");
  }
  if (FLAGS_outcomes) {
    return SumUp(argc, argv);
  }
  Explanation explanation(
      {FLAGS_request.substr(0, kLongestLogValue), absl::Seconds(FLAGS_window_s)});
  const bool all_read = ReadFiles(argc, argv, &explanation);
  const std::vector<RequestTimeline> timelines = explanation.Timelines();
  if (FLAGS_output == "json") {
    WriteJson(explanation, timelines, std::cout);
  } else {
    WriteTable(explanation, timelines, std::cout);
  }
  if (!all_read) {
    return kUnreadable;
  }
  return timelines.empty() ? kNotFound : kExplained;
}

}  // namespace
}  // namespace ladderstream::explain

int main(int argc, char** argv) {
  ladderstream::settings::ParseProgramFlags(ladderstream::explain::kUsage, "explain/main", &argc,
                                            &argv);
  return ladderstream::explain::Run(argc, argv);
}
