// ladderstream_rehearse: runs a whole deployment on this machine, under load and faults, and
// judges.
#include <gflags/gflags.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "rehearsal/report.h"
#include "rehearsal/scenario.h"
#include "wire/result_code.h"

DEFINE_string(scenario, "demo", "demo, chaos or overhead");
DEFINE_string(deployment, "bretagne", "bretagne or tirol");
DEFINE_double(seconds, 15, "how long the load lasts");
DEFINE_uint64(seed, 1, "of the load and the faults");
DEFINE_double(rate, 0, "calls per second of all callers together; 0 for the deployment's own");
DEFINE_uint32(nodes_per_zone, 1, "nodes in each of the three zones");
DEFINE_bool(caller_delays, true, "delay what callers send and get, as the deployment has it");
DEFINE_bool(keep_files, false, "leave settings, logs and records in place");
DEFINE_string(record_trace, "", "write the run as a trace to this file, for ladderstream_replay");
DEFINE_string(binaries, "", "where the programs are; empty: beside this one");

namespace ladderstream::rehearsal {
namespace {

constexpr int kBadCommandLine = 2;
constexpr char kVersion[] = "0.1.0";
constexpr char kUsage[] =
    "Rehearses a deployment of ladderstream: real processes, load, faults, a verdict.\n"
    "exit codes: 0 nothing wrong, doubled or lost; 1 otherwise; 2 bad flags";

RehearsalSettings ReadSettings() {
  if (FLAGS_seconds <= 0) {
    throw Error(ResultCode::kInvalidSetting, "--seconds: want more than 0");
  }
  if (FLAGS_nodes_per_zone == 0) {
    throw Error(ResultCode::kInvalidSetting, "--nodes_per_zone: want 1 or more");
  }
  RehearsalSettings settings;
  settings.cluster.deployment = FindDeployment(FLAGS_deployment);
  settings.cluster.binaries = FLAGS_binaries.empty()
                                  ? std::filesystem::read_symlink("/proc/self/exe").parent_path()
                                  : std::filesystem::path(FLAGS_binaries);
  settings.cluster.nodes_per_zone = FLAGS_nodes_per_zone;
  settings.cluster.seed = FLAGS_seed;
  settings.cluster.caller_delays = FLAGS_caller_delays;
  settings.length = absl::Seconds(FLAGS_seconds);
  settings.seed = FLAGS_seed;
  settings.rate = FLAGS_rate;
  settings.keep_files = FLAGS_keep_files;
  settings.trace_file = FLAGS_record_trace;
  settings.scenario = FLAGS_scenario;
  return settings;
}

int PrintResult(const std::string& name, const Verdict& verdict) {
  std::cout << ResultLine(name, verdict) << std::endl;
  const bool answered = verdict.answered > 0;
  return verdict.IsClean() && answered ? EXIT_SUCCESS : EXIT_FAILURE;
}

int RunScenario(const RehearsalSettings& settings) {
  if (FLAGS_scenario == "demo") {
    return PrintResult("DEMO", RunDemo(settings, &std::cout));
  }
  if (FLAGS_scenario == "chaos") {
    return PrintResult("CHAOS", RunChaos(settings, &std::cout));
  }
  if (FLAGS_scenario == "overhead") {
    std::cout << Describe(RunOverhead(settings, &std::cout)) << std::endl;
    return EXIT_SUCCESS;
  }
  throw Error(ResultCode::kInvalidSetting, "--scenario: want demo, chaos or overhead");
}

int Run() {
  CatchStopSignals();
  try {
    return RunScenario(ReadSettings());
  } catch (const Error& error) {
    const bool bad_flag =
        error.code() == ResultCode::kInvalidSetting || error.code() == ResultCode::kUnknownName;
    if (bad_flag) {
      std::cerr << "ERROR: " << error.what() << "\n";
      return kBadCommandLine;
    }
    std::cout << (FLAGS_scenario == "demo" ? "DEMO" : "CHAOS") << " FAILED " << error.what()
              << std::endl;
    return EXIT_FAILURE;
  }
}

}  // namespace
}  // namespace ladderstream::rehearsal

int main(int argc, char** argv) {
  gflags::SetUsageMessage(ladderstream::rehearsal::kUsage);
  gflags::SetVersionString(ladderstream::rehearsal::kVersion);
  gflags::ParseCommandLineFlags(&argc, &argv, /*remove_flags=*/true);
  return ladderstream::rehearsal::Run();
}
