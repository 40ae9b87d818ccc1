// The daemon's clock: CLOCK_BOOTTIME, which goes on while the machine sleeps.
#pragma once

#include "wire/time.h"

namespace ladderstream::control {

class BootClock : public TimeSource {
 public:
  Time Now() const override;
};

}  // namespace ladderstream::control
