// Tests routing by host and path, traffic splits, and the configuration that applies to a request.
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

catalog::Configuration WithPrefixes() {
  catalog::Configuration configuration = DispatcherHarness::DefaultConfiguration();
  configuration.version = 2;
  catalog::Route deeper = configuration.routes[0];
  deeper.name = "deeper";
  deeper.path_prefix = "/cards/old/";
  configuration.routes.insert(configuration.routes.begin(), deeper);
  return configuration;
}

BOOST_AUTO_TEST_SUITE(route)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_path_wins) {
  DispatcherHarness harness;
  harness.Configure(WithPrefixes());
  const auto name = [&](std::string_view host, std::string_view target) {
    const catalog::Route* found = harness.dispatcher.FindRoute(host, target);
    return found == nullptr ? std::string("none") : found->name;
  };
  BOOST_TEST(name("h.example", "/cards/1") == "cards");
  BOOST_TEST(name("h.example", "/cards/old/1") == "deeper");
  BOOST_TEST(name("H.Example:8080", "/cards/old/") == "deeper");
  BOOST_TEST(name("h.example", "/cards/old") == "cards");
  BOOST_TEST(name("h.example", "/cards?/cards/old/") == "none");
  BOOST_TEST(name("h.example", "/cards/1?x=/cards/old/") == "cards");
  BOOST_TEST(name("other.example", "/cards/1") == "none");
}

// Guards against 404 for a caller that writes the host as a fully qualified name.
BOOST_AUTO_TEST_CASE(a_final_dot_of_the_host_chooses_the_same_route) {
  DispatcherHarness harness;
  catalog::Configuration configuration = WithPrefixes();
  configuration.routes.front().host = "Dotted.Example.";
  harness.Configure(configuration);
  for (const char* host : {"h.example.", "H.EXAMPLE.:8080"}) {
    BOOST_TEST((harness.dispatcher.FindRoute(host, "/cards/1") != nullptr), host);
  }
  for (const char* host : {"dotted.example", "dotted.example.", "dotted.example:80"}) {
    BOOST_TEST((harness.dispatcher.FindRoute(host, "/cards/old/1") != nullptr), host);
  }
  BOOST_TEST((harness.dispatcher.FindRoute(".", "/cards/1") == nullptr));
}

BOOST_AUTO_TEST_CASE(no_route_is_404_but_no_configuration_is_503) {
  DispatcherHarness harness;
  harness.Start("/nowhere/1");
  BOOST_TEST(harness.Only<AnswerDecision>().status == 404);

  Dispatcher empty(DispatcherHarness::DefaultSettings());
  empty.Start({"id", "h.example", "/cards/1", std::nullopt, harness.now, absl::InfiniteFuture()},
              harness.now);
  const auto decisions = empty.TakeDecisions();
  BOOST_REQUIRE_EQUAL(decisions.size(), 1U);
  const auto& answer = std::get<AnswerDecision>(decisions.front().decision);
  BOOST_TEST(answer.status == 503);
  BOOST_TEST((answer.retry_after > absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(older_configuration_is_ignored) {
  DispatcherHarness harness;
  harness.Configure(WithPrefixes());
  harness.Configure(DispatcherHarness::DefaultConfiguration());
  BOOST_TEST(harness.dispatcher.FindRoute("h.example", "/cards/old/1")->name == "deeper");
}

BOOST_AUTO_TEST_CASE(split_stays_within_two_requests_of_its_shares) {
  DispatcherHarness harness;
  catalog::Configuration split = DispatcherHarness::DefaultConfiguration();
  split.version = 2;
  split.routes[0].targets = {{"cards", 0.7}, {"books", 0.2}, {"spare", 0.1}};
  split.services["spare"].name = "spare";
  harness.Configure(split);
  harness.AddBackends("cards", {"c-1"});
  harness.AddBackends("books", {"b-1"});
  harness.AddBackends("spare", {"s-1"});
  std::map<std::string, int> counts;
  for (int i = 1; i <= 300; ++i) {
    const SendDecision send = harness.StartAndSend("/cards/1");
    harness.Sent(send);
    harness.Answer(send);
    harness.Only<RelayDecision>();
    ++counts[send.backend];
    // New versions with an unchanged split must not restart its cycle.
    ++split.version;
    harness.Configure(split);
    BOOST_REQUIRE_LT(std::abs(counts["c-1"] - 0.7 * i), 2);
    BOOST_REQUIRE_LT(std::abs(counts["b-1"] - 0.2 * i), 2);
  }
}

BOOST_AUTO_TEST_CASE(retry_stays_in_the_chosen_service) {
  DispatcherHarness harness;
  catalog::Configuration split = DispatcherHarness::DefaultConfiguration();
  split.version = 2;
  split.routes[0].targets = {{"cards", 1}, {"books", 1}};
  harness.Configure(split);
  harness.AddBackends("cards", {"c-1", "c-2"});
  harness.AddBackends("books", {"b-1", "b-2"});
  for (int i = 0; i < 8; ++i) {
    const SendDecision first = harness.StartAndSend("/cards/1");
    harness.Sent(first);
    harness.Fail(first, AttemptFailure::kConnectRefused);
    const auto second = harness.Only<SendDecision>();
    BOOST_TEST(second.backend.front() == first.backend.front());
    BOOST_TEST(second.backend != first.backend);
    harness.Sent(second);
    harness.Answer(second);
    harness.Only<RelayDecision>();
    harness.Advance(absl::Seconds(3));
  }
}

// A target of a split without capacity keeps its share: its excess requests are refused instead of
// sent to other targets.
BOOST_AUTO_TEST_CASE(excess_requests_of_a_split_target_do_not_go_to_other_targets) {
  DispatcherHarness harness;
  catalog::Configuration split = DispatcherHarness::DefaultConfiguration();
  split.version = 2;
  split.routes[0].targets = {{"cards", 1}, {"books", 1}, {"scripts", 2}};
  harness.Configure(split);
  harness.AddBackends("cards", {"c-1"});
  // "books" has no back end, and the owner of all keys of "scripts" is full.
  harness.AddBackends("scripts", {"s-1"});
  harness.Own("s-1");
  const SendDecision shed = harness.StartAndSend("/scripts/1", absl::Seconds(2), 7);
  harness.Sent(shed);
  harness.Refuse(shed);
  int served = 0;
  int refused = 0;
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    harness.Start("/cards/1", absl::Seconds(2), 7);
    for (const RequestDecision& decided : harness.dispatcher.TakeDecisions()) {
      if (const auto* send = std::get_if<SendDecision>(&decided.decision)) {
        if (send->backend == "c-1") {
          ++served;
          harness.Sent(*send);
          harness.Answer(*send);
        } else {
          harness.Sent(*send);
          harness.Refuse(*send);
        }
      }
      refused += std::holds_alternative<AnswerDecision>(decided.decision) ? 1 : 0;
    }
    harness.Advance(absl::Milliseconds(120));
    refused += static_cast<int>(harness.All<AnswerDecision>().size());
  }
  BOOST_TEST(served == kRequests / 4);
  BOOST_TEST(refused >= kRequests * 3 / 4 - 1);
}

BOOST_AUTO_TEST_CASE(request_keeps_the_route_it_started_with) {
  DispatcherHarness harness;
  harness.AddBackends("cards", {"c-1", "c-2"});
  const SendDecision first = harness.StartAndSend("/cards/1");
  catalog::Configuration without = DispatcherHarness::DefaultConfiguration();
  without.version = 2;
  without.routes.erase(without.routes.begin());
  harness.Configure(without);
  harness.Fail(first, AttemptFailure::kConnectRefused);
  const auto second = harness.Only<SendDecision>();
  harness.Sent(second);
  harness.Answer(second);
  BOOST_TEST(harness.Only<RelayDecision>().attempt == second.attempt);
  harness.Start("/cards/1");
  BOOST_TEST(harness.Only<AnswerDecision>().status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
