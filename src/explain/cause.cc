#include "explain/cause.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <set>

namespace ladderstream::explain {
namespace {

constexpr std::array<std::string_view, 4> kFinalEvents = {"request_answered", "request_refused",
                                                          "outcome_unknown", "caller_gone"};
/// The states of these are told for every request; those of back ends only when one was tried.
constexpr std::array<std::string_view, 2> kOwnershipCodes = {"NO_OWNER", "OWNER_CHANGED"};

bool IsFinal(const LogLine& line) {
  return std::find(kFinalEvents.begin(), kFinalEvents.end(), line.event) != kFinalEvents.end();
}

std::string At(const TimelineEntry& entry) {
  return absl::StrFormat("%+.1f ms", absl::ToDoubleMilliseconds(entry.offset));
}

/// ` name value` if the line has the field, else nothing.
std::string Named(const std::string& name, const LogLine& line, std::string_view field) {
  const std::string& value = line.Field(field);
  return value.empty() ? std::string() : absl::StrCat(" ", name, name.empty() ? "" : " ", value);
}

std::string Ending(const TimelineEntry& entry) {
  const LogLine& line = entry.line;
  return absl::StrCat("At ", At(entry), ": ", line.sentence, Named("Result", line, "code"),
                      Named("status", line, "status"), Named("after", line, "attempts"),
                      line.Field("attempts").empty() ? "" : " attempt(s)",
                      Named("because:", line, "reason"));
}

/// What the node knew of the configuration and, for a key, of its owner.
std::string Inputs(const LogLine& line) {
  std::string text =
      absl::StrCat("It was decided by", Named("configuration", line, "configuration"),
                   Named("route", line, "route"), Named("service", line, "service"));
  if (!line.Field("key").empty()) {
    absl::StrAppend(&text, ", key ", line.Field("key"), Named("in map", line, "map"));
    if (!line.Field("map_age_ms").empty()) {
      absl::StrAppend(&text, ", known to be the newest ", line.Field("map_age_ms"), " ms before");
    }
  }
  return text;
}

std::string AttemptEnd(const TimelineEntry& entry) {
  const LogLine& line = entry.line;
  const std::string head = absl::StrCat("Attempt ", line.Field("attempt"), " at ",
                                        line.Field("backend"), ", ", At(entry), ": ");
  if (line.event == "attempt_answered") {
    const bool not_executed = line.Field("not_executed") == "1";
    return absl::StrCat(
        head, "answered", Named("with", line, "status"),
        not_executed ? ", and said that it did not run it" : "",
        Named("; it wants no requests for ms", line, "rest_ms"),
        line.Field("leaving") == "1" ? "; it is about to end" : "",
        Named("; requests a second that it takes from all nodes:", line, "limit_per_s"),
        Named("; running", line, "running"), Named("waiting", line, "waiting"),
        Named("slots", line, "slots"));
  }
  return absl::StrCat(head, line.event == "attempt_failed" ? "failed:" : "cancelled",
                      Named("", line, "failure"), Named("after ms", line, "elapsed_ms"));
}

/// What was believed of a back end, or by the coordinator; newest first, at most `most`.
std::vector<std::string> Beliefs(const RequestTimeline& timeline, std::string_view event,
                                 size_t most) {
  std::vector<std::string> told;
  for (auto entry = timeline.entries.rbegin(); entry != timeline.entries.rend(); ++entry) {
    if (entry->line.event != event || told.size() >= most) {
      continue;
    }
    const LogLine& line = entry->line;
    told.push_back(absl::StrCat("Belief at ", At(*entry), " on ", line.node, ":",
                                Named("back end", line, "backend"), " ", line.Field("belief"),
                                Named("", line, "detail")));
  }
  return told;
}

void AddSingleBeliefs(const RequestTimeline& timeline, std::vector<std::string>* cause) {
  static const std::set<std::string_view> telling = {
      "store_lost", "store_regained", "node_stopping", "node_not_ready",
      "peer_lost",  "lines_omitted",  "node_started",  "configuration_rejected"};
  for (const TimelineEntry& entry : timeline.entries) {
    if (telling.contains(entry.line.event) && entry.relation == Relation::kAround) {
      cause->push_back(absl::StrCat("At ", At(entry), ": ", entry.line.sentence,
                                    Named("Reason:", entry.line, "reason"),
                                    Named("count", entry.line, "count")));
    }
  }
}

void Append(std::vector<std::string> more, std::vector<std::string>* cause) {
  std::move(more.begin(), more.end(), std::back_inserter(*cause));
}

}  // namespace

std::vector<std::string> FindCause(const RequestTimeline& timeline) {
  std::vector<std::string> cause;
  const LogLine* final_line = nullptr;
  const LogLine* received = nullptr;
  std::vector<std::string> attempts;
  for (const TimelineEntry& entry : timeline.entries) {
    if (entry.relation != Relation::kRequest) {
      continue;
    }
    if (IsFinal(entry.line)) {
      final_line = &entry.line;
      cause.push_back(Ending(entry));
    } else if (entry.line.event == "request_received") {
      received = &entry.line;
    } else if (entry.line.event == "attempt_failed" || entry.line.event == "attempt_answered" ||
               entry.line.event == "attempt_cancelled") {
      attempts.push_back(AttemptEnd(entry));
    }
  }
  if (final_line == nullptr) {
    cause.emplace_back("No line tells its end: the process ended, or lines were left out.");
  }
  if (received != nullptr || final_line != nullptr) {
    cause.push_back(Inputs(received != nullptr ? *received : *final_line));
  }
  Append(std::move(attempts), &cause);
  constexpr size_t kMostBeliefs = 6;
  const std::string code = final_line == nullptr ? "" : final_line->Field("code");
  if (std::find(kOwnershipCodes.begin(), kOwnershipCodes.end(), code) != kOwnershipCodes.end()) {
    Append(Beliefs(timeline, "coordinator_belief", kMostBeliefs), &cause);
  }
  if (final_line == nullptr || final_line->event != "request_answered") {
    Append(Beliefs(timeline, "backend_belief", kMostBeliefs), &cause);
    AddSingleBeliefs(timeline, &cause);
  }
  return cause;
}

}  // namespace ladderstream::explain
