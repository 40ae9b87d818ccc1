#include "core/membership/transit_clock.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::membership {
namespace {

BOOST_AUTO_TEST_SUITE(transit_clock)

BOOST_AUTO_TEST_CASE(message_that_waited_in_a_buffer_shows_its_age) {
  TransitClock clock;
  const Time sender = absl::FromUnixSeconds(5);
  Time receiver = absl::FromUnixSeconds(9000);
  const auto age_of = [&](Duration sent, Duration received) {
    return clock.AgeOf(1, TransitClock::Stamp(sender + sent), receiver + received);
  };
  BOOST_TEST((age_of(absl::ZeroDuration(), absl::Milliseconds(3)) == absl::ZeroDuration()));
  BOOST_TEST((age_of(absl::Seconds(1), absl::Milliseconds(1001)) == absl::ZeroDuration()));
  BOOST_TEST((age_of(absl::Seconds(2), absl::Milliseconds(4001)) == absl::Seconds(2)));
  clock.Forget(1);
  BOOST_TEST((age_of(absl::Seconds(3), absl::Seconds(9)) == absl::ZeroDuration()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::membership
