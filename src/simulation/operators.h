// Operators that race one another: they change services and move shards, at random nodes.
#pragma once

#include <memory>

#include "core/configuration/change_submission.h"
#include "simulation/cluster.h"

namespace ladderstream::simulation {

class Operators {
 public:
  explicit Operators(Cluster& cluster) : cluster_(cluster) {}

  /// Makes calls until `end`.
  void Run(Time end);

 private:
  struct Submission;

  void ChangeService(size_t node);
  void Continue(const std::shared_ptr<Submission>& submission,
                const configuration::SubmissionAction& action);
  void RunAction(const std::shared_ptr<Submission>& submission,
                 const configuration::RunTransaction& action);
  void RunAction(const std::shared_ptr<Submission>& submission,
                 const configuration::ProposeAdoption& action);
  void RunAction(const std::shared_ptr<Submission>& submission,
                 const configuration::SubmissionOutcome& outcome);
  void MoveShard(size_t node);

  Cluster& cluster_;
  uint64_t next_operation_ = 1;
};

}  // namespace ladderstream::simulation
