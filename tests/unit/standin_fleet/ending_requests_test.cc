// Requests that end the back ends that run them, and the judge of who sends them on.
#include <boost/test/unit_test.hpp>

#include "asking.h"
#include "standin/fleet/deployments.h"
#include "standin/fleet/judge_crashes.h"
#include "standin/fleet/wire_names.h"
#include "wire/result_code.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kShort = absl::Milliseconds(300);

FleetSettings OneOfEach() {
  FleetSettings settings = SmallDeployment().fleet;
  settings.zones = {"a"};
  settings.heartbeat = absl::Milliseconds(100);
  return settings;
}

struct Fixture {
  CallResult Ask(const Backend& backend, const std::string& target) {
    interfaces::HttpRequest request{.method = "GET", .target = target, .headers = {}, .body = ""};
    request.headers.emplace_back(wire::kRequestId, "id-1");
    return fleet::Ask(&fleet.loop(), backend.address(), request, kShort);
  }

  Fleet fleet{OneOfEach()};
  Backend& cards = *fleet.backends("cards").front();
};

BOOST_FIXTURE_TEST_SUITE(ending_requests, Fixture)

BOOST_AUTO_TEST_CASE(one_that_refuses_resets_its_connections) {
  BOOST_TEST((Ask(cards, "/cards/ends-refusing").end == CallEnd::kClosed));
  BOOST_TEST(cards.ended());
  BOOST_TEST((Ask(cards, "/cards/1").end == CallEnd::kNotConnected));
  BOOST_TEST(fleet.history().ended_by_requests.size() == 1U);
  // Another one comes in its place.
  fleet.loop().RunUntil([&] { return !fleet.backends("cards").empty(); }, absl::Seconds(5));
  BOOST_TEST(fleet.backends("cards").front()->id() != cards.id());
}

BOOST_AUTO_TEST_CASE(one_that_falls_silent_neither_answers_nor_refuses) {
  BOOST_TEST((Ask(cards, "/cards/ends-silent").end == CallEnd::kTimedOut));
  BOOST_TEST(cards.ended());
  const CallResult later = Ask(cards, "/cards/1");
  BOOST_TEST(later.response.status == 0);
  BOOST_TEST((later.end != CallEnd::kClosed));
}

BOOST_AUTO_TEST_CASE(one_that_restarts_is_back_under_its_name) {
  Ask(cards, "/cards/ends-restarting");
  fleet.loop().RunUntil([&] { return !fleet.backends("cards").empty(); }, absl::Seconds(5));
  Backend& again = *fleet.backends("cards").front();
  BOOST_TEST(again.id() == cards.id());
  BOOST_TEST(FormatEndpoint(again.address()) == FormatEndpoint(cards.address()));
  BOOST_TEST(Ask(again, "/cards/1").response.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

const Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr size_t kGuilty = 7;

struct Evidence {
  Evidence() {
    for (int i = 0; i < 3; ++i) {
      history.ended_by_requests.push_back({"b-" + std::to_string(i), kStart, kGuilty});
    }
  }
  void Arrive(Duration after, size_t digest = kGuilty) {
    Arrival& arrival = history.arrivals.emplace_back();
    arrival.digest = digest;
    arrival.at = kStart + after;
  }
  void Hold(size_t digest) {
    Attempt& attempt = history.attempts.emplace_back();
    attempt.digest = digest;
    attempt.result_code = static_cast<uint32_t>(ResultCode::kQuarantined);
  }
  Verdict Judged() const {
    Verdict verdict;
    JudgeCrashes(history, &verdict);
    return verdict;
  }

  History history;
};

BOOST_FIXTURE_TEST_SUITE(judge_crashes, Evidence)

BOOST_AUTO_TEST_CASE(three_more_are_allowed_and_a_fourth_is_not) {
  for (int i = 0; i < 9; ++i) {
    Arrive(absl::Seconds(2));
  }
  for (int i = 0; i < 3; ++i) {
    Arrive(absl::Seconds(4));
  }
  BOOST_TEST(Judged().sent_after_crashes.count == 0U);
  Arrive(absl::Seconds(9));
  BOOST_TEST(Judged().sent_after_crashes.count == 1U);
}

BOOST_AUTO_TEST_CASE(requests_that_end_fewer_back_ends_are_free) {
  history.ended_by_requests.pop_back();
  for (int i = 0; i < 9; ++i) {
    Arrive(absl::Seconds(4));
  }
  BOOST_TEST(Judged().IsClean());
}

BOOST_AUTO_TEST_CASE(innocent_requests_are_not_held) {
  Hold(kGuilty);
  BOOST_TEST(Judged().IsClean());
  Hold(8);
  BOOST_TEST(Judged().innocent_held.count == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
