#include "explain/explanation.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "explain/cause.h"

namespace ladderstream::explain {
namespace {

/// Beliefs that changed this long after the request's end are shown: they often tell what its last
/// step ran into.
constexpr absl::Duration kAfter = absl::Seconds(2);

/// The first `FIRST-LAST` in `text`; nothing if there is none.
std::optional<std::pair<uint32_t, uint32_t>> FindKeyRange(const std::string& text) {
  for (const absl::string_view word : absl::StrSplit(text, ' ')) {
    const std::pair<absl::string_view, absl::string_view> ends =
        absl::StrSplit(word, absl::MaxSplits('-', 1));
    uint32_t first = 0;
    uint32_t last = 0;
    if (absl::SimpleAtoi(ends.first, &first) && absl::SimpleAtoi(ends.second, &last)) {
      return std::pair(first, last);
    }
  }
  return std::nullopt;
}

/// What a request touched; beliefs about something else do not explain it.
class Subject {
 public:
  explicit Subject(const std::vector<const LogLine*>& steps) {
    for (const LogLine* const step : steps) {
      Add(step->Field("backend"));
      absl::StrAppend(&reasons_, step->Field("reason"), " ");
      for (const absl::string_view service : absl::StrSplit(step->Field("service"), ',')) {
        Add(std::string(service));
      }
      sent_ = sent_ || !step->Field("attempt").empty();
      uint32_t key = 0;
      if (absl::SimpleAtoi(step->Field("key"), &key)) {
        key_ = key;
      }
    }
  }

  /// Whether the line says anything of a service or back end of the request, or is about a back end
  /// that a reason of the request names.
  bool Names(const LogLine& line) const {
    const std::string& backend = line.Field("backend");
    const std::string& detail = line.Field("detail");
    const std::string about = backend.empty() ? detail.substr(0, detail.find(' ')) : backend;
    if (!about.empty() && absl::StrContains(reasons_, about)) {
      return true;
    }
    return std::any_of(line.fields.begin(), line.fields.end(), [this](const auto& field) {
      return std::any_of(names_.begin(), names_.end(), [&field](const std::string& name) {
        return absl::StrContains(field.second, name);
      });
    });
  }

  /// Whether the line says nothing of keys, or of the request's too.
  bool MayHoldKey(const LogLine& line) const {
    const auto range = FindKeyRange(line.Field("detail"));
    return !key_.has_value() || !range.has_value() ||
           (range->first <= *key_ && *key_ <= range->second);
  }

  bool sent() const { return sent_; }

 private:
  void Add(std::string name) {
    if (!name.empty()) {
      names_.insert(std::move(name));
    }
  }

  std::set<std::string> names_;
  std::string reasons_;
  std::optional<uint32_t> key_;
  bool sent_ = false;
};

/// Whether a node tells of a request that it carried for another one.
bool IsCarried(const LogLine& line) { return line.event == "carried_request_failed"; }

/// What a belief is about: a later line of a topic replaces the earlier ones.
std::string TopicOf(const LogLine& line) {
  static const std::map<std::string_view, std::string_view> topics = {
      {"configuration_applied", "configuration"},
      {"configuration_rejected", "configuration"},
      {"map_applied", "map"},
      {"backends_changed", "backends"},
      {"coordinator_belief", "coordinator"},
      {"store_lost", "store"},
      {"store_regained", "store"},
      {"node_started", "start"},
      {"node_ready", "ready"},
      {"node_not_ready", "ready"},
      {"node_stopping", "stop"},
      {"node_stopped", "stop"},
  };
  if (line.event == "backend_belief" && line.Field("backend").empty()) {
    // Many back ends that were seen differently together.
    return absl::StrCat("backends ", line.Field("belief"), " ", line.Field("detail"));
  }
  if (line.event == "backend_belief") {
    return absl::StrCat("backend ", line.Field("backend"));
  }
  const auto topic = topics.find(line.event);
  return topic == topics.end() ? std::string() : std::string(topic->second);
}

/// Who coordinates matters to every key; what the coordinator does, to the keys that it is about.
bool CoordinationConcerns(const LogLine& line, const Subject& subject) {
  static const std::set<std::string_view> about_the_lease = {
      "holder_changed", "lease_challenged",   "lease_acquired",
      "lease_lapsed",   "lease_regained",     "lease_lost",
      "resigned",       "store_write_failed", "commit_rejected"};
  return about_the_lease.contains(line.Field("belief")) ||
         (subject.Names(line) && subject.MayHoldKey(line));
}

/// Whether a belief of the request's own node may have had a part in what became of the request.
bool Concerns(const LogLine& line, const Subject& subject) {
  if (line.event == "coordinator_belief") {
    return CoordinationConcerns(line, subject);
  }
  if (line.event != "backend_belief") {
    return true;
  }
  // A request that was sent nowhere was kept from every back end of its service.
  return subject.Names(line) || (!subject.sent() && line.Field("service").empty());
}

bool OfSameRun(const LogLine& line, const LogLine& other) {
  return line.node == other.node && line.run == other.run;
}

/// The same run's steady clock is exact; other runs are compared by the time of day.
absl::Duration OffsetFrom(const LogLine& first, const LogLine& line) {
  return OfSameRun(line, first) ? absl::Seconds(line.up - first.up) : line.wall - first.wall;
}

/// Other nodes matter only as coordinators.
bool ConcernsFromAfar(const LogLine& line, const Subject& subject) {
  return line.event == "coordinator_belief" && CoordinationConcerns(line, subject);
}

}  // namespace

void Explanation::Read(std::istream& log) {
  LogLine line;
  for (std::string text; std::getline(log, text);) {
    switch (ParseLogLine(text, &line)) {
      case LineKind::kBad:
        ++counts_.bad;
        break;
      case LineKind::kOther:
        ++counts_.others;
        break;
      case LineKind::kEvent:
        ++counts_.events;
        if (line.Field("request") == settings_.request) {
          request_lines_.push_back(std::move(line));
        } else if (line.Field("request").empty()) {
          beliefs_.push_back(std::move(line));
        }
        break;
    }
  }
}

std::vector<RequestTimeline> Explanation::Timelines() const {
  std::map<std::pair<std::string, std::string>, std::vector<const LogLine*>> steps_by_run;
  for (const LogLine& line : request_lines_) {
    if (IsCarried(line)) {
      // Stands in the timeline of the node that the caller asked.
      continue;
    }
    steps_by_run[{line.node, line.run}].push_back(&line);
  }
  std::vector<RequestTimeline> timelines;
  for (auto& [run, steps] : steps_by_run) {
    std::stable_sort(steps.begin(), steps.end(),
                     [](const LogLine* a, const LogLine* b) { return a->up < b->up; });
    timelines.push_back(Timeline(steps));
  }
  return timelines;
}

std::vector<std::string> Explanation::HintsWhenAbsent() const {
  std::vector<std::string> hints;
  for (const LogLine& line : request_lines_) {
    if (IsCarried(line)) {
      hints.push_back(absl::StrCat(line.node, " carried it for another node to ",
                                   line.Field("backend"), ": ", line.Field("failure"), "."));
    }
  }
  for (const LogLine& line : beliefs_) {
    const std::string when =
        absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", line.wall, absl::UTCTimeZone());
    const std::string& kind = line.Field("kind");
    if (line.event == "node_started") {
      hints.push_back(absl::StrCat(when, " ", line.node, " started as run ", line.run, "."));
    } else if (line.event == "lines_omitted" && absl::EndsWith(kind, "_request")) {
      hints.push_back(absl::StrCat(when, " ", line.node, " left out ", line.Field("count"),
                                   " lines of kind ", kind, "."));
    }
  }
  return hints;
}

RequestTimeline Explanation::Timeline(const std::vector<const LogLine*>& steps) const {
  const LogLine& first = *steps.front();
  const absl::Duration end = OffsetFrom(first, *steps.back()) + kAfter;
  const Subject subject(steps);
  RequestTimeline timeline{first.node, first.run, {}, {}};
  for (const LogLine* const step : steps) {
    timeline.entries.push_back({OffsetFrom(first, *step), Relation::kRequest, *step});
  }
  for (const LogLine& line : request_lines_) {
    if (IsCarried(line) && !OfSameRun(line, first)) {
      timeline.entries.push_back({OffsetFrom(first, line), Relation::kOtherNode, line});
    }
  }
  std::map<std::string, TimelineEntry> before;
  for (const LogLine& line : beliefs_) {
    const bool same_run = OfSameRun(line, first);
    const absl::Duration offset = OffsetFrom(first, line);
    if (offset > end || !(same_run ? Concerns(line, subject) : ConcernsFromAfar(line, subject))) {
      continue;
    }
    if (offset >= -settings_.window) {
      timeline.entries.push_back(
          {offset, same_run ? Relation::kAround : Relation::kOtherNode, line});
    }
    const std::string topic = same_run ? TopicOf(line) : std::string();
    if (offset > absl::ZeroDuration() || topic.empty()) {
      continue;
    }
    const auto known = before.find(topic);
    if (known == before.end() || known->second.offset <= offset) {
      before[topic] = {offset, Relation::kBefore, line};
    }
  }
  for (auto& [topic, entry] : before) {
    if (entry.offset < -settings_.window) {
      timeline.entries.push_back(std::move(entry));
    }
  }
  std::stable_sort(
      timeline.entries.begin(), timeline.entries.end(),
      [](const TimelineEntry& a, const TimelineEntry& b) { return a.offset < b.offset; });
  timeline.cause = FindCause(timeline);
  return timeline;
}

}  // namespace ladderstream::explain
