// Reports or snapshot requests sent by this node that may still be answered.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "wire/time.h"

namespace ladderstream::membership {

struct SentReport {
  uint64_t sequence = 0;
  Time sent;
  /// Incarnation of the coordinator it was sent to; 0 when sent to another node.
  uint64_t holder = 0;
};

class SentReports {
 public:
  /// Records a new report and returns its sequence. The oldest one is dropped beyond the limit.
  uint64_t Add(uint64_t holder, Time now);
  /// Removes and returns the report with this sequence; nothing when it was answered or dropped.
  std::optional<SentReport> Take(uint64_t sequence);
  /// When the last one was sent; infinite past if none was.
  Time last_sent() const { return last_sent_; }

 private:
  uint64_t last_sequence_ = 0;
  Time last_sent_ = absl::InfinitePast();
  std::deque<SentReport> reports_;
};

}  // namespace ladderstream::membership
