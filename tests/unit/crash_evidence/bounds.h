// What is promised of a request that ends back ends, and of all others.
#pragma once

#include <boost/test/unit_test.hpp>

#include "fleet_model.h"

namespace ladderstream::model {

inline constexpr quarantine::Fingerprint kGuilty{1, 1};
inline constexpr size_t kSentLateAllowed = 3;
/// An innocent request that was at work at three ended back ends and served nowhere in between
/// cannot be told from the guilty one, until it is tried again.
inline constexpr Duration kLongestRefused = absl::Seconds(15);
/// Longer than every wait, hold of a path and lapse of a registration.
inline constexpr Duration kWatched = absl::Seconds(30);

inline GuiltyCaller CallerOf(EndMode mode, Duration interval = absl::Milliseconds(500)) {
  GuiltyCaller caller;
  caller.request = kGuilty;
  caller.mode = mode;
  caller.interval = interval;
  return caller;
}

inline void CheckBounds(const FleetModel& fleet) {
  const GuiltyTally tally = fleet.Tally(kGuilty);
  BOOST_TEST_MESSAGE("sent " << tally.sent << ", ended " << tally.ended << ", late "
                             << tally.sent_late << ", innocents refused "
                             << fleet.innocent_refused() << ", served " << fleet.innocent_served());
  BOOST_TEST(tally.ended >= 3U, "the request ended " << tally.ended << " back ends, wanted 3");
  BOOST_TEST(tally.sent_late <= kSentLateAllowed);
  BOOST_TEST(fleet.innocent_refused() == 0U, "innocents refused:" << fleet.refusals());
  BOOST_TEST((fleet.longest_refused() <= kLongestRefused),
             "an innocent request was refused for " << fleet.longest_refused());
  BOOST_TEST(fleet.innocent_served() > 100U);
}

}  // namespace ladderstream::model
