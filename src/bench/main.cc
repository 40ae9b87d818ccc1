// ladderstream_bench: lists the experiments, or runs one and keeps its results.
#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <vector>

#include "bench/experiment.h"

DEFINE_bool(list, false, "list the experiments and exit");
DEFINE_uint64(seed, 1, "seed of every random choice");
DEFINE_string(deployment, "examples/forwarding/call-centre-bookings.toml",
              "of the experiment \"forwarding\": its deployment");
DEFINE_double(load, 0, "of the experiment \"forwarding\": one load in place of the usual five");
DEFINE_string(policy, "", "of the experiment \"forwarding\": one policy in place of all");
DEFINE_uint32(seeds, 20, "of the experiment \"forwarding\": plays of each variant");
DEFINE_string(output, "bench-results", "directory for the JSON and SVG files");

namespace ladderstream::bench {
namespace {

constexpr int kUsageError = 2;
constexpr char kForwarding[] = "forwarding";

void List() {
  for (const Experiment& experiment : AllExperiments()) {
    std::cout << experiment.name << ": " << experiment.description << "\n";
  }
  std::cout << kForwarding
            << ": Requests through nodes and queues, by policy (--deployment, --seeds)\n";
}

void WriteFile(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    throw std::runtime_error(absl::StrCat("cannot write ", path.string()));
  }
  std::cout << "wrote " << path.string() << "\n";
}

void Keep(const Report& report) {
  const std::filesystem::path directory(FLAGS_output);
  std::filesystem::create_directories(directory);
  const std::string stem = absl::StrCat(report.experiment, "-seed", report.seed);
  WriteFile(directory / absl::StrCat(stem, ".json"), absl::StrCat(ToJson(report).dump(1), "\n"));
  for (size_t i = 0; i < report.plots.size(); ++i) {
    const std::string name = absl::StrCat(stem, i == 0 ? "" : absl::StrCat("-", i + 1), ".svg");
    WriteFile(directory / name, DrawSvg(report.plots[i]));
  }
}

int Run(const std::string& name) {
  if (name == kForwarding) {
    const ForwardingDeployment deployment = LoadForwardingDeployment(FLAGS_deployment);
    const std::vector<double> loads =
        FLAGS_load > 0 ? std::vector<double>{FLAGS_load} : UsualLoads();
    Report report = RunForwarding(deployment, loads, FLAGS_policy, FLAGS_seeds, FLAGS_seed);
    report.experiment = absl::StrCat(name, "-", deployment.name);
    report.seed = FLAGS_seed;
    std::cout << FormatText(report);
    Keep(report);
    return 0;
  }
  for (const Experiment& experiment : AllExperiments()) {
    if (experiment.name != name) {
      continue;
    }
    Report report = experiment.run(FLAGS_seed);
    report.experiment = name;
    report.seed = FLAGS_seed;
    std::cout << FormatText(report);
    Keep(report);
    return 0;
  }
  std::cerr << "bench: no experiment is named " << name << "; --list shows them.\n";
  return kUsageError;
}

int Main(int argc, char** argv) {
  gflags::SetUsageMessage("ladderstream_bench --list | NAME [--seed=N] [--output=DIRECTORY]");
  gflags::SetVersionString("0.1.0");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_list) {
    List();
    return 0;
  }
  constexpr int kWithName = 2;
  if (argc != kWithName) {
    std::cerr << "bench: give one experiment, or --list.\n";
    return kUsageError;
  }
  return Run(argv[1]);
}

}  // namespace
}  // namespace ladderstream::bench

int main(int argc, char** argv) {
  try {
    return ladderstream::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "bench: " << error.what() << "\n";
    return 1;
  }
}
