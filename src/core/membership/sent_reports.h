// This node's reports, or its questions for snapshots, that may still be answered.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "wire/time.h"

namespace ladderstream::membership {

struct SentReport {
  uint64_t sequence = 0;
  Time sent;
  /// The coordinator it went to; 0 when it went to any other node.
  uint64_t holder = 0;
};

class SentReports {
 public:
  /// Gives the new report's sequence. Too old ones are no longer waited for.
  uint64_t Add(uint64_t holder, Time now);
  /// The report that this is the first answer to.
  std::optional<SentReport> Take(uint64_t sequence);
  /// When the last one was sent; in the infinite past before any.
  Time last_sent() const { return last_sent_; }

 private:
  uint64_t last_sequence_ = 0;
  Time last_sent_ = absl::InfinitePast();
  std::deque<SentReport> reports_;
};

}  // namespace ladderstream::membership
