// The operators' tool, ladderctl, as a rehearsal uses it.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <utility>
#include <vector>

#include "rehearsal/process_group.h"
#include "wire/configuration.h"

namespace ladderstream::rehearsal {

/// Runs one command after the other and waits for each. Throws Error(kInternal), with what
/// ladderctl said, when a command fails.
class OperatorClient {
 public:
  /// `processes` must outlive it. `program` is the path of ladderctl.
  OperatorClient(ProcessGroup* processes, std::string program)
      : processes_(processes), program_(std::move(program)) {}

  void AddNode(const Endpoint& operators) { nodes_.push_back(FormatEndpoint(operators)); }

  /// Declares services and back ends in one go.
  void Declare(const std::vector<ServiceConfiguration>& services,
               const std::vector<BackendConfiguration>& backends);
  void Drain(const std::string& backend);
  void Undrain(const std::string& backend);
  /// Begins the move of one key.
  void MoveKey(const std::string& service, const std::string& key, const std::string& backend);
  /// A table for readers.
  std::string Status();

 private:
  std::string Run(const std::vector<std::string>& words);

  ProcessGroup* processes_;
  std::string program_;
  std::vector<std::string> nodes_;
  uint64_t commands_ = 0;
};

}  // namespace ladderstream::rehearsal
