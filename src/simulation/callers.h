// Callers that book things, and the routing of their requests by the nodes' routing state.
//
// Every request is one that may not be repeated: it is sent again only after a proof that it did
// not run.
#pragma once

#include <memory>

#include "simulation/cluster.h"

namespace ladderstream::simulation {

class Callers {
 public:
  explicit Callers(Cluster& cluster) : cluster_(cluster) {}

  /// Sends requests at random nodes until `end`.
  void Run(Time end);

 private:
  struct Call;

  void SendOne();
  void Try(const std::shared_ptr<Call>& call);
  void RetryOrRefuse(const std::shared_ptr<Call>& call);
  void Finish(const std::shared_ptr<Call>& call, CallOutcome outcome);
  /// At the back end's host.
  void Arrive(const std::shared_ptr<Call>& call, size_t backend, const BackendRequest& request);

  Cluster& cluster_;
  uint64_t next_id_ = 1;
};

}  // namespace ladderstream::simulation
