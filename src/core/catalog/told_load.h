// What a back end says of its load with an answer.
#pragma once

#include <cstdint>

namespace ladderstream::catalog {

struct ToldLoad {
  /// Requests that it works on, and requests in its queue.
  uint32_t running = 0;
  uint32_t waiting = 0;
  /// Requests that it works on at most; 0: it told nothing.
  uint32_t slots = 0;
  /// How many times as long as usual work takes on its machine at present; 0 when it did not say.
  /// Other users of the machine change it many times a second.
  double slowdown = 0;
};

}  // namespace ladderstream::catalog
