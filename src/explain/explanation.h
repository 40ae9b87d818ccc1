// Finds in the logs of all nodes what happened to one request, and the beliefs that decided it.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "explain/log_line.h"

namespace ladderstream::explain {

/// How many lines were read, and what they were.
struct LineCounts {
  uint64_t events = 0;
  uint64_t others = 0;
  uint64_t bad = 0;
};

/// Why a line stands in a timeline.
enum class Relation {
  /// It is about the request itself.
  kRequest,
  /// What the node believed when the request arrived: the newest line of its topic.
  kBefore,
  /// A belief of the node that changed around the time of the request.
  kAround,
  /// Of another node. Its place in time is by the time of day, which may be off.
  kOtherNode,
};

struct TimelineEntry {
  /// Since the request's first line.
  absl::Duration offset;
  Relation relation = Relation::kRequest;
  LogLine line;
};

/// What became of the request on one node. A request that reached two nodes has two of these.
struct RequestTimeline {
  std::string node;
  std::string run;
  /// In order of time.
  std::vector<TimelineEntry> entries;
  /// What decided, in sentences; see cause.h.
  std::vector<std::string> cause;
};

struct ExplainSettings {
  std::string request;
  /// Beliefs that changed this long before the request are shown.
  absl::Duration window = absl::Seconds(10);
};

/// Takes the lines of all logs, in any order of files, and explains.
class Explanation {
 public:
  explicit Explanation(ExplainSettings settings) : settings_(std::move(settings)) {}

  /// Reads one log to its end. Lines that cannot be read are counted and passed over.
  void Read(std::istream& log);

  /// One for each node that the request reached; empty if no line names the request.
  std::vector<RequestTimeline> Timelines() const;

  /// Sentences that tell why no line may name the request: lines that were left out, and processes
  /// that began anew, for the lines of requests under way go with their process.
  std::vector<std::string> HintsWhenAbsent() const;

  const ExplainSettings& settings() const { return settings_; }
  const LineCounts& counts() const { return counts_; }

 private:
  RequestTimeline Timeline(const std::vector<const LogLine*>& steps) const;

  const ExplainSettings settings_;
  LineCounts counts_;
  std::vector<LogLine> request_lines_;
  std::vector<LogLine> beliefs_;
};

}  // namespace ladderstream::explain
