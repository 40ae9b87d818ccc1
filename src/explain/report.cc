#include "explain/report.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

namespace ladderstream::explain {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> kRelations = {"request", "before", "around",
                                                        "other_node"};

std::string_view NameOf(Relation relation) { return kRelations.at(static_cast<size_t>(relation)); }

/// What stands in the tail, without what the table tells anyway, safe for a terminal.
std::string Tail(const LogLine& line) {
  std::string tail;
  for (const auto& [key, value] : line.fields) {
    if (key != "request") {
      absl::StrAppend(&tail, tail.empty() ? "" : " ", key, "=", absl::CEscape(value));
    }
  }
  return tail;
}

size_t Widest(const RequestTimeline& timeline, std::string LogLine::*text) {
  size_t widest = 0;
  for (const TimelineEntry& entry : timeline.entries) {
    widest = std::max(widest, absl::CEscape(entry.line.*text).size());
  }
  return widest;
}

/// Marks the offsets that are only as good as the clocks of the machines.
std::string Offset(const TimelineEntry& entry) {
  const char* const mark = entry.relation == Relation::kOtherNode ? "~" : "";
  return absl::StrFormat("%s%+.1f", mark, absl::ToDoubleMilliseconds(entry.offset));
}

void WriteTimeline(const RequestTimeline& timeline, std::ostream& out) {
  out << "Node " << absl::CEscape(timeline.node) << ", run " << absl::CEscape(timeline.run)
      << "\n\nCause\n";
  for (const std::string& sentence : timeline.cause) {
    out << "  " << absl::CEscape(sentence) << "\n";
  }
  const auto node_width = static_cast<int>(Widest(timeline, &LogLine::node));
  const auto event_width = static_cast<int>(Widest(timeline, &LogLine::event));
  constexpr int kRelationWidth = 10;
  constexpr int kOffsetWidth = 11;
  out << "\nTimeline (ms since the request's first line; ~ by the time of day)\n";
  for (const TimelineEntry& entry : timeline.entries) {
    out << absl::StreamFormat("%*s  %-*s  %-*s  %-*s  %s\n", kOffsetWidth, Offset(entry),
                              kRelationWidth, NameOf(entry.relation), node_width,
                              absl::CEscape(entry.line.node), event_width,
                              absl::CEscape(entry.line.event), Tail(entry.line));
  }
  out << "\n";
}

Json ToJson(const TimelineEntry& entry) {
  Json fields = Json::object();
  for (const auto& [key, value] : entry.line.fields) {
    fields[key] = value;
  }
  return {{"offset_ms", absl::ToDoubleMilliseconds(entry.offset)},
          {"relation", NameOf(entry.relation)},
          {"wall", absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", entry.line.wall, absl::UTCTimeZone())},
          {"up", entry.line.up},
          {"node", entry.line.node},
          {"severity", entry.line.severity},
          {"part", entry.line.part},
          {"sentence", entry.line.sentence},
          {"event", entry.line.event},
          {"fields", std::move(fields)}};
}

Json ToJson(const RequestTimeline& timeline) {
  Json entries = Json::array();
  for (const TimelineEntry& entry : timeline.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"node", timeline.node},
          {"run", timeline.run},
          {"cause", timeline.cause},
          {"entries", std::move(entries)}};
}

}  // namespace

void WriteTable(const Explanation& explanation, const std::vector<RequestTimeline>& timelines,
                std::ostream& out) {
  out << "Request " << absl::CEscape(explanation.settings().request) << "\n";
  for (const RequestTimeline& timeline : timelines) {
    WriteTimeline(timeline, out);
  }
  if (timelines.empty()) {
    out << "No line names it. Either no node read it, or its lines were left out, or its node "
           "ended\n"
           "while it was under way. What the logs tell of that:\n";
    for (const std::string& hint : explanation.HintsWhenAbsent()) {
      out << "  " << absl::CEscape(hint) << "\n";
    }
  }
  const LineCounts& counts = explanation.counts();
  out << "Lines read: " << counts.events << " events, " << counts.others << " others, "
      << counts.bad << " bad (passed over)\n";
}

void WriteJson(const Explanation& explanation, const std::vector<RequestTimeline>& timelines,
               std::ostream& out) {
  Json list = Json::array();
  for (const RequestTimeline& timeline : timelines) {
    list.push_back(ToJson(timeline));
  }
  const LineCounts& counts = explanation.counts();
  Json report = {
      {"request", explanation.settings().request},
      {"lines", {{"events", counts.events}, {"others", counts.others}, {"bad", counts.bad}}},
      {"timelines", std::move(list)}};
  if (timelines.empty()) {
    report["hints"] = explanation.HintsWhenAbsent();
  }
  // Bytes that are not UTF-8 come from callers, and must not cost the report.
  out << report.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

}  // namespace ladderstream::explain
