// Changes routes that carry no load and asks every node for them, which shows the configuration
// that each node uses.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "standin/fleet/fleet.h"
#include "standin/fleet/probe_plan.h"

namespace ladderstream::fleet {

class ConfigurationProber {
 public:
  /// `fleet` outlives the prober.
  ConfigurationProber(Fleet* fleet, uint64_t seed, ProbePlanPtr plan);

  /// Asks each node for one place at a time from now on, until Finish().
  void Start();
  /// Sends nothing more and waits for the answers that are due.
  void Finish();

  /// Writes a version that the plan changes by `target`; has each node asked for the places that
  /// this affects when that version has to be in force. Without effect while the store is down.
  void ChangeConfiguration(uint64_t target);

 private:
  void AskInTurn();
  void AskAll(const std::vector<size_t>& places);
  /// Sends a request on the node's open connection, which serves as long as the process keeps it.
  void Ask(size_t node, size_t place);
  HttpClientConnectionPtr TakeConnection(size_t node);

  Fleet* fleet_;
  std::mt19937_64 random_;
  ProbePlanPtr plan_;
  std::vector<std::vector<HttpClientConnectionPtr>> idle_;
  size_t turn_ = 0;
  uint64_t requests_ = 0;
  uint64_t pending_ = 0;
  bool stopped_ = false;
};

}  // namespace ladderstream::fleet
