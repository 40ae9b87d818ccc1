// Whoever has only the id of a failed request finds its cause: real nodes write their logs, and
// ladderstream_explain reads them.
#include <absl/strings/str_cat.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "rig.h"

namespace ladderstream::fleet {
namespace {

using Json = nlohmann::json;

constexpr char kExplain[] = LADDERSTREAM_BINARY_DIR "/ladderstream_explain";
constexpr int kNotRun = 503;
constexpr int kOutcomeUnknown = 502;

/// What the program prints about one request; null when no line names it yet.
Json Explain(Rig& rig, const std::string& request_id) {
  std::string command = absl::StrCat(kExplain, " --output=json --request=", request_id);
  for (const NodeProcess& node : rig.nodes().nodes()) {
    absl::StrAppend(&command, " ", rig.nodes().group().directory().string(), "/", node.name,
                    ".log");
  }
  FILE* const pipe = popen(command.c_str(), "r");
  BOOST_TEST_REQUIRE(pipe != nullptr);
  std::string printed;
  std::array<char, 4096> buffer{};
  for (size_t size = 0; (size = fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
    printed.append(buffer.data(), size);
  }
  const int status = pclose(pipe);
  BOOST_TEST_REQUIRE(WIFEXITED(status));
  return WEXITSTATUS(status) == 0 ? Json::parse(printed) : Json();
}

/// The one timeline of a request, once its node has written its lines.
Json AwaitTimeline(Rig& rig, const std::string& request_id) {
  Json explained;
  rig.Await("the lines of a request", [&] {
    explained = Explain(rig, request_id);
    return !explained.is_null();
  });
  BOOST_TEST_REQUIRE(explained["timelines"].size() == 1U);
  return explained["timelines"][0];
}

/// A request of this class that was answered so, from now on, for one of the calls that were begun
/// as `first_call` or later.
Attempt AwaitAnswered(Rig& rig, const std::string& request_class, int status,
                      uint64_t first_call = 0) {
  const std::deque<Attempt>& attempts = rig.fleet().history().attempts;
  const size_t begin = attempts.size();
  const auto matches = [&](const Attempt& attempt) {
    return attempt.request_class == request_class && attempt.call >= first_call &&
           attempt.end == CallEnd::kAnswered && attempt.status == status;
  };
  auto found = attempts.end();
  rig.Await(absl::StrCat("an answer ", status), [&] {
    found = std::find_if(attempts.begin() + static_cast<ptrdiff_t>(begin), attempts.end(), matches);
    return found != attempts.end();
  });
  return *found;
}

/// The fields of the line that tells the end of the request.
Json LastFields(const Json& timeline, const std::string& event) {
  for (const Json& entry : timeline["entries"]) {
    if (entry["event"] == event) {
      return entry["fields"];
    }
  }
  BOOST_FAIL("no line " + event + " in " + timeline.dump(1));
  return {};
}

std::string CauseOf(const Json& timeline) {
  std::string text;
  for (const Json& sentence : timeline["cause"]) {
    absl::StrAppend(&text, sentence.get<std::string>(), "\n");
  }
  return text;
}

void CheckContains(const std::string& text, const std::string& part) {
  BOOST_TEST(text.find(part) != std::string::npos, "\"" << part << "\" is not in:\n" << text);
}

BOOST_AUTO_TEST_SUITE(explain)

// The answer tells by code and words that every back end was full, and which loads they had told.
BOOST_AUTO_TEST_CASE(refused_because_all_are_full) {
  Rig rig;
  rig.SetFaults(kCards, {.slowdown = 100});
  rig.fleet().callers().request_class("card").per_second = 150;
  const Attempt refused = AwaitAnswered(rig, "card", kNotRun);
  const Json timeline = AwaitTimeline(rig, refused.request_id);
  const Json last = LastFields(timeline, "request_refused");
  const std::set<std::string> codes = {"OVERLOADED", "BACKEND_SHED", "DEADLINE_UNREACHABLE"};
  BOOST_TEST(codes.contains(last["code"].get<std::string>()), last.dump());
  BOOST_TEST(last["service"] == kCards);
  const std::string cause = CauseOf(timeline);
  BOOST_TEST_MESSAGE(cause);
  CheckContains(cause, "Refused; it has not run.");
  CheckContains(cause, "running ");
  CheckContains(cause, "waiting ");
  rig.Finish(0);
}

// The explanation names the back end that may have run it: the one where it arrived.
BOOST_AUTO_TEST_CASE(outcome_of_an_unsafe_request_is_unknown) {
  Rig rig;
  rig.SetFaults(kBookings, {.lost_answers = 0.3, .lost_by_reset = true});
  const Attempt unknown = AwaitAnswered(rig, "booking", kOutcomeUnknown);
  const Json timeline = AwaitTimeline(rig, unknown.request_id);
  const Json last = LastFields(timeline, "outcome_unknown");
  BOOST_TEST(last["code"] == "CONNECTION_LOST");
  const auto& arrivals = rig.fleet().history().arrivals;
  const auto arrival = std::find_if(
      arrivals.begin(), arrivals.end(),
      [&unknown](const Arrival& candidate) { return candidate.request_id == unknown.request_id; });
  BOOST_TEST_REQUIRE((arrival != arrivals.end()));
  const std::string cause = CauseOf(timeline);
  BOOST_TEST_MESSAGE(cause);
  CheckContains(cause, "The outcome is unknown.");
  CheckContains(cause, "it must not run twice");
  CheckContains(cause, absl::StrCat("at ", arrival->backend));
  const Json sent = LastFields(timeline, "attempt_failed");
  BOOST_TEST(sent["backend"] == arrival->backend);
  BOOST_TEST(sent["sent"] == "1");
  rig.Finish(0.5);
}

// The explanation names the key, the map, and what became of its owner.
BOOST_AUTO_TEST_CASE(key_without_a_reachable_owner) {
  Rig rig;
  const KeyLoad all_to_one = {.hot_share = 1, .hot_first = kHotKey, .hot_keys = 1};
  rig.fleet().callers().SetKeyLoad(all_to_one);
  // Calls under way ask for other keys, of which the same owner may have some.
  const uint64_t first_call = rig.fleet().history().calls.size();
  Backend& owner = rig.OwnerOfHotKey();
  owner.Crash();
  const Attempt refused = AwaitAnswered(rig, "script", kNotRun, first_call);
  const Json timeline = AwaitTimeline(rig, refused.request_id);
  const Json last = LastFields(timeline, "request_refused");
  const std::set<std::string> codes = {"NO_OWNER", "OWNER_CHANGED", "BACKEND_UNREACHABLE"};
  BOOST_TEST(codes.contains(last["code"].get<std::string>()), last.dump());
  BOOST_TEST(last["key"] == std::to_string(kHotKey));
  const std::string cause = CauseOf(timeline);
  BOOST_TEST_MESSAGE(cause);
  CheckContains(cause, absl::StrCat("key ", kHotKey));
  CheckContains(cause, owner.id());
  rig.Finish(0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
