#include <boost/test/unit_test.hpp>
#include <optional>

#include "core/membership/transit_clock.h"
#include "node/order_sender.h"
#include "platform/adapter.h"
#include "wire/boot_clock.h"

namespace ladderstream::node {
namespace {

constexpr uint64_t kConnection = 7;
constexpr uint64_t kSelf = 3;
/// Nobody listens there.
const Endpoint kClosed{"127.0.0.1", 1};

struct CarrierFixture {
  membership::RelayedOrder NewGrant() {
    membership::RelayedOrder order;
    order.sequence = ++last_order;
    order.backend = "x";
    order.address = kClosed;
    order.hold_ms = 1000;
    order.send_within_ms = 250;
    return order;
  }
  /// Returns the outcome of an order of this age.
  ownership::OrderStatus Carry(std::optional<Duration> age) {
    outcome.reset();
    carrier.OnOrder(kConnection, NewGrant(), age);
    while (!outcome.has_value()) {
      loop.restart();
      loop.run_one();
    }
    return *outcome;
  }

  gateway::EventLoop loop{1};
  BootTimeSource clock;
  gateway::HttpClient client{loop, clock, {}};
  interfaces::PlatformAdapterPtr adapter = platform::MakeAdapter();
  OrderClient order_client{
      &client, adapter.get(), {.grant = absl::Seconds(1), .release = absl::Seconds(1)}};
  std::optional<ownership::OrderStatus> outcome;
  OrderCarrier carrier{&order_client, &clock, kSelf,
                       [this](uint64_t, const membership::RelayedOrderResult& result) {
                         outcome = static_cast<ownership::OrderStatus>(result.status);
                       }};
  uint64_t last_order = 0;
};

BOOST_FIXTURE_TEST_SUITE(order_carrier, CarrierFixture)

BOOST_AUTO_TEST_CASE(an_order_in_time_is_sent) {
  BOOST_TEST((Carry(absl::Milliseconds(10)) == ownership::OrderStatus::kUnreachable));
}

BOOST_AUTO_TEST_CASE(an_order_that_was_held_up_is_not_sent) {
  BOOST_TEST((Carry(absl::Milliseconds(260)) == ownership::OrderStatus::kNotSent));
}

// Guards against a grant that waited for its connection, or on its link, and is taken after the end
// of the hold that the coordinator waited out.
BOOST_AUTO_TEST_CASE(an_order_of_unknown_age_is_not_sent) {
  membership::TransitClock transit;
  const Time now = clock.Now();
  const auto age =
      transit.KnownAgeOf(kConnection, membership::TransitClock::Stamp(now - absl::Seconds(1)), now);
  BOOST_TEST((Carry(age) == ownership::OrderStatus::kNotSent));
}

// A report or a heartbeat before it makes the age of the first order of a connection known.
BOOST_AUTO_TEST_CASE(the_first_order_after_another_message_has_an_age) {
  membership::TransitClock transit;
  const Time now = clock.Now();
  const auto stamp = [now](Duration before) {
    return membership::TransitClock::Stamp(now - before);
  };
  transit.KnownAgeOf(kConnection, stamp(absl::Seconds(3)), now - absl::Seconds(3));
  const auto age = transit.KnownAgeOf(kConnection, stamp(absl::Seconds(1)), now);
  BOOST_TEST((age == absl::Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::node
