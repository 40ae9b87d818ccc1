// Back ends run what they may run, say so when they do not, and fail as they are told to.
#include "standin/fleet/backend.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "asking.h"
#include "standin/fleet/deployments.h"
#include "standin/fleet/wire_names.h"

namespace ladderstream::fleet {
namespace {

constexpr Duration kShort = absl::Milliseconds(150);

FleetSettings OneOfEach() {
  FleetSettings settings = SmallDeployment().fleet;
  settings.zones = {"a"};
  settings.heartbeat = absl::Milliseconds(100);
  for (ServiceSpec& spec : settings.services) {
    spec.cold = absl::ZeroDuration();
    spec.slots = 1;
    spec.queue = 1;
  }
  return settings;
}

struct Fixture {
  Fixture()
      : scripts(*fleet.backends("scripts").front()), cards(*fleet.backends("cards").front()) {}

  CallResult Work(const Backend& backend, const interfaces::HttpHeaders& more = {}) {
    return Ask(&fleet.loop(), backend.address(), Request(more), absl::Seconds(1));
  }

  static interfaces::HttpRequest Request(const interfaces::HttpHeaders& more) {
    interfaces::HttpRequest request{
        .method = "GET", .target = "/any/1", .headers = more, .body = ""};
    request.headers.emplace_back(wire::kRequestId, "id-1");
    return request;
  }

  CallResult Order(const char* path, uint64_t fence, double hold = 4,
                   const interfaces::HttpHeaders& headers = {}) {
    const nlohmann::json body = {
        {"from_rev", 0}, {"target_version", 99}, {"fence", fence}, {"hold_s", hold}};
    return Ask(&fleet.loop(), scripts.address(),
               {.method = "POST", .target = path, .headers = headers, .body = body.dump()}, kShort);
  }

  bool IsRegistered(const Backend& backend) {
    return fleet.store().rows().Find({wire::kBackendTable, "", backend.id()}) != nullptr;
  }

  Fleet fleet{OneOfEach()};
  Backend& scripts;
  Backend& cards;
};

bool NotExecuted(const CallResult& result) {
  return !FindHeader(result.response.headers, wire::kNotExecuted).empty();
}

BOOST_FIXTURE_TEST_SUITE(backend, Fixture)

BOOST_AUTO_TEST_CASE(another_incarnation_does_not_run_the_request) {
  const CallResult wrong = Work(cards, {{wire::kExpectedInstance, "i-other"}});
  BOOST_TEST(wrong.response.status == 421);
  BOOST_TEST(NotExecuted(wrong));
  const CallResult right = Work(cards, {{wire::kExpectedInstance, cards.id()}});
  BOOST_TEST(right.response.status == 200);
  BOOST_TEST(FindHeader(right.response.headers, wire::kRequestId) == "id-1");
  BOOST_TEST(cards.runs() == 1U);
}

BOOST_AUTO_TEST_CASE(key_is_served_while_it_is_held) {
  const interfaces::HttpHeaders key = {{wire::kShardKey, "50"}};
  BOOST_TEST(Work(scripts, key).response.status == 421);
  BOOST_TEST(Order(wire::kGrantPath, 7).response.status == 200);
  BOOST_TEST(Work(scripts, key).response.status == 200);
  const CallResult release = Order(wire::kReleasePath, 8);
  BOOST_TEST(!FindHeader(release.response.headers, wire::kHandover).empty());
  BOOST_TEST(Work(scripts, key).response.status == 421);
  BOOST_TEST(Order(wire::kGrantPath, 7).response.status == 409);
  BOOST_TEST(Order(wire::kGrantPath, 8, 10.5).response.status == 400);
}

BOOST_AUTO_TEST_CASE(order_for_another_incarnation_is_not_taken) {
  const interfaces::HttpHeaders other = {{wire::kExpectedInstance, "i-other"}};
  BOOST_TEST(Order(wire::kGrantPath, 7, 4, other).response.status == 421);
  BOOST_TEST(!scripts.Holds(50));
  Order(wire::kGrantPath, 7);
  BOOST_TEST(Order(wire::kReleasePath, 8, 4, other).response.status == 421);
  BOOST_TEST(scripts.Holds(50));
}

BOOST_AUTO_TEST_CASE(late_grant_is_taken_after_it_was_left_unanswered) {
  scripts.SetFaults({.late_orders = 1, .late_by = kShort * 2});
  BOOST_TEST((Order(wire::kGrantPath, 7).end == CallEnd::kTimedOut));
  BOOST_TEST(!scripts.Holds(50));
  BOOST_TEST(fleet.loop().RunUntil([&] { return scripts.Holds(50); }, absl::Seconds(5)));
}

BOOST_AUTO_TEST_CASE(full_back_end_sheds) {
  cards.SetFaults({.slowdown = 20});
  std::vector<HttpClientConnectionPtr> others;
  for (int i = 0; i < 2; ++i) {
    others.push_back(HttpClientConnection::Make(&fleet.loop(), cards.address()));
    others.back()->Call(Request({}), kShort, absl::Seconds(5), [](const CallResult&) {});
  }
  fleet.loop().RunUntil([&] { return fleet.history().arrivals.size() == 2; }, absl::Seconds(5));
  const CallResult shed = Work(cards);
  BOOST_TEST(shed.response.status == 503);
  BOOST_TEST(NotExecuted(shed));
  BOOST_TEST(FindHeader(shed.response.headers, wire::kServerLoad) == "1,1,1");
}

BOOST_AUTO_TEST_CASE(work_is_dropped_once_its_connection_closes) {
  cards.SetFaults({.slowdown = 100});
  const auto connection = HttpClientConnection::Make(&fleet.loop(), cards.address());
  connection->Call(Request({}), kShort, absl::Seconds(5), [](const CallResult&) {});
  fleet.loop().RunUntil([&] { return cards.runs() == 1; }, absl::Seconds(5));
  connection->Close();
  const Arrival& run = fleet.history().arrivals.front();
  BOOST_TEST(fleet.loop().RunUntil([&] { return run.ended < absl::InfiniteFuture(); }, kShort));
  BOOST_TEST(run.status == 0);
}

BOOST_AUTO_TEST_CASE(crashed_back_end_refuses_and_its_registration_goes) {
  BOOST_TEST(IsRegistered(cards));
  cards.Crash();
  BOOST_TEST((Work(cards).end == CallEnd::kNotConnected));
  BOOST_TEST(fleet.loop().RunUntil([&] { return !IsRegistered(cards); }, absl::Seconds(5)));
  const Backend& next = fleet.Replace(cards, "bookings");
  BOOST_TEST(next.id() != cards.id());
  BOOST_TEST(Work(next, {{wire::kExpectedInstance, cards.id()}}).response.status == 421);
}

BOOST_AUTO_TEST_CASE(frozen_back_end_is_silent_and_goes_on_when_thawed) {
  cards.Freeze();
  BOOST_TEST((Work(cards).end == CallEnd::kTimedOut));
  BOOST_TEST(cards.runs() == 0U);
  cards.Thaw();
  BOOST_TEST(Work(cards).response.status == 200);
}

BOOST_AUTO_TEST_CASE(draining_back_end_serves_on_and_leaves) {
  cards.Drain(kShort);
  BOOST_TEST(fleet.history().leaves.size() == 1U);
  BOOST_TEST(Work(cards).response.status == 200);
  BOOST_TEST(fleet.loop().RunUntil([&] { return cards.ended(); }, absl::Seconds(5)));
  BOOST_TEST(!IsRegistered(cards));
}

BOOST_AUTO_TEST_CASE(registrations_survive_an_outage_of_the_store) {
  fleet.store().SetFaults({.outage = StoreOutage::kSilent});
  fleet.loop().RunFor(absl::Milliseconds(600));
  fleet.store().Heal();
  fleet.loop().RunFor(absl::Milliseconds(400));
  BOOST_TEST(IsRegistered(cards));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
