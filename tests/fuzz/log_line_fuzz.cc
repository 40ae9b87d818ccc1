// Lines of logs as the explainer reads them, and what a node writes in them.
#include <cmath>
#include <sstream>
#include <string>

#include "explain/explanation.h"
#include "explain/log_line.h"
#include "explain/report.h"
#include "fuzz_support.h"
#include "logging/log.h"

namespace ladderstream::fuzz {
namespace {

void CheckValueIsReadBack(std::string_view value) {
  if (value.empty()) {
    return;
  }
  std::string line = "2026-01-31T10:00:00.123456Z info data: Done. event=e up=1.5 node=n run=r";
  AppendLogField("detail", value, &line);
  Require(line.find('\n') == std::string::npos, "a field stays on its line");
  explain::LogLine read;
  Require(explain::ParseLogLine(line, &read) == explain::LineKind::kEvent, "a line is read");
  Require(read.Field("detail") == value, "a value is read back");
}

}  // namespace
}  // namespace ladderstream::fuzz

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace ladderstream;  // NOLINT(google-build-using-namespace)
  const std::string text(fuzz::ToText(data, size));
  fuzz::CheckValueIsReadBack(text);
  explain::LogLine line;
  if (explain::ParseLogLine(text, &line) == explain::LineKind::kEvent) {
    fuzz::Require(!line.event.empty() && !line.node.empty(), "an event has a name and a node");
    fuzz::Require(std::isfinite(line.up), "an event has a time");
  }
  explain::Explanation explanation({.request = "9c41"});
  std::istringstream log(text);
  explanation.Read(log);
  const auto timelines = explanation.Timelines();
  explanation.HintsWhenAbsent();
  std::ostringstream out;
  explain::WriteTable(explanation, timelines, out);
  explain::WriteJson(explanation, timelines, out);
  return 0;
}
