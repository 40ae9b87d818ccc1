// Tests the load report to the coordinator for requests with keys.
#include <boost/test/unit_test.hpp>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

BOOST_FIXTURE_TEST_SUITE(load, DispatcherHarness)

BOOST_AUTO_TEST_CASE(keys_of_refused_requests_are_counted) {
  for (int i = 0; i < 3; ++i) {
    Start("/scripts/1", absl::Seconds(1), 9);
  }
  BOOST_TEST(All<AnswerDecision>().size() == 3U);
  const auto loads = dispatcher.TakeLoad();
  BOOST_REQUIRE_EQUAL(loads.size(), 1U);
  BOOST_TEST(loads[0].service == "scripts");
  BOOST_REQUIRE_EQUAL(loads[0].keys.size(), 1U);
  BOOST_TEST(loads[0].keys[0].key == 9U);
  BOOST_TEST(loads[0].keys[0].count == 3);
  BOOST_TEST(dispatcher.TakeLoad().empty());
}

BOOST_AUTO_TEST_CASE(service_times_are_sampled_only_without_queueing) {
  AddBackends("scripts", {"s-1"});
  Own("s-1");
  const auto serve = [this](uint32_t waiting, int status) {
    const SendDecision send = StartAndSend("/scripts/1", absl::Seconds(1), 9);
    Sent(send);
    Advance(absl::Milliseconds(40));
    Answer(send, status, 1, waiting);
    Only<RelayDecision>();
  };
  serve(0, 200);
  serve(0, 200);
  serve(3, 200);
  serve(0, 500);
  const auto loads = dispatcher.TakeLoad();
  BOOST_REQUIRE_EQUAL(loads.size(), 1U);
  BOOST_REQUIRE_EQUAL(loads[0].samples.size(), 1U);
  BOOST_TEST(loads[0].samples[0].backend == "s-1");
  BOOST_TEST(loads[0].samples[0].answers == 2U);
  BOOST_TEST((loads[0].samples[0].total == absl::Milliseconds(80)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
