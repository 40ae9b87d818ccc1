// Explains requests of small recorded logs, with lines that cannot be read among them. The time of
// day of rennes-1 jumps by an hour and back in its log.
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <sys/wait.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "explain/explanation.h"
#include "explain/report.h"

namespace ladderstream::explain {
namespace {

constexpr char kData[] = LADDERSTREAM_SOURCE_DIR "/tests/unit/observability/data/";
constexpr char kId[] = "9c41d07be2a35f68";

Explanation ExplainRecorded(const std::string& id) {
  Explanation explanation({id});
  for (const char* const name : {"brest-1.log", "rennes-1.log"}) {
    std::ifstream file(absl::StrCat(kData, name));
    BOOST_TEST_REQUIRE(file.is_open());
    explanation.Read(file);
  }
  return explanation;
}

std::vector<std::string> EventsOf(const RequestTimeline& timeline) {
  std::vector<std::string> events;
  for (const TimelineEntry& entry : timeline.entries) {
    events.push_back(entry.line.event);
  }
  return events;
}

bool HasSentence(const RequestTimeline& timeline, const std::string& part) {
  return std::any_of(timeline.cause.begin(), timeline.cause.end(),
                     [&part](const auto& cause) { return absl::StrContains(cause, part); });
}

/// What the command printed and its exit code.
struct CommandResult {
  std::string output;
  int exit_code = -1;
};

CommandResult RunCommand(const std::string& arguments) {
  const std::string command =
      absl::StrCat(LADDERSTREAM_BINARY_DIR, "/ladderstream_explain ", arguments, " 2>/dev/null");
  FILE* const pipe = popen(command.c_str(), "r");
  BOOST_TEST_REQUIRE(pipe != nullptr);
  CommandResult result;
  std::array<char, 4096> chunk;
  for (size_t got = 0; (got = fread(chunk.data(), 1, chunk.size(), pipe)) > 0;) {
    result.output.append(chunk.data(), got);
  }
  result.exit_code = WEXITSTATUS(pclose(pipe));
  return result;
}

std::string Files() { return absl::StrCat(kData, "rennes-1.log ", kData, "brest-1.log"); }

BOOST_AUTO_TEST_SUITE(explain)

BOOST_AUTO_TEST_CASE(bad_lines_are_counted_and_passed_over) {
  const Explanation explanation = ExplainRecorded(kId);
  BOOST_TEST(explanation.counts().bad == 2U);
  BOOST_TEST(explanation.counts().events == 13U);
}

BOOST_AUTO_TEST_CASE(one_timeline_of_the_request_and_the_beliefs_that_decided_it) {
  const std::vector<RequestTimeline> timelines = ExplainRecorded(kId).Timelines();
  BOOST_TEST_REQUIRE(timelines.size() == 1U);
  BOOST_TEST(timelines[0].node == "rennes-1");
  // Not the other request, not the other service's back end, not the move of other keys.
  const std::vector<std::string> expected = {
      "node_started",     "configuration_applied", "map_applied",
      "backend_belief",   "coordinator_belief",    "coordinator_belief",
      "request_received", "request_refused",       "map_applied"};
  BOOST_TEST(EventsOf(timelines[0]) == expected, boost::test_tools::per_element());
  const TimelineEntry& last = timelines[0].entries.back();
  // By the steady clock, though the time of day jumped.
  BOOST_TEST((last.relation == Relation::kAround));
  BOOST_TEST(absl::ToDoubleMilliseconds(last.offset) == 150, boost::test_tools::tolerance(1e-6));
  BOOST_TEST((timelines[0].entries[1].relation == Relation::kBefore));
  BOOST_TEST((timelines[0].entries[4].relation == Relation::kOtherNode));
}

BOOST_AUTO_TEST_CASE(the_cause_is_told_from_the_id_alone) {
  const RequestTimeline timeline = ExplainRecorded(kId).Timelines().front();
  BOOST_TEST(HasSentence(timeline, "NO_OWNER"));
  BOOST_TEST(HasSentence(timeline, "the owner is draining or gone (b-7"));
  BOOST_TEST(HasSentence(timeline, "key 4711 in map 3.16, known to be the newest 90.0 ms before"));
  BOOST_TEST(HasSentence(timeline, "move_started pupitre 4096-8191 of b-7"));
  BOOST_TEST(HasSentence(timeline, "back end b-7 gone its registration disappeared"));
  BOOST_TEST(!HasSentence(timeline, "b-9"));
}

BOOST_AUTO_TEST_CASE(a_request_without_an_end_says_so) {
  const RequestTimeline timeline = ExplainRecorded("other").Timelines().front();
  BOOST_TEST(HasSentence(timeline, "No line tells its end"));
}

BOOST_AUTO_TEST_CASE(an_unknown_request_gets_hints) {
  const Explanation explanation = ExplainRecorded("unknown");
  BOOST_TEST(explanation.Timelines().empty());
  const std::vector<std::string> hints = explanation.HintsWhenAbsent();
  BOOST_TEST_REQUIRE(hints.size() == 1U);
  BOOST_TEST(absl::StrContains(hints[0], "rennes-1 started as run 5f3c"));
}

BOOST_AUTO_TEST_CASE(the_table_is_safe_for_a_terminal) {
  std::istringstream log(
      "2026-01-31T10:00:00.000000Z info data: The caller has gone. event=caller_gone up=1 "
      "node=\"n\\033[2J\" run=1 request=x reason=\"\\033[2J\"\n");
  Explanation explanation({"x"});
  explanation.Read(log);
  std::ostringstream table;
  WriteTable(explanation, explanation.Timelines(), table);
  BOOST_TEST(table.str().find('\033') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_command_prints_a_table_or_json) {
  const CommandResult table = RunCommand(absl::StrCat("--request=", kId, " ", Files()));
  BOOST_TEST(table.exit_code == 0);
  BOOST_TEST(absl::StrContains(table.output, "Cause\n"));
  BOOST_TEST(absl::StrContains(table.output, "13 events, 0 others, 2 bad"));
  const CommandResult json =
      RunCommand(absl::StrCat("--request=", kId, " --output=json ", Files()));
  BOOST_TEST(json.exit_code == 0);
  const nlohmann::json report = nlohmann::json::parse(json.output);
  BOOST_TEST(report.at("lines").at("bad") == 2);
  BOOST_TEST(report.at("timelines").at(0).at("entries").size() == 9U);
  const CommandResult piped =
      RunCommand(absl::StrCat("--request=", kId, " - < ", kData, "rennes-1.log"));
  BOOST_TEST(piped.exit_code == 0);
}

BOOST_AUTO_TEST_CASE(the_command_tells_by_its_exit_code_what_went_wrong) {
  BOOST_TEST(RunCommand(absl::StrCat("--request=unknown ", Files())).exit_code == 1);
  BOOST_TEST(RunCommand(Files()).exit_code == 2);
  BOOST_TEST(RunCommand(absl::StrCat("--request=", kId)).exit_code == 2);
  BOOST_TEST(RunCommand(absl::StrCat("--request=x --output=xml ", Files())).exit_code == 2);
  BOOST_TEST(RunCommand(absl::StrCat("--request=x --no_such_flag ", Files())).exit_code == 2);
  // What can be read is told all the same.
  const CommandResult partly =
      RunCommand(absl::StrCat("--request=", kId, " ", Files(), " ", kData, "absent.log"));
  BOOST_TEST(partly.exit_code == 3);
  BOOST_TEST(absl::StrContains(partly.output, "NO_OWNER"));
  const CommandResult help = RunCommand("--help");
  BOOST_TEST(help.exit_code == 0);
  BOOST_TEST(absl::StrContains(help.output, "-request"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::explain
