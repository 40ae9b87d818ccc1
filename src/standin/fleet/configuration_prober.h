// Changes routes that carry no load and asks every node for them, which shows the configuration
// that each node uses.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"
#include "standin/fleet/fleet.h"

namespace ladderstream::fleet {

/// Adds routes for the prober, all to services whose requests need no key.
void AddProbeRoutes(catalog::Configuration* configuration);

class ConfigurationProber {
 public:
  /// `fleet` outlives the prober.
  ConfigurationProber(Fleet* fleet, uint64_t seed);

  /// Asks each node for one route at a time from now on, until Finish().
  void Start();
  /// Sends nothing more and waits for the answers that are due.
  void Finish();

  /// Writes a version in which `target` chooses one route and whether it moves to another service,
  /// is split, removed or added again; has each node asked for all routes when that version has to
  /// be in force. Without effect while the store is down.
  void ChangeRoute(uint64_t target);

 private:
  void AskInTurn();
  void AskAll();
  /// Sends a request on the node's open connection, which serves as long as the process keeps it.
  void Ask(size_t node, size_t route);
  HttpClientConnectionPtr TakeConnection(size_t node);

  Fleet* fleet_;
  std::mt19937_64 random_;
  std::vector<std::vector<HttpClientConnectionPtr>> idle_;
  size_t turn_ = 0;
  uint64_t requests_ = 0;
  uint64_t pending_ = 0;
  bool stopped_ = false;
};

}  // namespace ladderstream::fleet
