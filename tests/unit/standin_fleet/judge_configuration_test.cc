// The judge sees each broken rule of the configuration, and spares what the rules allow.
#include "standin/fleet/judge_configuration.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace ladderstream::fleet {
namespace {

const Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr Duration kMoment = absl::Milliseconds(20);

/// Versions 1 and 2, acknowledged a minute apart; the second one moves the only route from `first`
/// to `second`.
struct Versions {
  Versions() {
    Acknowledge("first", kStart - absl::Minutes(1));
    Acknowledge("second", kStart);
  }

  void Acknowledge(const std::string& service, Time at) {
    catalog::Configuration configuration;
    configuration.version = history.configurations.size() + 1;
    if (!service.empty()) {
      catalog::Route route;
      route.name = "route";
      route.host = "probe.example";
      route.path_prefix = "/probe/";
      route.timeout = absl::Seconds(1);
      route.targets = {{.service = service, .weight = 1}};
      configuration.routes.push_back(route);
    }
    history.configurations.push_back({.configuration = configuration, .acknowledged = at});
  }

  Attempt& Ask(Duration after, size_t node = 0) {
    Attempt& attempt = history.attempts.emplace_back();
    attempt.request_id = std::to_string(history.attempts.size());
    attempt.host = "probe.example";
    attempt.target = "/probe/1";
    attempt.node = node;
    attempt.sent = kStart + after;
    attempt.ended = attempt.sent + 2 * kMoment;
    attempt.deadline = absl::Seconds(3);
    attempt.end = CallEnd::kAnswered;
    attempt.status = 200;
    attempt.stamp = "stamp";
    return attempt;
  }

  void Run(const std::string& service, Duration after, size_t node = 0) {
    const Attempt& attempt = Ask(after, node);
    Arrival& arrival = history.arrivals.emplace_back();
    arrival.request_id = attempt.request_id;
    arrival.service = service;
    arrival.at = arrival.begun = attempt.sent + kMoment;
    arrival.ended = attempt.ended;
  }

  void Deny(Duration after) {
    Attempt& attempt = Ask(after);
    attempt.status = 404;
    attempt.stamp.clear();
  }

  void Disturb(Duration from, Duration until, DisturbanceKind kind,
               std::optional<size_t> node = std::nullopt) {
    history.disturbances.push_back(
        {.from = kStart + from, .until = kStart + until, .node = node, .kind = kind});
  }

  Verdict Judged() const {
    Verdict verdict;
    JudgeConfiguration(history, {}, &verdict);
    return verdict;
  }

  History history;
};

BOOST_FIXTURE_TEST_SUITE(judge_configuration, Versions)

BOOST_AUTO_TEST_CASE(sees_a_run_by_the_old_service_after_the_bound) {
  Run("first", absl::Milliseconds(1900));
  BOOST_TEST(Judged().outdated.count == 0U);
  Run("first", absl::Milliseconds(2100));
  BOOST_TEST(Judged().outdated.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_a_run_on_a_dropped_route_and_a_denied_one_that_exists) {
  Acknowledge("", kStart + absl::Seconds(10));
  Run("second", absl::Seconds(13));
  Deny(absl::Seconds(5));
  BOOST_TEST(Judged().outdated.count == 1U);
  Acknowledge("second", kStart + absl::Seconds(20));
  Deny(absl::Seconds(23));
  BOOST_TEST(Judged().outdated.count == 2U);
}

BOOST_AUTO_TEST_CASE(binds_only_nodes_in_touch) {
  Run("first", absl::Seconds(4), 1);
  Disturb(absl::Milliseconds(500), absl::Milliseconds(900), DisturbanceKind::kNode, 1);
  BOOST_TEST(Judged().outdated.count == 1U);
  Disturb(absl::Seconds(1), absl::Milliseconds(1100), DisturbanceKind::kNode, 1);
  BOOST_TEST(Judged().outdated.count == 0U);
  Run("first", absl::Seconds(4), 2);
  BOOST_TEST(Judged().outdated.count == 1U);
  history.starts.push_back({2, kStart + absl::Milliseconds(1500)});
  BOOST_TEST(Judged().outdated.count == 0U);
}

BOOST_AUTO_TEST_CASE(an_unstable_store_lengthens_the_bound) {
  Disturb(absl::ZeroDuration(), absl::Seconds(20), DisturbanceKind::kStoreUnstable);
  Run("first", absl::Milliseconds(6900));
  BOOST_TEST(Judged().outdated.count == 0U);
  Run("first", absl::Milliseconds(7100));
  BOOST_TEST(Judged().outdated.count == 1U);
  // Once it is stable again for long enough, the shorter bound holds.
  history.disturbances.front().until = kStart + absl::Seconds(1);
  BOOST_TEST(Judged().outdated.count == 2U);
}

BOOST_AUTO_TEST_CASE(a_failing_store_ends_the_bound_until_it_is_stable) {
  Disturb(absl::ZeroDuration(), absl::Seconds(10), DisturbanceKind::kStoreFailing);
  Run("first", absl::Seconds(12));
  BOOST_TEST(Judged().outdated.count == 0U);
  Run("first", absl::Milliseconds(13100));
  BOOST_TEST(Judged().outdated.count == 1U);
}

BOOST_AUTO_TEST_CASE(sees_a_process_that_returns_to_an_older_version) {
  Run("second", absl::Milliseconds(100));
  Run("first", absl::Milliseconds(300));
  BOOST_TEST(Judged().regressed.count == 0U);
  Run("first", absl::Milliseconds(500));
  BOOST_TEST(Judged().regressed.count == 1U);
  // Another process of the same node may know less.
  history.starts.push_back({0, kStart + absl::Milliseconds(400)});
  BOOST_TEST(Judged().regressed.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_added_routes_that_are_not_served) {
  history.configurations.front().configuration.routes.front().host = "other.example";
  for (int i = 0; i < 20; ++i) {
    Ask(absl::Seconds(5)).status = 503;
    Ask(absl::Seconds(5)).host = "other.example";
  }
  BOOST_TEST(Judged().unserved_routes.count == 1U);
  Disturb(absl::ZeroDuration(), absl::Seconds(3), DisturbanceKind::kNode);
  BOOST_TEST(Judged().unserved_routes.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_requests_held_past_their_timeout) {
  for (int i = 0; i < 8; ++i) {
    Attempt& attempt = Ask(absl::Seconds(5));
    attempt.ended = attempt.sent + absl::Milliseconds(1600);
  }
  BOOST_TEST(Judged().past_timeout.count == 8U);
  for (int i = 0; i < 30; ++i) {
    Attempt& attempt = Ask(absl::Seconds(5));
    attempt.ended = attempt.sent + absl::Milliseconds(1100);
  }
  BOOST_TEST(Judged().past_timeout.count == 0U);
}

BOOST_AUTO_TEST_CASE(sees_a_split_far_off_its_weights) {
  history.configurations.back().configuration.routes.front().targets = {
      {.service = "first", .weight = 3}, {.service = "second", .weight = 1}};
  for (int i = 0; i < 200; ++i) {
    Run(i % 2 == 0 ? "first" : "second", absl::Seconds(5));
  }
  BOOST_TEST(Judged().off_split.count == 2U);
  for (int i = 0; i < 200; ++i) {
    Run("first", absl::Seconds(5));
  }
  BOOST_TEST(Judged().off_split.count == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
