// Simulated time: actions run in order of their moment. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "wire/time.h"

namespace ladderstream::emulator {

class EventQueue {
 public:
  using Action = std::function<void()>;

  explicit EventQueue(Time start) : now_(start) {}

  Time now() const { return now_; }

  /// Runs `action` at `at`, or now if that has passed. Equal moments run in the order of the calls.
  void At(Time at, Action action) {
    events_.push({std::max(at, now_), ++sequence_, std::move(action)});
  }
  void After(Duration delay, Action action) { At(now_ + delay, std::move(action)); }

  /// Runs everything up to and including `until`.
  void RunUntil(Time until) {
    while (!events_.empty() && events_.top().at <= until) {
      // The element is popped before it is destroyed, so its action may be moved out.
      Action action = std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().at;
      events_.pop();
      action();
    }
    now_ = until;
  }

 private:
  struct Event {
    Time at;
    uint64_t sequence = 0;
    Action action;

    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  Time now_;
  uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace ladderstream::emulator
