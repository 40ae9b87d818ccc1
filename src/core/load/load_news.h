// What back ends told of their load, as nodes pass it on to one another.
//
// A node hears of one back end's load only with its own answers from there, which with many nodes
// come seconds apart; all nodes together hear of it many times a second.
#pragma once

#include <string>

#include "core/catalog/told_load.h"
#include "wire/time.h"

namespace ladderstream::load {

/// One back end's load as some node heard it.
struct LoadNews {
  /// The registration's id.
  std::string backend;
  /// Without the answer's own request, whoever heard it.
  catalog::ToldLoad told;
  /// When it was told, by the clock of whoever holds this; never later than in truth.
  Time told_at;
};

}  // namespace ladderstream::load
