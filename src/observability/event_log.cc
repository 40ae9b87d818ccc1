#include "observability/event_log.h"

#include <absl/strings/str_format.h>

#include <array>
#include <cassert>
#include <utility>

namespace ladderstream::observability {
namespace {

constexpr Duration kOmissionInterval = absl::Seconds(1);
constexpr size_t kTypicalLineBytes = 512;

/// How full the ring may become by lines of each kind, so that those of failed requests are left
/// out last.
constexpr std::array<double, kEventKindCount> kFillLimits = {
    /*kFailedRequest=*/1.0,   /*kProcess=*/0.95, /*kStore=*/0.9,
    /*kConfiguration=*/0.9,
    /*kOwnership=*/0.9,       /*kBackend=*/0.8,  /*kPeer=*/0.8,
    /*kUnread=*/0.5,
    /*kAnsweredRequest=*/0.5,
};

double FillLimit(EventKind kind) { return kFillLimits.at(static_cast<size_t>(kind)); }

}  // namespace

std::string_view CutFieldValue(std::string_view value) { return value.substr(0, kLongestLogValue); }

EventField::EventField(FieldName field_name, Duration duration)
    : name(field_name),
      value(duration == absl::InfiniteDuration()
                ? "inf"
                : absl::StrFormat("%.1f", absl::ToDoubleMilliseconds(duration))) {}

EventLog::EventLog(EventLogSettings settings, const TimeSource* time, WallClock wall_clock)
    : settings_(std::move(settings)),
      identity_(absl::StrCat(" node=", settings_.node, " run=", settings_.run)),
      time_(time),
      wall_clock_(std::move(wall_clock)),
      started_(time->Now()),
      budget_(settings_.budgets),
      ring_(settings_.ring_bytes) {
  line_.reserve(kTypicalLineBytes);
  SetLogDestination([this](std::string_view line) { TakeLine(line); });
}

EventLog::~EventLog() { SetLogDestination(nullptr); }

void EventLog::Write(EventName event, absl::Span<const EventField> fields) {
  if (!Keeps(event)) {
    return;
  }
  const EventDescription& description = Describe(event);
  const Time now = time_->Now();
  if (!budget_.Take(description.kind, 1, now)) {
    NotifyWork();
    return;
  }
  FormatLine(event, now, now, fields);
  if (!Emit(description.kind, description.severity)) {
    budget_.CountOmitted(description.kind, OmissionCause::kOutput, 1);
    NotifyWork();
  }
}

void EventLog::WriteTogether(EventKind kind, absl::Span<const PendingLine> lines) {
  const Time now = time_->Now();
  if (!budget_.Take(kind, static_cast<uint32_t>(lines.size()), now)) {
    NotifyWork();
    return;
  }
  uint64_t lost = 0;
  for (const PendingLine& pending : lines) {
    if (!Keeps(pending.event)) {
      continue;
    }
    FormatLine(pending.event, pending.at, now, pending.fields);
    lost += Emit(kind, Describe(pending.event).severity) ? 0 : 1;
  }
  if (lost > 0) {
    budget_.CountOmitted(kind, OmissionCause::kOutput, lost);
    NotifyWork();
  }
}

void EventLog::OnTick(Time now) {
  if (!budget_.HasOmissions() || now < omissions_told_ + kOmissionInterval) {
    return;
  }
  omissions_told_ = now;
  for (const Omission& omission : budget_.TakeOmissions()) {
    const std::array<EventField, 3> fields = {
        EventField(FieldName::kKind, NameOf(omission.kind)),
        EventField(FieldName::kCause, NameOf(omission.cause)),
        EventField(FieldName::kCount, omission.count),
    };
    FormatLine(EventName::kLinesOmitted, now, now, fields);
    if (!Emit(EventKind::kFailedRequest, Severity::kWarning)) {
      budget_.Return(omission);
    }
  }
}

Time EventLog::NextWake() const {
  return budget_.HasOmissions() ? omissions_told_ + kOmissionInterval : absl::InfiniteFuture();
}

void EventLog::FormatLine(EventName event, Time at, Time now, absl::Span<const EventField> fields) {
  const EventDescription& description = Describe(event);
  line_.clear();
  AppendWallTime(wall_clock_() - (now - at));
  line_.append(" ").append(NameOf(description.severity));
  line_.append(" ").append(PrefixOf(description.part));
  line_.append(": ").append(description.sentence);
  line_.append(" event=").append(description.name);
  absl::StrAppendFormat(&line_, " up=%.6f", absl::ToDoubleSeconds(at - started_));
  line_.append(identity_);
  for (const EventField& field : fields) {
    assert(description.fields.Has(field.name));
    if (!field.value.empty()) {
      AppendLogField(NameOf(field.name), field.value, &line_);
    }
  }
}

void EventLog::AppendWallTime(absl::Time wall) {
  const int64_t micros = absl::ToUnixMicros(wall);
  constexpr int64_t kMicrosPerSecond = 1'000'000;
  const int64_t second = micros / kMicrosPerSecond;
  if (second != stamped_second_) {
    stamped_second_ = second;
    second_text_ =
        absl::FormatTime("%Y-%m-%dT%H:%M:%S", absl::FromUnixSeconds(second), absl::UTCTimeZone());
  }
  absl::StrAppendFormat(&line_, "%s.%06dZ", second_text_, micros % kMicrosPerSecond);
}

bool EventLog::Emit(EventKind kind, Severity severity) {
  emitting_ = kind;
  // A line below the lowest severity that is kept never arrives, and counts as written.
  emitted_ = true;
  WriteLogLine(severity, line_);
  emitting_ = EventKind::kCount;
  return emitted_;
}

void EventLog::TakeLine(std::string_view line) {
  const bool is_event = emitting_ != EventKind::kCount;
  const EventKind kind = is_event ? emitting_ : EventKind::kProcess;
  if (!is_event && !budget_.Take(kind, 1, time_->Now())) {
    NotifyWork();
    return;
  }
  const bool was_empty = ring_.empty();
  emitted_ = ring_.Push(line, FillLimit(kind));
  if (was_empty && emitted_) {
    NotifyWork();
  }
  if (!is_event && !emitted_) {
    budget_.CountOmitted(kind, OmissionCause::kOutput, 1);
  }
}

void EventLog::NotifyWork() {
  if (on_work_) {
    on_work_();
  }
}

}  // namespace ladderstream::observability
