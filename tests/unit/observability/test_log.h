// An event log on a clock that tests set, and its lines read back.
#pragma once

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "explain/log_line.h"
#include "observability/event_log.h"

namespace ladderstream::observability {

class SettableClock : public TimeSource {
 public:
  Time Now() const override { return now; }

  Time now = absl::UnixEpoch() + absl::Hours(1);
};

inline EventLogSettings TestSettings() {
  EventLogSettings settings;
  settings.node = "rennes-1";
  settings.run = "5f3c";
  return settings;
}

/// 2026-01-31T10:00:00Z.
inline absl::Time TestWallTime() { return absl::FromUnixSeconds(1769853600); }

struct TestLog {
  explicit TestLog(const EventLogSettings& settings = TestSettings())
      : log(settings, &clock, TestWallTime) {}

  /// Takes everything out of the ring.
  std::vector<std::string> TakeLines() {
    std::string bytes;
    while (!log.ring().empty()) {
      bytes.append(log.ring().Front());
      log.ring().Pop(log.ring().Front().size());
    }
    std::vector<std::string> lines;
    for (size_t begin = 0; begin < bytes.size();) {
      const size_t end = bytes.find('\n', begin);
      BOOST_TEST_REQUIRE(end != std::string::npos);
      lines.push_back(bytes.substr(begin, end - begin));
      begin = end + 1;
    }
    return lines;
  }

  /// The same, read back; every line must be a sound event.
  std::vector<explain::LogLine> TakeEvents() {
    std::vector<explain::LogLine> events;
    for (const std::string& line : TakeLines()) {
      explain::LogLine event;
      BOOST_TEST_REQUIRE((explain::ParseLogLine(line, &event) == explain::LineKind::kEvent), line);
      events.push_back(std::move(event));
    }
    return events;
  }

  SettableClock clock;
  EventLog log;
};

}  // namespace ladderstream::observability
