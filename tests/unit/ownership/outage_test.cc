// Tests of temporary store outages that affect the holder, standbys, or all nodes.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "coordinator_harness.h"
#include "core/ownership/belief_events.h"
#include "core/ownership/holder_watch.h"

namespace ladderstream::ownership {
namespace {

const Time kStart = absl::UnixEpoch();
constexpr Duration kStep = absl::Milliseconds(50);
constexpr Duration kHeartbeats = absl::Milliseconds(300);

struct Holding {
  explicit Holding(const CoordinatorSettings& settings = {})
      : node(&store, 1, 1, kStart, settings) {
    node.Settle({"a", "b"});
  }
  ModelStore store;
  Harness node;
};

/// Returns the longest time from `since` on for which an owner held no keys.
Duration LongestGap(const Harness& node, Time since) {
  std::map<std::string, Time> held_until;
  Duration longest = absl::ZeroDuration();
  for (const At<GrantAction>& grant : node.grants) {
    Time& until = held_until.try_emplace(grant.sent.backend, grant.at).first->second;
    if (grant.at >= since) {
      longest = std::max(longest, grant.at - until);
    }
    until = std::max(until, grant.at + grant.sent.hold);
  }
  return longest;
}

BOOST_AUTO_TEST_CASE(OwnersKeepTheirKeysDuringAStoreOutage) {
  for (const int seconds : {3, 5, 8}) {
    Holding holding;
    Harness& node = holding.node;
    const Time outage_start = node.now;
    const uint64_t epoch = node.coordinator.View().epoch;
    node.store_answers = false;
    node.Run(absl::Seconds(seconds));
    node.store_answers = true;
    const Time recovered = node.now;
    node.Run(absl::Seconds(1));
    BOOST_TEST((LongestGap(node, outage_start) == absl::ZeroDuration()), seconds);
    BOOST_TEST(node.coordinator.Holds(node.now));
    BOOST_TEST(node.coordinator.View().epoch == epoch);
    BOOST_TEST(!node.IsMoving(0));
    const auto written = std::find_if(
        node.commits.begin(), node.commits.end(),
        [recovered](const At<CommitAction>& commit) { return commit.at >= recovered; });
    BOOST_REQUIRE((written != node.commits.end()));
    // A write in flight when the store recovered is given its full time-out.
    BOOST_TEST((written->at - recovered <= node.settings.store_timeout + absl::Milliseconds(300)));
  }
}

BOOST_AUTO_TEST_CASE(HolderRetriesOftenWhileTheStoreRefuses) {
  Holding holding;
  Harness& node = holding.node;
  node.store_refuses = true;
  const size_t before = node.commits.size();
  node.Run(absl::Seconds(8));
  BOOST_TEST(node.commits.size() - before <= 50U);
  for (size_t i = before + 1; i < node.commits.size(); ++i) {
    BOOST_TEST((node.commits[i].at - node.commits[i - 1].at <= absl::Milliseconds(301)));
  }
}

BOOST_AUTO_TEST_CASE(SameHolderGrantsAtOnceAfterALongOutage) {
  Holding holding;
  Harness& node = holding.node;
  const uint64_t epoch = node.coordinator.View().epoch;
  node.store_answers = false;
  node.Run(absl::Seconds(12));
  BOOST_TEST(!node.coordinator.Holds(node.now));
  node.store_answers = true;
  const Time recovered = node.now;
  node.Run(absl::Seconds(1));
  BOOST_TEST(node.coordinator.View().epoch == epoch);
  const auto grants = node.GrantsSince(recovered);
  BOOST_REQUIRE(grants.size() >= 2U);
  BOOST_TEST((grants[1].at - recovered <= node.settings.store_timeout + absl::Milliseconds(310)));
}

BOOST_AUTO_TEST_CASE(HoldsOutliveTheLeaseByAtMostTheMapConfirmation) {
  for (const int hold_ms : {1500, 4500, 8000}) {
    CoordinatorSettings settings;
    settings.hold = absl::Milliseconds(hold_ms);
    settings.hold_renewal = settings.hold / 4;
    Holding holding(settings);
    Harness& node = holding.node;
    node.store_answers = false;
    const Time lease_end = node.coordinator.LeaseUntil();
    node.Run(absl::Seconds(10));
    for (const At<GrantAction>& grant : node.grants) {
      BOOST_TEST((grant.sent.hold <= settings.hold));
      BOOST_TEST((grant.at + grant.sent.hold <= lease_end + settings.map_confirmation));
    }
  }
}

BOOST_AUTO_TEST_CASE(HolderThatSendsHeartbeatsButDoesNotRenewIsChallenged) {
  const CoordinatorSettings settings;
  HolderWatch watch(settings, {7, "node", {"node", 7}});
  const LeaseView view{3, 9, {"node", 9}, 40};
  Time now = kStart;
  watch.OnHeartbeat(view, now);
  for (; now < kStart + settings.unrenewed_timeout; now += kHeartbeats) {
    watch.OnHeartbeat(view, now);
    BOOST_TEST(!watch.HolderUnrenewed(now));
    BOOST_TEST((watch.ReadDue() > now));
  }
  for (; now < kStart + 2 * settings.unrenewed_timeout + settings.heartbeat_timeout;
       now += kHeartbeats) {
    watch.OnHeartbeat(view, now);
  }
  BOOST_TEST(watch.HolderUnrenewed(now));
  BOOST_TEST((watch.ReadDue() <= now));
  // After a failed read the next one is delayed in spite of heartbeats.
  watch.OnFailure(now);
  watch.OnHeartbeat(view, now + kHeartbeats);
  BOOST_TEST((watch.ReadDue() > now + settings.heartbeat_timeout));
  // The holder renews its row again.
  LeaseView renewed = view;
  renewed.row_version = 41;
  watch.OnHeartbeat(renewed, now + kHeartbeats);
  BOOST_TEST(!watch.HolderUnrenewed(now + kHeartbeats));
  BOOST_TEST((watch.ReadDue() > now + settings.heartbeat_timeout));
}

BOOST_AUTO_TEST_CASE(HolderThatAloneLostTheStoreIsReplacedInSpiteOfHeartbeats) {
  Holding holding;
  Harness& holder = holding.node;
  Harness standby(&holding.store, 2, 2, holder.now);
  standby.Register({"a", "b"});
  holder.store_answers = false;
  const Time alone = holder.now;
  const Duration timeout = holder.settings.unrenewed_timeout;
  while (!standby.coordinator.Holds(standby.now) && holder.now < alone + 3 * timeout) {
    if (holder.coordinator.Holds(holder.now)) {
      standby.coordinator.OnHeartbeat(holder.coordinator.View(), standby.now);
    }
    holder.Run(kStep);
    standby.Run(kStep);
  }
  BOOST_TEST(standby.coordinator.Holds(standby.now));
  BOOST_TEST((standby.now - alone >= timeout - kStep));
  BOOST_TEST((standby.now - alone <= 2 * timeout + holder.settings.heartbeat_timeout + kStep));
  holder.coordinator.OnHeartbeat(standby.coordinator.View(), holder.now);
  BOOST_TEST(!holder.coordinator.Holds(holder.now));
}

/// The reads of all standbys fail during an outage. The first standby whose read succeeds must not
/// depose a holder that is about to renew.
BOOST_AUTO_TEST_CASE(HolderHasTimeToRenewAfterTheStoreRecovers) {
  const CoordinatorSettings settings;
  HolderWatch watch(settings, {7, "node", {"node", 7}});
  const LeaseRow row{3, 9, 1, {"node", 9}};
  watch.OnHeartbeat({3, 9, {"node", 9}, 40}, kStart);
  const Time outage_start = kStart + absl::Seconds(5);
  watch.OnFailure(outage_start);
  const Time recovered = outage_start + absl::Seconds(1);
  BOOST_TEST(!watch.OnRow(row, 40, recovered));
  BOOST_TEST((watch.ReadDue() >= recovered + absl::Milliseconds(300)));
  BOOST_TEST((watch.ReadDue() <= recovered + absl::Milliseconds(500)));
  BOOST_TEST(watch.OnRow(row, 40, watch.ReadDue()));
  watch.OnFailure(outage_start);
  watch.OnEnded(9, recovered);
  BOOST_TEST(watch.OnRow(row, 40, recovered));
}

/// Guards against a slow machine that takes the lease because its read was the first to succeed
/// after an outage in which the holder's process ended.
BOOST_AUTO_TEST_CASE(SlowMachineLeavesTheLeaseToFastOnesAfterAnOutage) {
  CoordinatorSettings settings;
  settings.challenge_delay = absl::Milliseconds(400);
  HolderWatch watch(settings, {7, "node", {"node", 7}});
  const LeaseRow row{3, 9, 1, {"node", 9}};
  watch.OnHeartbeat({3, 9, {"node", 9}, 40}, kStart);
  watch.OnEnded(9, kStart);
  watch.OnFailure(kStart + absl::Seconds(1));
  const Time recovered = kStart + absl::Seconds(2);
  BOOST_TEST(!watch.OnRow(row, 40, recovered));
  BOOST_TEST((watch.ReadDue() == recovered + settings.challenge_delay));
  BOOST_TEST(watch.OnRow(row, 40, watch.ReadDue()));
}

BOOST_AUTO_TEST_CASE(StandbysReadRarelyDuringAnOutageWhileHeartbeatsArrive) {
  Holding holding;
  Harness standby(&holding.store, 2, 2, holding.node.now);
  standby.Register({"a", "b"});
  standby.store_answers = false;
  const LeaseView view = holding.node.coordinator.View();
  for (Duration elapsed = absl::ZeroDuration(); elapsed < absl::Seconds(8);
       elapsed += kHeartbeats) {
    standby.coordinator.OnHeartbeat(view, standby.now);
    standby.Run(kHeartbeats);
  }
  BOOST_TEST(standby.reads <= 3U);
  BOOST_TEST(standby.commits.empty());
}

}  // namespace
}  // namespace ladderstream::ownership
