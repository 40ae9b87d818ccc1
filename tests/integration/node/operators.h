// Operators' endpoints and command lines as processes, against the store of a rig's fleet.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig.h"

namespace ladderstream::fleet {

/// How one command line ended.
struct CommandResult {
  int exit_code = -1;
  /// What it printed: the Result, or the answer to a question.
  nlohmann::json output;

  uint64_t revision() const { return std::stoull(output.at("revision").get<std::string>()); }
};

class Operators {
 public:
  /// Starts one endpoint at each entrance to the store that the rig keeps for operators, and waits
  /// until they answer.
  explicit Operators(Rig* rig);

  /// Starts a command line under this name, with the endpoint of this number.
  void Start(const std::string& name, size_t server, std::vector<std::string> words);
  /// Runs the fleet until the command line has ended.
  CommandResult Wait(const std::string& name);
  CommandResult Run(size_t server, const std::vector<std::string>& words);
  /// The newest revision, as an endpoint tells it.
  uint64_t Revision();

  /// Strikes the calls of all endpoints to the store.
  void SetStoreFaults(const StoreFaults& faults);

 private:
  /// Tells the fleet's judge of a version as soon as the store has it.
  void NoteNewest();

  Rig* rig_;
  std::vector<Endpoint> servers_;
  size_t commands_ = 0;
};

}  // namespace ladderstream::fleet
