// Back ends that restart under the same name start with fresh state; the earlier incarnation gets
// no more requests.
#include <boost/test/unit_test.hpp>

#include "core/catalog/incarnation_id.h"
#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

struct Fixture : DispatcherHarness {
  /// Restarts the back end without an announced shutdown; its earlier registration disappears in
  /// the same update.
  void Restart(const std::string& instance, uint64_t from, uint64_t to,
               const std::string& service) {
    std::erase_if(backends, [&](const catalog::Backend& backend) {
      return backend.id == catalog::IncarnationId(instance, from);
    });
    AddBackend(MakeBackend(catalog::IncarnationId(instance, to), service));
  }
};

BOOST_FIXTURE_TEST_SUITE(restart, Fixture)

BOOST_AUTO_TEST_CASE(the_earlier_incarnation_gets_no_more_requests) {
  AddBackends("cards", {"c-1@1"});
  AddBackends("scripts", {"s-1@1"});
  Own("s-1@1");
  const SendDecision card = StartAndSend("/cards/1");
  const SendDecision script = StartAndSend("/scripts/1", absl::Seconds(2), 7);
  Restart("c-1", 1, 2, "cards");
  Restart("s-1", 1, 2, "scripts");
  BOOST_TEST(!dispatcher.MaySend(card.attempt, now));
  BOOST_TEST(!dispatcher.MaySend(script.attempt, now));
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(StartAndSend("/cards/1").backend == "c-1@2");
  }
}

BOOST_AUTO_TEST_CASE(a_restarted_back_end_has_the_load_of_a_new_one) {
  AddBackends("cards", {"c-1@1"});
  for (int i = 0; i < 4; ++i) {
    Sent(StartAndSend("/cards/1"));
  }
  Restart("c-1", 1, 2, "cards");
  DispatcherHarness untouched;
  untouched.AddBackends("cards", {"c-1@2"});
  const Duration of_a_new_one = untouched.StartAndSend("/cards/1").expected_wait;
  BOOST_TEST((StartAndSend("/cards/1").expected_wait == of_a_new_one));
}

// The row of an earlier incarnation may be read late; it stopped new work at the living one.
BOOST_AUTO_TEST_CASE(late_registration_of_an_earlier_incarnation_ends_nothing) {
  AddBackends("cards", {"c-1@2"});
  const SendDecision card = StartAndSend("/cards/1");
  AddBackends("cards", {"c-1@1"});
  BOOST_TEST(dispatcher.MaySend(card.attempt, now));
}

BOOST_AUTO_TEST_CASE(another_back_end_with_a_similar_name_is_unaffected) {
  AddBackends("cards", {"c-1@1"});
  AddBackends("cards", {"c-11@2"});
  const SendDecision card = StartAndSend("/cards/1");
  AddBackends("cards", {"c-111@3"});
  BOOST_TEST(dispatcher.MaySend(card.attempt, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
