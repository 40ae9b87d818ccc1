// Simulated time: what is to happen when, in order.
//
// Single-threaded. What is due at the same moment happens in the order in which it was added.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "wire/time.h"

namespace ladderstream::bench {

class EventQueue {
 public:
  explicit EventQueue(Time start) : now_(start) {}

  Time now() const { return now_; }
  void At(Time time, std::function<void()> run) {
    events_.push({time, ++last_event_, std::make_shared<std::function<void()>>(std::move(run))});
  }
  /// Runs what is due within `duration`, also what that adds.
  void Run(Duration duration) {
    const Time end = now_ + duration;
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.time);
      (*event.run)();
    }
    now_ = end;
  }

 private:
  struct Event {
    Time time;
    uint64_t number = 0;
    std::shared_ptr<std::function<void()>> run;
  };
  struct Later {
    bool operator()(const Event& one, const Event& other) const {
      return std::tie(one.time, one.number) > std::tie(other.time, other.number);
    }
  };

  Time now_;
  uint64_t last_event_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace ladderstream::bench
