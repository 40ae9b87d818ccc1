// What a ConfigurationProber asks for and how what it asks for changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"
#include "standin/fleet/configuration_encoding.h"

namespace ladderstream::fleet {

/// Where requests go: there may be a route to it, or only a route with a shorter prefix, or none.
struct ProbePlace {
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// The requests carry a key.
  bool keyed = false;
  /// The requests write the host in various ways.
  bool spelled_anew = false;
};

class ProbePlan {
 public:
  virtual ~ProbePlan() = default;

  /// All places that are ever asked for.
  virtual const std::vector<ProbePlace>& places() const = 0;

  /// Changes `next`; returns the numbers of the places that this may affect.
  virtual std::vector<size_t> Change(uint64_t target, std::mt19937_64* random,
                                     catalog::Configuration* next) const = 0;

  /// How the next version is written.
  virtual ConfigurationEncoding NextEncoding(std::mt19937_64* random) const = 0;
};

using ProbePlanPtr = std::shared_ptr<const ProbePlan>;

}  // namespace ladderstream::fleet
