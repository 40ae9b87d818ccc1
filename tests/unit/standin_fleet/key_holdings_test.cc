#include "standin/fleet/key_holdings.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::fleet {
namespace {

const Time kStart = absl::UnixEpoch();
constexpr Duration kHold = absl::Seconds(4);
constexpr Duration kWarmup = absl::Seconds(1);

struct Fixture {
  HandoverLedger ledger;
  KeyHoldings first{"first", &ledger, kWarmup, 0.02};
  KeyHoldings second{"second", &ledger, kWarmup, 0};
};

GrantOrder Order(ownership::Key from, ownership::Key until, ownership::Fence fence,
                 const std::string& handover = "") {
  return {.range = {from, until}, .fence = fence, .hold = kHold, .handover = handover};
}

BOOST_FIXTURE_TEST_SUITE(key_holdings, Fixture)

BOOST_AUTO_TEST_CASE(hold_ends_late_by_the_slowness_of_the_clock) {
  BOOST_TEST(first.Grant(Order(10, 20, 1), kStart));
  BOOST_TEST(first.Holds(20, kStart + kHold * 1.01));
  BOOST_TEST(!first.Holds(20, kStart + kHold * 1.03));
  BOOST_TEST(!first.Holds(21, kStart));
}

BOOST_AUTO_TEST_CASE(grant_below_a_seen_fence_changes_nothing) {
  first.Grant(Order(15, 15, 5), kStart);
  BOOST_TEST(!first.Grant(Order(10, 20, 4), kStart));
  BOOST_TEST(!first.Holds(10, kStart));
  BOOST_TEST(first.Grant(Order(10, 20, 5), kStart));
}

BOOST_AUTO_TEST_CASE(release_with_the_next_fence_shuts_out_late_grants) {
  first.Grant(Order(10, 20, 1), kStart);
  first.Release({12, 14}, 2, kStart);
  BOOST_TEST(!first.Holds(13, kStart));
  BOOST_TEST(first.Holds(15, kStart));
  BOOST_TEST(!first.Grant(Order(10, 20, 1), kStart));
}

BOOST_AUTO_TEST_CASE(keys_are_cold_unless_they_come_with_their_handover) {
  first.Grant(Order(0, 99, 1), kStart);
  BOOST_TEST(!first.IsCold(5, kStart));
  const std::string token = first.Release({0, 49}, 2, kStart);
  second.Grant(Order(0, 49, 2, token), kStart);
  BOOST_TEST(!second.IsCold(5, kStart));
  first.Release({50, 99}, 3, kStart);
  second.Grant(Order(50, 99, 3), kStart);
  BOOST_TEST(second.IsCold(60, kStart));
  BOOST_TEST(!second.IsCold(60, kStart + kWarmup));
  BOOST_TEST(!second.IsCold(5, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::fleet
