// Telling a cut path from ill back ends.
#include "core/forwarding/path_monitor.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>

namespace ladderstream::forwarding {
namespace {

/// Six back ends of one service, two in each of three zones.
struct MonitorFixture {
  MonitorFixture() {
    for (int i = 0; i < 6; ++i) {
      monitor.SetBackend(Name(i), "cards", absl::StrCat("zone-", i % 3));
    }
  }
  static std::string Name(int i) { return absl::StrCat("b-", i); }
  Path PathOf(int i, bool has_substitute = true) const {
    return monitor.PathTo(Name(i), has_substitute, now);
  }
  void Fail(int i) { monitor.OnConnectFailed(Name(i), now); }

  Time now = absl::FromUnixSeconds(1000);
  PathMonitor monitor;
};

BOOST_FIXTURE_TEST_SUITE(path_monitor, MonitorFixture)

BOOST_AUTO_TEST_CASE(failures_of_several_back_ends_cut_the_service) {
  Fail(0);
  BOOST_TEST((PathOf(0) == Path::kDirect));
  Fail(1);
  BOOST_TEST((PathOf(2) == Path::kPeer));
  const auto changes = monitor.TakeChanges();
  BOOST_REQUIRE_EQUAL(changes.size(), 1U);
  BOOST_TEST(changes.front().silent);
  BOOST_TEST(changes.front().backends.size() == 6U);
}

BOOST_AUTO_TEST_CASE(one_zone_is_cut_apart) {
  monitor.OnConnected(Name(1), now);
  now += absl::Milliseconds(1);
  Fail(0);
  monitor.OnConnected(Name(1), now + absl::Milliseconds(1));
  now += absl::Milliseconds(2);
  Fail(3);
  BOOST_TEST((PathOf(0) == Path::kPeer));
  BOOST_TEST((PathOf(1) == Path::kDirect));
}

BOOST_AUTO_TEST_CASE(failures_far_apart_are_no_cut) {
  Fail(0);
  now += absl::Seconds(2);
  Fail(1);
  BOOST_TEST((PathOf(2) == Path::kDirect));
}

BOOST_AUTO_TEST_CASE(connection_that_comes_up_restores_the_path_to_all) {
  Fail(0);
  Fail(1);
  monitor.OnConnected(Name(4), now);
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST((PathOf(i, false) == Path::kDirect));
  }
}

BOOST_AUTO_TEST_CASE(open_connections_are_used_while_they_answer) {
  Fail(0);
  now += absl::Milliseconds(10);
  monitor.OnAnswered(Name(2), now);
  Fail(1);
  BOOST_TEST((PathOf(2) == Path::kIdleOrPeer));
  BOOST_TEST(!monitor.TakeChanges().front().silent);
  now += absl::Seconds(1);
  BOOST_TEST((PathOf(2) == Path::kPeer));
}

BOOST_AUTO_TEST_CASE(silence_is_probed_while_several_answers_are_due) {
  const Duration patience = absl::Milliseconds(200);
  monitor.OnSent(Name(0), patience, now);
  // A single slow back end is no reason to probe.
  BOOST_TEST((monitor.NextWake() == absl::InfiniteFuture()));
  monitor.OnSent(Name(1), patience, now);
  monitor.OnAnswered(Name(2), now + absl::Milliseconds(100));
  BOOST_TEST((monitor.NextWake() == absl::InfiniteFuture()));
  monitor.OnSent(Name(0), patience, now);
  monitor.OnSent(Name(1), patience, now);
  now += patience;
  BOOST_TEST((monitor.TakeProbes(now) == std::vector<std::string>{Name(0), Name(1)}));
  BOOST_TEST((monitor.NextWake() == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(cut_path_is_probed_while_requests_come) {
  Fail(0);
  Fail(1);
  BOOST_TEST((monitor.NextWake() == absl::InfiniteFuture()));
  monitor.OnWanted(Name(0), now);
  BOOST_TEST(monitor.TakeProbes(now).empty());
  now += absl::Milliseconds(250);
  BOOST_TEST(!monitor.TakeProbes(now).empty());
  BOOST_TEST(monitor.TakeProbes(now + absl::Seconds(1)).empty());
}

BOOST_AUTO_TEST_CASE(single_owner_is_tried_through_a_peer) {
  Fail(0);
  BOOST_TEST((PathOf(0, false) == Path::kPeer));
  monitor.OnRelayed(Name(0), false, now);
  BOOST_TEST((PathOf(0, false) == Path::kDirect));
  now += absl::Seconds(1);
  monitor.OnRelayed(Name(0), true, now);
  BOOST_TEST((PathOf(0, false) == Path::kIdleOrPeer));
  monitor.OnConnected(Name(0), now);
  BOOST_TEST((PathOf(0, false) == Path::kDirect));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
