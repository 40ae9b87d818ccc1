#include "bench/experiment.h"

namespace ladderstream::bench {

std::vector<Experiment> AllExperiments() {
  std::vector<Experiment> all;
  for (const auto& group : {PartitionExperiments(), MembershipExperiments(),
                            CoordinationExperiments(), ColdStartExperiments()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

}  // namespace ladderstream::bench
