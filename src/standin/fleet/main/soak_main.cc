// standin_soak: nodes as processes under load and many faults at once, drawn by a seed, judged.
//
// Exit codes: 0 when nothing happened that must never happen and everything came back; 1 otherwise;
// 2 for bad flags.
#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "standin/fleet/configuration_draws.h"
#include "standin/fleet/node_processes.h"
#include "standin/fleet/report.h"
#include "standin/fleet/route_swaps.h"
#include "standin/fleet/soak.h"
#include "standin/support/program_flags.h"
#include "wire/result_code.h"

DEFINE_string(deployment, "small", "small, bretagne, tirol or texas");
DEFINE_uint32(nodes, 3, "how many nodes run");
DEFINE_string(
    faults, "single",
    "single; series: many of them in series that overlap; rests: back ends that ask for rest; "
    "limits: back ends that name limits; changes: routes that change; paths: nodes that lose the "
    "path to back ends; crashes: requests that end the back ends that run them; shared-crashes: "
    "the same, repeated by several callers; configurations: changes of any part of the "
    "configuration; registrations: those of back ends that do not run");
DEFINE_double(core_share, 0, "of a core, for each node; 0: no bound, or as the seed draws it");
DEFINE_double(seconds, 30, "how long faults strike");
DEFINE_uint64(seed, 1, "of the faults and the load");
DEFINE_string(schedule, "", "a file with the faults; empty: drawn by the seed");
DEFINE_uint32(shrink, 0, "after a failure, runs to find out which faults matter");
DEFINE_string(keep_in, "soak-failures", "directory for what is kept of a failure");
DEFINE_string(node_program, "",
              "the node under test; empty: ladderstream_node beside this program");

namespace ladderstream::fleet {
namespace {

/// A node takes some 15 MB; half of a machine of 24 GB is far from reached.
constexpr uint32_t kMostNodes = 300;
constexpr double kMostSeconds = 3600;

std::vector<SoakFault> ReadSchedule() {
  if (FLAGS_schedule.empty()) {
    const Duration length = absl::Seconds(FLAGS_seconds);
    if (FLAGS_faults == "rests") {
      return DrawRests(FLAGS_seed, length);
    }
    if (FLAGS_faults == "limits") {
      return DrawLimits(FLAGS_seed, length);
    }
    if (FLAGS_faults == "paths") {
      return DrawPathCuts(FLAGS_seed, length);
    }
    if (FLAGS_faults == "crashes") {
      return DrawCrashes(FLAGS_seed, length);
    }
    if (FLAGS_faults == "shared-crashes") {
      return DrawSharedCrashes(FLAGS_seed, length);
    }
    if (FLAGS_faults == "changes") {
      return DrawChanges(FLAGS_seed, length);
    }
    if (FLAGS_faults == "configurations") {
      return DrawConfigurations(FLAGS_seed, length);
    }
    if (FLAGS_faults == "registrations") {
      return DrawRegistrations(FLAGS_seed, length);
    }
    return FLAGS_faults == "series" ? DrawSeries(FLAGS_seed, length)
                                    : DrawSchedule(FLAGS_seed, length);
  }
  std::ifstream file(FLAGS_schedule);
  if (!file) {
    throw Error(ResultCode::kInvalidSetting, absl::StrCat("cannot read ", FLAGS_schedule));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSchedule(text.str());
}

/// Adds, for each class that may be repeated, calls that all ask for the same item.
void AddReadsOfOneItem(const std::string& item, double per_second, uint32_t addresses,
                       Deployment* deployment) {
  const std::vector<RequestClass> load = deployment->load;
  for (const RequestClass& request_class : load) {
    if (request_class.repeatable) {
      RequestClass reads = request_class;
      reads.name = absl::StrCat(reads.name, " ", item);
      reads.item = item;
      reads.item_key = 1;
      reads.per_second = per_second;
      reads.addresses = addresses;
      deployment->load.push_back(reads);
    }
  }
}

/// Back ends enough to see a fourth one end, and callers that ask for the same thing again.
void PrepareForCrashes(Deployment* deployment) {
  constexpr uint32_t kBackendsPerZone = 3;
  constexpr double kPollsPerSecond = 2;
  for (ServiceSpec& service : deployment->fleet.services) {
    service.backends_per_zone = std::max(service.backends_per_zone, kBackendsPerZone);
  }
  AddReadsOfOneItem("poll", kPollsPerSecond, /*addresses=*/0, deployment);
}

/// Services of various sizes, down to one back end in a zone, and items that many callers read.
void PrepareForSharedCrashes(uint64_t seed, Deployment* deployment) {
  constexpr size_t kSizes = 5;
  const std::vector<uint32_t> sizes[kSizes] = {{3, 2, 1}, {2, 2, 2}, {4, 1, 1}, {3, 3, 3}, {}};
  constexpr double kReadsPerSecond = 20;
  constexpr uint32_t kReaders = 1000;
  for (ServiceSpec& service : deployment->fleet.services) {
    service.backends_by_zone = sizes[seed++ % kSizes];
    service.backends_per_zone = std::max<uint32_t>(service.backends_per_zone, 2);
  }
  AddReadsOfOneItem("of-many", kReadsPerSecond, kReaders, deployment);
}

/// Services that nobody asks for until a route leads there, and, of three seeds, one with nodes of
/// a tenth of a core and one with nodes of a third.
void PrepareForConfigurations(SoakSettings* settings) {
  constexpr double kShares[] = {0, 0.1, 0.3};
  constexpr uint32_t kSmallestNodeMb = 160;
  FleetSettings& fleet = settings->deployment.fleet;
  AddUnaskedServices(&settings->deployment);
  fleet.node_memory_mb = kSmallestNodeMb;
  const auto draws = std::make_shared<ConfigurationDraws>(fleet.seed);
  draws->AddFirstRoutes(&fleet.configuration);
  settings->probe_plan = draws;
  if (settings->core_share == 0) {
    settings->core_share = kShares[fleet.seed % std::size(kShares)];
  }
}

SoakSettings ReadSettings() {
  standin::FlagChecks checks;
  checks.Require(FLAGS_nodes >= 1 && FLAGS_nodes <= kMostNodes, "nodes",
                 std::to_string(FLAGS_nodes), "1 to 300");
  const std::set<std::string> faults = {
      "single", "series",  "rests",          "limits",         "changes",
      "paths",  "crashes", "shared-crashes", "configurations", "registrations"};
  checks.Require(faults.contains(FLAGS_faults), "faults", FLAGS_faults,
                 "single, series, rests, limits, changes, paths, crashes, shared-crashes, "
                 "configurations or registrations");
  checks.Require(FLAGS_core_share >= 0 && FLAGS_core_share <= 1, "core_share",
                 std::to_string(FLAGS_core_share), "0 to 1");
  checks.Require(FLAGS_seconds > 0 && FLAGS_seconds <= kMostSeconds, "seconds",
                 std::to_string(FLAGS_seconds), "more than 0, at most 3600");
  checks.ExitOnFaults();
  SoakSettings settings;
  settings.deployment = FindDeployment(FLAGS_deployment);
  settings.deployment.fleet.seed = FLAGS_seed;
  settings.deployment.fleet.store.entrances = EntrancesFor(FLAGS_nodes);
  settings.core_share = FLAGS_core_share;
  if (FLAGS_faults == "changes") {
    settings.probe_plan = std::make_shared<RouteSwaps>();
    AddSwappedRoutes(&settings.deployment.fleet.configuration);
  }
  if (FLAGS_faults == "configurations") {
    PrepareForConfigurations(&settings);
  }
  if (FLAGS_faults == "crashes") {
    PrepareForCrashes(&settings.deployment);
  }
  if (FLAGS_faults == "shared-crashes") {
    PrepareForSharedCrashes(FLAGS_seed, &settings.deployment);
  }
  settings.node_program = NodeProgramOr(FLAGS_node_program);
  settings.nodes = FLAGS_nodes;
  settings.length = absl::Seconds(FLAGS_seconds);
  settings.schedule = ReadSchedule();
  settings.keep_in = absl::StrCat(FLAGS_keep_in, "/seed-", FLAGS_seed);
  return settings;
}

int Run() {
  try {
    SoakSettings settings = ReadSettings();
    const SoakResult result = RunSoak(settings, &std::cout);
    std::cout << VerdictTable(result.verdict) << ResultLine(result.verdict) << "\n"
              << (result.Passed() ? "SOAK OK" : "SOAK FAILED") << " seed=" << FLAGS_seed
              << " faults=" << settings.schedule.size() << " " << result.not_recovered << std::endl;
    if (!result.Passed() && FLAGS_shrink > 0) {
      settings.keep_in.clear();
      std::cout << "what is left:\n"
                << FormatSchedule(ShrinkSchedule(settings, FLAGS_shrink, &std::cout));
    }
    return result.Passed() ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const Error& error) {
    std::cout << "SOAK FAILED seed=" << FLAGS_seed << " " << error.what() << std::endl;
    return EXIT_FAILURE;
  }
}

}  // namespace
}  // namespace ladderstream::fleet

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  ladderstream::standin::ParseProgramFlags(
      "Runs nodes against a stand-in of their platform under many faults at once, and judges.",
      argc, argv);
  return ladderstream::standin::RunProgram(ladderstream::fleet::Run);
}
