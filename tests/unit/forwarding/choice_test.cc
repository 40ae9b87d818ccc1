// Tests the choice among the interchangeable back ends of a service.
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "core/load/outlier_detector.h"
#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

struct Fleet : DispatcherHarness {
  Fleet() : DispatcherHarness(WithoutHedging()) {}

  static DispatcherSettings WithoutHedging() {
    DispatcherSettings settings = DefaultSettings();
    settings.hedge = false;
    return settings;
  }

  /// Serves one request at a time; returns the number of requests per back end.
  std::map<std::string, int> Serve(int requests) {
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
      const SendDecision send = StartAndSend("/cards/1");
      Sent(send);
      Advance(ServiceTime(send.backend));
      Answer(send, 200, 1, 0);
      Only<RelayDecision>();
      ++counts[send.backend];
      Advance(absl::Milliseconds(100));
    }
    return counts;
  }

  Duration ServiceTime(const std::string& backend) const {
    return backend == slow ? absl::Milliseconds(300) : absl::Milliseconds(50);
  }

  std::string slow;
};

BOOST_FIXTURE_TEST_SUITE(choice, Fleet)

BOOST_AUTO_TEST_CASE(new_nodes_spread_over_all_back_ends) {
  std::map<std::string, int> counts;
  for (uint64_t seed = 0; seed < 40; ++seed) {
    DispatcherSettings settings = DefaultSettings();
    settings.seed = seed;
    DispatcherHarness node(settings);
    node.AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"});
    ++counts[node.StartAndSend("/cards/1").backend];
  }
  BOOST_REQUIRE_EQUAL(counts.size(), 4U);
  for (const auto& [backend, count] : counts) {
    BOOST_TEST(count < 20, backend);
  }
}

BOOST_AUTO_TEST_CASE(own_zone_is_preferred_until_it_costs_waiting) {
  AddBackends("cards", {"c-1", "c-2"});
  catalog::Backend remote = MakeBackend("r-1", "cards");
  remote.zone = "b";
  AddBackend(remote);
  BOOST_TEST(!Serve(20).contains("r-1"));
  std::vector<std::string> order;
  order.reserve(6);
  for (int i = 0; i < 6; ++i) {
    order.push_back(StartAndSend("/cards/1").backend);
  }
  BOOST_TEST(order[0] != "r-1");
  BOOST_TEST(order[1] != "r-1");
  BOOST_TEST(std::count(order.begin(), order.end(), "r-1") >= 1);
}

BOOST_AUTO_TEST_CASE(slow_back_end_gets_fewer_requests) {
  AddBackends("cards", {"c-1", "c-2", "c-3"});
  slow = "c-2";
  const auto counts = Serve(60);
  BOOST_TEST(counts.at("c-2") < 10);
  BOOST_TEST(counts.at("c-1") > 15);
  BOOST_TEST(counts.at("c-3") > 15);
}

BOOST_AUTO_TEST_CASE(cold_back_end_gets_fewer_requests_until_it_is_warm) {
  AddBackends("cards", {"c-1"});
  Serve(10);
  catalog::Backend cold = MakeBackend("c-2", "cards");
  cold.cold_until = now + absl::Seconds(4);
  AddBackend(cold);
  BOOST_TEST(Serve(10)["c-2"] < 3);
  Advance(absl::Seconds(4));
  BOOST_TEST(Serve(20)["c-2"] > 3);
}

BOOST_AUTO_TEST_CASE(recently_reported_queue_diverts_requests) {
  AddBackends("cards", {"c-1", "c-2"});
  Serve(10);
  const SendDecision send = StartAndSend("/cards/1");
  Sent(send);
  Advance(absl::Milliseconds(50));
  Answer(send, 200, 2, 5);
  Only<RelayDecision>();
  BOOST_TEST(StartAndSend("/cards/1").backend != send.backend);
  BOOST_TEST(StartAndSend("/cards/1").backend != send.backend);
}

BOOST_AUTO_TEST_CASE(refused_connection_ejects_the_back_end) {
  AddBackends("cards", {"c-1", "c-2", "c-3"});
  const SendDecision first = StartAndSend("/cards/1");
  Fail(first, AttemptFailure::kConnectRefused);
  BOOST_TEST(Only<SendDecision>().backend != first.backend);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend != first.backend);
  }
  bool ejected = false;
  for (const BackendStateChange& change : dispatcher.TakeStateChanges()) {
    ejected = ejected || (change.event == "ejected" && change.backend == first.backend);
  }
  BOOST_TEST(ejected);
}

BOOST_AUTO_TEST_CASE(ejection_time_grows_with_continued_failures) {
  load::OutlierDetector detector;
  for (const int expected : {100, 200, 400, 800, 1600, 2000, 2000}) {
    BOOST_TEST((detector.OnConnectRefused(now) == absl::Milliseconds(expected)));
  }
  BOOST_TEST((detector.unreachable_until() == now + absl::Seconds(2)));
  BOOST_TEST((detector.owner_unreachable_until() == now + absl::Milliseconds(400)));
  detector.OnConnected();
  BOOST_TEST(!detector.Unreachable(now));
  BOOST_TEST((detector.OnConnectTimeout(now) == absl::ZeroDuration()));
  BOOST_TEST((detector.OnConnectTimeout(now) == absl::Milliseconds(200)));
  for (const int expected : {0, 0, 1, 2, 4, 5}) {
    BOOST_TEST((detector.OnFailure(now) == absl::Seconds(expected)));
    now += absl::Seconds(expected);
  }
  detector.OnSuccess(now);
  BOOST_TEST((detector.OnFailure(now) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(only_a_relevant_registration_change_ends_an_ejection) {
  AddBackends("cards", {"c-1", "c-2"});
  const SendDecision first = StartAndSend("/cards/1");
  Fail(first, AttemptFailure::kConnectRefused);
  Only<SendDecision>();
  catalog::Backend changed = MakeBackend(first.backend, "cards");
  changed.cold_until = now + absl::Milliseconds(1);
  AddBackend(changed);
  Advance(absl::Milliseconds(2));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend != first.backend);
  }
  changed.address.port = 81;
  AddBackend(changed);
  BOOST_TEST(StartAndSend("/cards/1").backend == first.backend);
}

BOOST_AUTO_TEST_CASE(failing_back_ends_are_ejected_up_to_a_maximum_share) {
  AddBackends("cards", {"c-1", "c-2", "c-3", "c-4"});
  std::set<std::string> bad = {"c-1"};
  std::map<std::string, int> reached;
  const auto serve = [&](int requests) {
    reached.clear();
    for (int i = 0; i < requests; ++i) {
      const SendDecision send = StartAndSend("/cards/1");
      Sent(send);
      ++reached[send.backend];
      Answer(send, bad.contains(send.backend) ? 500 : 200);
      Only<RelayDecision>();
      Advance(absl::Milliseconds(5));
    }
  };
  serve(60);
  serve(100);
  BOOST_TEST(reached["c-1"] <= 1);
  bad = {"c-1", "c-2", "c-3"};
  serve(100);
  serve(40);
  BOOST_TEST(reached["c-4"] < 30);
}

BOOST_AUTO_TEST_CASE(back_end_that_rejects_with_free_slots_is_ejected) {
  AddBackends("cards", {"c-1", "c-2", "c-3"});
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    Start("/cards/1");
    for (auto sends = All<SendDecision>(); !sends.empty(); sends = All<SendDecision>()) {
      Sent(sends.front());
      if (sends.front().backend == "c-1") {
        ++refused;
        Refuse(sends.front(), 503, 0, 0);
      } else {
        Answer(sends.front());
      }
    }
    Advance(absl::Milliseconds(100));
  }
  BOOST_TEST(refused < 10);
}

BOOST_AUTO_TEST_CASE(wrong_instance_at_the_address_ejects_the_back_end) {
  AddBackends("cards", {"c-1", "c-2"});
  const SendDecision first = StartAndSend("/cards/1");
  Sent(first);
  Answer(first, 421);
  const auto second = Only<SendDecision>();
  BOOST_TEST(second.backend != first.backend);
  Sent(second);
  Answer(second);
  Only<RelayDecision>();
  Advance(absl::Seconds(1));
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend == second.backend);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
