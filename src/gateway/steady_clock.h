// The clock of the event loop.
#pragma once

#include <chrono>

#include "wire/time.h"

namespace ladderstream::gateway {

/// Reads CLOCK_MONOTONIC: never set, never stepped. Its readings count from an arbitrary moment.
class SteadyClock : public TimeSource {
 public:
  Time Now() const override {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch() + absl::FromChrono(since_start);
  }
};

}  // namespace ladderstream::gateway
