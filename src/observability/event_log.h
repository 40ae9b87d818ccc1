// The log of a node: one structured line an event, bounded in volume, which never waits for its
// reader.
//
// Lines go through Boost.Log into a ring in memory; LogOutput writes the ring to standard output.
// There is at most one EventLog in a process, and it is used from one thread.
#pragma once

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/types/span.h>

#include <concepts>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "observability/event_budget.h"
#include "observability/event_list.h"
#include "observability/line_ring.h"
#include "wire/time.h"

namespace ladderstream::observability {

/// Gives `value`, cut if it is longer than kLongestLogValue.
std::string_view CutFieldValue(std::string_view value);

/// One field of a line. A field with an empty value is left out of its line.
struct EventField {
  EventField(FieldName field_name, std::string_view field_value)
      : name(field_name), value(CutFieldValue(field_value)) {}
  EventField(FieldName field_name, const char* field_value)
      : EventField(field_name, std::string_view(field_value)) {}
  EventField(FieldName field_name, const std::string& field_value)
      : EventField(field_name, std::string_view(field_value)) {}
  EventField(FieldName field_name, std::integral auto number)
      : name(field_name), value(absl::StrCat(number)) {}
  /// In milliseconds with one digit behind the point; "inf" for an infinite one.
  EventField(FieldName field_name, Duration duration);

  FieldName name;
  std::string value;
};

/// One line that is not written yet.
struct PendingLine {
  EventName event = EventName::kCount;
  /// When it happened; at most now.
  Time at;
  std::vector<EventField> fields;
};

struct EventLogSettings {
  /// The node's name, in every line.
  std::string node;
  /// Tells one run of the process from another, in every line.
  std::string run;
  size_t ring_bytes = 256U << 10U;
  EventBudget::Budgets budgets = EventBudget::Default();
};

class EventLog {
 public:
  /// Gives the time of day; only for the stamps of lines.
  using WallClock = std::function<absl::Time()>;

  /// `time` must outlive the log. Lines of Log() go the same way from here on.
  EventLog(EventLogSettings settings, const TimeSource* time, WallClock wall_clock = absl::Now);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Whether lines of this event are written at all, by their severity.
  static bool Keeps(EventName event) { return IsKept(Describe(event).severity); }

  /// Writes one line about a belief or the process.
  void Write(EventName event, absl::Span<const EventField> fields);

  /// Writes lines that belong together under the budget of `kind`: all or none of them.
  void WriteTogether(EventKind kind, absl::Span<const PendingLine> lines);

  /// Tells how many lines were left out, once a second at most. To be called at or soon after
  /// NextWake().
  void OnTick(Time now);
  /// Infinitely late if nothing was left out.
  Time NextWake() const;

  /// Called when a line was put into an empty ring, or the first line was left out.
  void SetOnWork(std::function<void()> on_work) { on_work_ = std::move(on_work); }

  LineRing& ring() { return ring_; }
  const EventBudget& budget() const { return budget_; }
  Time Now() const { return time_->Now(); }

 private:
  void FormatLine(EventName event, Time at, Time now, absl::Span<const EventField> fields);
  void AppendWallTime(absl::Time wall);
  /// Passes `line_` on; false if it did not fit.
  bool Emit(EventKind kind, Severity severity);
  /// What Boost.Log delivers.
  void TakeLine(std::string_view line);
  void NotifyWork();

  const EventLogSettings settings_;
  const std::string identity_;
  const TimeSource* const time_;
  const WallClock wall_clock_;
  const Time started_;
  EventBudget budget_;
  LineRing ring_;
  std::function<void()> on_work_;
  Time omissions_told_ = absl::InfinitePast();

  // The line under way, its kind, and whether it found its way into the ring.
  std::string line_;
  EventKind emitting_ = EventKind::kCount;
  bool emitted_ = false;

  // The text of the last whole second that was formatted.
  int64_t stamped_second_ = -1;
  std::string second_text_;
};

}  // namespace ladderstream::observability
