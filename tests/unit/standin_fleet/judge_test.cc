// The judge sees each thing that must never happen, in evidence made up for it.
#include "standin/fleet/judge.h"

#include <boost/test/unit_test.hpp>

#include "standin/fleet/deployments.h"

namespace ladderstream::fleet {
namespace {

const Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr Duration kMoment = absl::Milliseconds(20);

struct Fixture {
  Fixture() {
    catalog::Configuration configuration = SmallDeployment().fleet.configuration;
    configuration.version = 1;
    history.configurations.push_back(
        {.configuration = configuration, .acknowledged = kStart - absl::Minutes(1)});
  }

  // A booking that was told `status`.
  Attempt& Tell(const std::string& id, int status, const std::string& path = "/bookings/1") {
    Attempt& attempt = history.attempts.emplace_back();
    attempt.request_id = id;
    attempt.host = path.starts_with("/scripts") ? "scripts.example" : "bookings.example";
    attempt.target = path;
    attempt.sent = kStart;
    attempt.ended = kStart + absl::Milliseconds(100);
    attempt.deadline = absl::Seconds(1);
    attempt.end = CallEnd::kAnswered;
    attempt.status = status;
    attempt.id_matches = true;
    return attempt;
  }

  // A run of it.
  Arrival& Run(const std::string& id, const std::string& backend,
               const std::string& service = "bookings") {
    Arrival& arrival = history.arrivals.emplace_back();
    arrival.request_id = id;
    arrival.backend = backend;
    arrival.service = service;
    arrival.at = kStart + kMoment;
    arrival.announced = absl::Milliseconds(900);
    arrival.begun = arrival.at;
    arrival.ended = arrival.at + kMoment;
    arrival.status = 200;
    arrival.stamp = backend + ".1";
    arrival.body_bytes = 100;
    return arrival;
  }

  Attempt& Served(const std::string& id) {
    Attempt& attempt = Tell(id, 200);
    const Arrival& run = Run(id, "b1");
    attempt.stamp = run.stamp;
    attempt.body_bytes = run.body_bytes;
    attempt.body_matches = true;
    return attempt;
  }

  void Grant(const std::string& backend, ownership::Fence fence, Time at, Duration hold) {
    history.holds.push_back({.kind = HoldEvent::Kind::kGrant,
                             .backend = backend,
                             .service = "scripts",
                             .range = {0, 99},
                             .fence = fence,
                             .at = at,
                             .until = at + hold,
                             .taken_late = false,
                             .held_up = false});
  }

  Verdict Judged() const { return Judge(history, {}); }

  History history;
};

BOOST_FIXTURE_TEST_SUITE(judge, Fixture)

BOOST_AUTO_TEST_CASE(what_is_in_order_is_clean) {
  Served("1");
  Tell("2", 503);
  Grant("b1", 1, kStart, absl::Seconds(4));
  Grant("b2", 2, kStart + absl::Seconds(4), absl::Seconds(4));
  BOOST_TEST(Judged().IsClean());
  BOOST_TEST(Judged().refused == 1U);
}

BOOST_AUTO_TEST_CASE(sees_a_second_run) {
  Served("1");
  Run("1", "b2");
  BOOST_TEST(Judged().doubled.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_a_run_that_was_denied) {
  Tell("1", 429);
  Run("1", "b1");
  BOOST_TEST(Judged().broken_promises.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_wrong_answers) {
  Served("1").stamp = "b9.9";
  Served("2").body_matches = false;
  Served("3").body_bytes = 99;
  Served("4").id_matches = false;
  Served("5").status = 500;
  BOOST_TEST(Judged().wrong.count == 5U);
}

BOOST_AUTO_TEST_CASE(sees_work_nobody_asked_for) {
  Run("unknown", "b1");
  Served("1");
  history.arrivals.back().digest = 1;
  BOOST_TEST(Judged().unasked.count == 2U);
}

BOOST_AUTO_TEST_CASE(sees_work_at_a_service_without_the_route) {
  Served("1");
  history.arrivals.back().service = "cards";
  BOOST_TEST(Judged().misrouted.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_routes_denied_that_exist) {
  for (int i = 0; i < 6; ++i) {
    Tell(std::to_string(i), 404);
  }
  Tell("unknown", 404, "/nowhere/");
  BOOST_TEST(Judged().misrouted.count == 6U);
}

BOOST_AUTO_TEST_CASE(sees_requests_of_all_nodes_beyond_a_limit) {
  const auto arrive = [this](int number, Duration after, double limit) {
    Tell(std::to_string(number), 200).node = static_cast<size_t>(number % 2);
    Arrival& arrival = Run(std::to_string(number), "b1");
    arrival.at = arrival.begun = arrival.ended = kStart + after;
    arrival.named_limit = limit;
  };
  constexpr double kLimit = 2;
  constexpr int kAllowed = 17;
  arrive(0, absl::ZeroDuration(), kLimit);
  arrive(1, absl::ZeroDuration(), kLimit);
  for (int i = 2; i <= kAllowed + 1; ++i) {
    arrive(i, absl::Milliseconds(600 + 150 * i), kLimit);
  }
  arrive(kAllowed + 2, absl::Seconds(5), kLimit);
  BOOST_TEST(Judged().over_budget.count == 0U);
  arrive(kAllowed + 3, absl::Milliseconds(3100), kLimit);
  BOOST_TEST(Judged().over_budget.count == 1U);
  // A node that was restarted meanwhile has not heard of the limit.
  history.disturbances.push_back({.from = kStart + absl::Milliseconds(100),
                                  .until = kStart + absl::Milliseconds(200),
                                  .node = 0});
  BOOST_TEST(Judged().over_budget.count == 0U);
  history.disturbances.clear();
  // The limit had ended.
  arrive(kAllowed + 4, absl::Milliseconds(2000), kNoLimit);
  BOOST_TEST(Judged().over_budget.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_requests_within_a_rest_that_was_asked_for) {
  const auto refused = [this](const std::string& id, Duration after) -> Arrival& {
    Tell(id, 503);
    Arrival& arrival = Run(id, "b1");
    arrival.begun = absl::InfiniteFuture();
    arrival.status = 0;
    arrival.refused = 503;
    arrival.at = arrival.ended = kStart + after;
    return arrival;
  };
  refused("1", absl::ZeroDuration()).rest = absl::Seconds(3);
  // On its way when the wish was told, and after the rest.
  refused("2", absl::Milliseconds(400));
  refused("3", absl::Milliseconds(3100));
  refused("4", absl::Milliseconds(1000));
  refused("5", absl::Milliseconds(2000));
  BOOST_TEST(Judged().over_budget.count == 0U);
  refused("6", absl::Milliseconds(2900));
  BOOST_TEST(Judged().over_budget.count == 1U);
  history.attempts.back().node = 1;
  BOOST_TEST(Judged().over_budget.count == 0U);
  history.attempts.back().node = 0;
  history.disturbances.push_back({.from = kStart + absl::Milliseconds(500),
                                  .until = kStart + absl::Milliseconds(600),
                                  .node = 0});
  BOOST_TEST(Judged().over_budget.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_requests_to_one_that_said_it_leaves) {
  Served("1");
  history.arrivals.back().said_leaving = true;
  Attempt& later = Served("2");
  later.sent = kStart + absl::Milliseconds(1900);
  history.arrivals.back().at = kStart + absl::Seconds(3);
  BOOST_TEST(Judged().after_drain.count == 0U);
  history.attempts.back().sent = kStart + absl::Milliseconds(2100);
  BOOST_TEST(Judged().after_drain.count == 1U);
  history.arrivals.back().backend = "b2";
  BOOST_TEST(Judged().after_drain.count == 0U);
}

// Guards against a node that is held to what it may not read.
BOOST_AUTO_TEST_CASE(rejection_of_a_key_tells_no_node_that_its_back_end_leaves) {
  Served("1");
  Arrival& rejected = history.arrivals.back();
  rejected.said_leaving = true;
  rejected.refused = 421;
  Served("2").sent = kStart + absl::Milliseconds(2100);
  history.arrivals.back().at = kStart + absl::Seconds(3);
  BOOST_TEST(Judged().after_drain.count == 0U);
  history.arrivals.front().refused = 503;
  BOOST_TEST(Judged().after_drain.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_two_holders_at_work_however_short) {
  Grant("b1", 1, kStart, absl::Milliseconds(200));
  Grant("b2", 2, kStart + absl::Milliseconds(100), absl::Seconds(4));
  BOOST_TEST(Judged().two_owners.count == 0U);
  for (const char* backend : {"b1", "b2"}) {
    Tell(backend, 503, "/scripts/1");
    Arrival& run = Run(backend, backend, "scripts");
    run.key = 50;
    run.begun = kStart + absl::Milliseconds(150);
    run.ended = run.begun + kMoment;
  }
  BOOST_TEST(Judged().two_owners.count == 1U);
}

// Soak, seeds 2 and 6: a back end thawed and at once took the release of its keys; the judge left
// the release out, as it does grants that lay at a frozen back end, and saw the old hold run on.
BOOST_AUTO_TEST_CASE(sees_a_release_that_follows_a_thaw) {
  Grant("b1", 1, kStart, absl::Seconds(4));
  history.holds.push_back({.kind = HoldEvent::Kind::kRelease,
                           .backend = "b1",
                           .service = "scripts",
                           .range = {0, 99},
                           .fence = 2,
                           .at = kStart + absl::Seconds(1),
                           .until = kStart + absl::Seconds(1),
                           .taken_late = false,
                           .held_up = true});
  Grant("b2", 2, kStart + absl::Milliseconds(1010), absl::Seconds(4));
  BOOST_TEST(Judged().two_owners.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_two_idle_holders_for_long) {
  Grant("b1", 1, kStart, absl::Seconds(4));
  Grant("b2", 2, kStart + absl::Seconds(3), absl::Seconds(4));
  BOOST_TEST(Judged().two_owners.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_a_fence_that_did_not_rise) {
  Grant("b1", 3, kStart, absl::Seconds(1));
  Grant("b2", 3, kStart + absl::Seconds(2), absl::Seconds(1));
  BOOST_TEST(Judged().fences.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_work_after_a_back_end_left) {
  Served("1");
  LeaveEvent& left = history.leaves.emplace_back();
  left.backend = "b1";
  left.at = kStart - absl::Seconds(3);
  BOOST_TEST(Judged().after_drain.count == 1U);
  left.until = kStart - absl::Seconds(1);
  BOOST_TEST(Judged().after_drain.count == 0U);
  left.until = absl::InfiniteFuture();
  history.disturbances.push_back({.from = kStart - absl::Seconds(1)});
  BOOST_TEST(Judged().after_drain.count == 0U);
}

BOOST_AUTO_TEST_CASE(only_a_node_that_was_disturbed_itself_may_hear_late_that_a_back_end_left) {
  Served("1");
  history.leaves.push_back({.backend = "b1", .at = kStart - absl::Seconds(6)});
  const size_t node = history.attempts.front().node;
  Disturbance& disturbance = history.disturbances.emplace_back();
  disturbance.from = kStart - absl::Seconds(9);
  disturbance.until = kStart - absl::Seconds(2);
  disturbance.node = node + 1;
  BOOST_TEST(Judged().after_drain.count == 1U);
  disturbance.node = node;
  BOOST_TEST(Judged().after_drain.count == 0U);
  disturbance.until = kStart - absl::Seconds(4);
  BOOST_TEST(Judged().after_drain.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_work_that_goes_on_without_its_caller) {
  for (int i = 0; i < 8; ++i) {
    const std::string id = std::to_string(i);
    Tell(id, 0, "/scripts/1").end = CallEnd::kAbandoned;
    Run(id, "b1", "scripts").ended = kStart + (i < 4 ? absl::Seconds(2) : kMoment);
  }
  BOOST_TEST(Judged().lingering.count == 4U);
  BOOST_TEST(!Judged().IsClean());
}

BOOST_AUTO_TEST_CASE(sees_time_announced_that_is_not_left) {
  for (int i = 0; i < 21; ++i) {
    Served(std::to_string(i));
    history.arrivals.back().announced = absl::Seconds(2);
  }
  BOOST_TEST(Judged().overtime.count == 21U);
  history.arrivals.back().announced = absl::Milliseconds(900);
  BOOST_TEST(Judged().overtime.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_repeats_beyond_the_budget) {
  for (int i = 0; i < 70; ++i) {
    const std::string id = std::to_string(i);
    Served(id);
    Run(id, "b1").begun = absl::InfiniteFuture();
  }
  BOOST_TEST(Judged().over_budget.count == 0U);
  for (int i = 0; i < 10; ++i) {
    Run(std::to_string(i), "b1").begun = absl::InfiniteFuture();
  }
  BOOST_TEST(Judged().over_budget.count == 1U);
  // Requests that callers sent and that arrived nowhere count, those of other services do not.
  for (int i = 0; i < 20; ++i) {
    Tell("unarrived-" + std::to_string(i), 503, "/scripts/1");
  }
  BOOST_TEST(Judged().over_budget.count == 1U);
  for (int i = 20; i < 40; ++i) {
    Tell("unarrived-" + std::to_string(i), 503);
  }
  BOOST_TEST(Judged().over_budget.count == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
