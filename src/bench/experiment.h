// An experiment of the bench: a name, what it shows, and how to run it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/forwarding_deployment.h"
#include "bench/report.h"

namespace ladderstream::bench {

struct Experiment {
  std::string name;
  std::string description;
  /// Runs to its end. Deterministic for a seed, apart from processor times and memory.
  std::function<Report(uint64_t seed)> run;
};

/// All experiments, in the order in which they are listed.
std::vector<Experiment> AllExperiments();

/// From a calm fleet to one that is asked for more than it can do.
std::vector<double> UsualLoads();
/// Policies of forwarding in one deployment, by load, over so many seeds from `first_seed` on;
/// only the one named, unless `policy` is empty.
Report RunForwarding(const ForwardingDeployment& deployment, const std::vector<double>& loads,
                     const std::string& policy, uint32_t seeds, uint64_t first_seed);

std::vector<Experiment> PartitionExperiments();
std::vector<Experiment> MembershipExperiments();
std::vector<Experiment> CoordinationExperiments();
std::vector<Experiment> ColdStartExperiments();

}  // namespace ladderstream::bench
