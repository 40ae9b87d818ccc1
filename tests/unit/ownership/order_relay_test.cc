// Orders that go directly, through a peer, or both.
#include "core/ownership/order_relay.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::ownership {
namespace {

constexpr uint64_t kPeer = 11;
constexpr uint64_t kOtherPeer = 12;
const OrderReply kDone{OrderStatus::kDone, ""};
const OrderReply kSilent{OrderStatus::kNoAnswer, ""};
const OrderReply kNotSent{OrderStatus::kNotSent, ""};
const OrderReply kRefused{OrderStatus::kUnreachable, ""};

struct RelayFixture {
  RelayFixture() { relay.SetPeers({kPeer, kOtherPeer}); }

  /// Returns the actions of this kind since the last call; others are dropped.
  template <typename T>
  std::vector<T> All() {
    std::vector<T> found;
    for (const OrderRelayAction& action : relay.TakeActions()) {
      if (const T* wanted = std::get_if<T>(&action)) {
        found.push_back(*wanted);
      }
    }
    return found;
  }
  void Grant(CallId call) { relay.OnGrant(call, "b", now + absl::Seconds(1), now); }
  void Advance(Duration time) {
    now += time;
    relay.OnTick(now);
  }
  /// Makes the relay learn that "b" is reached through kPeer only.
  void Cut() {
    Grant(1);
    relay.OnDirectReply(1, kNotSent, now);
    relay.OnPeerReply(1, kPeer, kDone, now);
    relay.TakeActions();
  }

  Time now = absl::FromUnixSeconds(1000);
  OrderRelay relay;
};

BOOST_FIXTURE_TEST_SUITE(order_relay, RelayFixture)

BOOST_AUTO_TEST_CASE(answered_order_uses_no_peer) {
  Grant(1);
  BOOST_TEST(All<SendDirectAction>().size() == 1U);
  relay.OnDirectReply(1, kDone, now);
  Advance(absl::Seconds(5));
  const auto actions = relay.TakeActions();
  BOOST_REQUIRE_EQUAL(actions.size(), 1U);
  BOOST_TEST((std::get<OrderOutcomeAction>(actions.front()).reply.status == OrderStatus::kDone));
  BOOST_TEST((relay.NextWake() == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(grant_without_an_answer_goes_through_a_peer_in_time_for_its_hold) {
  Grant(1);
  Advance(absl::Milliseconds(100));
  BOOST_TEST(All<SendThroughPeerAction>().empty());
  Advance(absl::Milliseconds(30));
  const auto sent = All<SendThroughPeerAction>();
  BOOST_REQUIRE_EQUAL(sent.size(), 1U);
  BOOST_TEST((sent.front().send_by <= now + absl::Milliseconds(150)));
  relay.OnPeerReply(1, kPeer, kDone, now);
  BOOST_TEST(All<OrderOutcomeAction>().size() == 1U);
  // The later answer of the direct way changes nothing.
  relay.OnDirectReply(1, kDone, now);
  BOOST_TEST(All<OrderOutcomeAction>().empty());
}

BOOST_AUTO_TEST_CASE(orders_go_through_the_peer_until_the_direct_way_answers) {
  Cut();
  Advance(absl::Milliseconds(100));
  Grant(2);
  BOOST_TEST(All<SendThroughPeerAction>().front().peer == kPeer);
  relay.OnPeerReply(2, kPeer, kDone, now);
  Advance(absl::Milliseconds(500));
  Grant(3);
  BOOST_TEST(All<SendDirectAction>().size() == 1U);
  relay.OnDirectReply(3, kDone, now);
  BOOST_TEST(relay.CountRelayed() == 0U);
  All<SendDirectAction>();
  Grant(4);
  BOOST_TEST(All<SendThroughPeerAction>().empty());
}

BOOST_AUTO_TEST_CASE(peer_without_a_path_gives_way_to_another) {
  Grant(1);
  relay.OnDirectReply(1, kNotSent, now);
  BOOST_TEST(All<SendThroughPeerAction>().front().peer == kPeer);
  relay.OnPeerReply(1, kPeer, kNotSent, now);
  BOOST_TEST(All<SendThroughPeerAction>().front().peer == kOtherPeer);
  relay.OnPeerReply(1, kOtherPeer, kDone, now);
  Grant(2);
  BOOST_TEST(All<SendThroughPeerAction>().front().peer == kOtherPeer);
}

BOOST_AUTO_TEST_CASE(outcome_tells_whether_the_order_may_have_left) {
  Grant(1);
  relay.OnDirectReply(1, kRefused, now);
  relay.OnPeerReply(1, kPeer, kRefused, now);
  relay.OnPeerReply(1, kOtherPeer, kRefused, now);
  BOOST_TEST((All<OrderOutcomeAction>().front().reply.status == OrderStatus::kUnreachable));
  Grant(2);
  relay.OnDirectReply(2, kNotSent, now);
  relay.OnPeerReply(2, kPeer, kRefused, now);
  relay.OnPeerReply(2, kOtherPeer, kRefused, now);
  BOOST_TEST((All<OrderOutcomeAction>().front().reply.status == OrderStatus::kNotSent));
  Grant(3);
  relay.OnDirectReply(3, kNotSent, now);
  relay.OnPeerReply(3, kPeer, kSilent, now);
  relay.OnPeerReply(3, kOtherPeer, kRefused, now);
  BOOST_TEST((All<OrderOutcomeAction>().front().reply.status == OrderStatus::kNoAnswer));
}

// A copy that arrives late could end a newer grant.
BOOST_AUTO_TEST_CASE(release_is_not_sent_both_ways_at_once) {
  Cut();
  Advance(absl::Seconds(1));
  relay.OnRelease(2, "b", now);
  BOOST_TEST(All<SendDirectAction>().empty());
  relay.OnRelease(3, "c", now);
  Advance(absl::Milliseconds(200));
  BOOST_TEST(All<SendThroughPeerAction>().empty());
}

BOOST_AUTO_TEST_CASE(old_release_is_not_relayed) {
  relay.OnRelease(1, "b", now);
  Advance(absl::Seconds(2));
  Cut();
  Advance(absl::Milliseconds(10));
  BOOST_TEST(All<SendThroughPeerAction>().empty());
}

BOOST_AUTO_TEST_CASE(single_node_reports_failures_at_once) {
  relay.SetPeers({});
  Grant(1);
  relay.OnDirectReply(1, kNotSent, now);
  BOOST_TEST((All<OrderOutcomeAction>().front().reply.status == OrderStatus::kNotSent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::ownership
