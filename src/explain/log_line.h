// One line of a node's log, read back.
//
//   2026-01-31T10:00:00.123456Z info data: Answered. event=request_answered up=12.345678
//   node=rennes-1 run=5f3c request=9c41d07be2a35f68 ...
//
// Whatever a log collector puts before the time of day is passed over.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ladderstream::explain {

struct LogLine {
  /// By the node's time of day, which may differ between nodes and jump.
  absl::Time wall;
  std::string severity;
  std::string part;
  std::string sentence;
  std::string event;
  /// Seconds since the start of the run, by its steady clock.
  double up = 0;
  std::string node;
  std::string run;
  /// The rest of the tail, in order.
  std::vector<std::pair<std::string, std::string>> fields;

  /// The value of a field; empty when it is absent.
  const std::string& Field(std::string_view key) const;
};

enum class LineKind {
  kEvent,
  /// A sound line without an event, such as an error at the start.
  kOther,
  /// Cut, garbled, or not of this log.
  kBad,
};

/// Reads `text` into `line`, which is only whole when the answer is kEvent.
LineKind ParseLogLine(const std::string& text, LogLine* line);

}  // namespace ladderstream::explain
