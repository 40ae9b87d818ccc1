// Counts and tells what was understood in part or not at all of what back ends and the store say.
//
// Each is counted; of each kind, a line is written for the first and then at most one an interval,
// so that a header which every answer carries shows at once and does not flood the log.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "observability/event_log.h"
#include "observability/node_metrics.h"
#include "wire/time.h"

namespace ladderstream::observability {

class NotUnderstoodLog {
 public:
  /// Of each kind, lines are at least this far apart.
  static constexpr Duration kInterval = absl::Seconds(10);
  /// Further kinds are counted, and told of without a count of their own.
  static constexpr size_t kMostKinds = 16;

  /// Both must outlive this.
  NotUnderstoodLog(EventLog* log, NodeMetrics* metrics) : log_(log), metrics_(metrics) {}

  /// `kind`: of a fixed list, such as "answer_header"; `source`: whose it is; `text`: the place and
  /// what stands there.
  void Note(std::string_view kind, std::string_view source, std::string_view text);

 private:
  struct Told {
    Time last = absl::InfinitePast();
    /// Since the last line.
    uint64_t count = 0;
  };

  EventLog* const log_;
  NodeMetrics* const metrics_;
  std::map<std::string, Told, std::less<>> told_;
};

}  // namespace ladderstream::observability
