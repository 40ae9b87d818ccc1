// Tests of TableFollower::changed_after(): the earliest time at which a change reported to a copy
// may have taken effect.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/store/table_follower.h"
#include "table_rows.h"

namespace ladderstream::store {
namespace {

constexpr Duration kDelivery = absl::Seconds(1);

/// A follower that read rows "a" and "b" at kStart and has had a watch outstanding since then.
struct Watching {
  Watching() : follower({.table = kTable, .partition = "", .seed = 7}) {
    const auto read = follower.Poll(kStart);
    follower.OnReply(read->call, Done({MakeRow("a", 8), MakeRow("b", 9)}, 10), kStart);
    follower.TakeChangedKeys();
    watch = follower.Poll(kStart);
  }

  TableFollower follower;
  std::optional<FollowerCall> watch;
};

BOOST_FIXTURE_TEST_CASE(WaitingWatchReportsChangeWithinDeliveryTime, Watching) {
  const Time later = kStart + absl::Seconds(5);
  follower.OnReply(watch->call, Done({Removed("a", 11)}, 11), later);
  BOOST_TEST((follower.changed_after() == later - kDelivery));
  follower.TakeChangedKeys();
  BOOST_TEST((follower.changed_after() == absl::InfiniteFuture()));
}

BOOST_FIXTURE_TEST_CASE(ImmediateAnswerMayReportChangesBeforeTheWatch, Watching) {
  follower.OnReply(watch->call, Done({MakeRow("c", 11)}, 11), kStart + absl::Seconds(5));
  follower.TakeChangedKeys();
  follower.Suspend(kStart + absl::Seconds(7), kStart + absl::Seconds(6));
  const Time resumed = kStart + absl::Seconds(7);
  const auto next = follower.Poll(resumed);
  const Time answered = resumed + absl::Milliseconds(20);
  follower.OnReply(next->call, Done({Removed("a", 12)}, 12), answered);
  BOOST_TEST((follower.changed_after() == kStart + absl::Seconds(6)));
}

BOOST_FIXTURE_TEST_CASE(ReadAfterLostWatchIgnoresWatchedUntil, Watching) {
  // The store answered other calls meanwhile, so the watch seemed to work.
  follower.OnStoreAnswered(kStart + absl::Seconds(2));
  BOOST_TEST((follower.watched_until() == kStart + absl::Seconds(2)));
  StoreReply lost;
  lost.status = StoreStatus::kHistoryGone;
  follower.OnReply(watch->call, lost, kStart + absl::Seconds(3));
  const Time later = kStart + absl::Seconds(3);
  const auto read = follower.Poll(later);
  follower.OnReply(read->call, Done({MakeRow("b", 9)}, 20), later);
  BOOST_TEST((follower.changed_after() == kStart));
}

// Guards against the time in which a dead watch was trusted being taken for confirmed: a back end
// that had left long ago was given the whole time of one that leaves now.
BOOST_FIXTURE_TEST_CASE(RestartedWatchConfirmsNothingBeforeItsReply, Watching) {
  follower.RestartWatch();
  follower.OnStoreAnswered(kStart + absl::Seconds(3));
  BOOST_TEST((follower.watched_until() == kStart));
  const auto next = follower.Poll(kStart + absl::Seconds(3));
  BOOST_TEST_REQUIRE(next.has_value());
  BOOST_TEST((std::get<WatchQuery>(next->query).wait == absl::ZeroDuration()));
  follower.OnReply(next->call, Done({Removed("a", 11)}, 11), kStart + absl::Seconds(3));
  BOOST_TEST((follower.changed_after() == kStart));
  follower.OnStoreAnswered(kStart + absl::Seconds(4));
  BOOST_TEST((follower.watched_until() == kStart + absl::Seconds(4)));
}

BOOST_FIXTURE_TEST_CASE(OldestOfSeveralChangesDeterminesChangedAfter, Watching) {
  const Time first = kStart + absl::Seconds(5);
  follower.OnReply(watch->call, Done({MakeRow("c", 11)}, 11), first);
  const auto next = follower.Poll(follower.NextWake());
  follower.OnReply(next->call, Done({Removed("a", 12)}, 12), first + absl::Seconds(5));
  BOOST_TEST((follower.changed_after() == first - kDelivery));
}

BOOST_FIXTURE_TEST_CASE(SenderWithLostWatchReportsOldChangedAfter, Watching) {
  const Time now = kStart + absl::Seconds(5);
  Watching other;
  StoreReply lost;
  lost.status = StoreStatus::kHistoryGone;
  other.follower.OnReply(other.watch->call, lost, now);
  const auto read = other.follower.Poll(now);
  other.follower.OnReply(read->call, Done({MakeRow("b", 9)}, 20), now);
  const auto changes = other.follower.ChangesSince(10);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST((changes->changed_after == kStart));
  // This copy was confirmed up to `now`, wrongly: the sender's watch was lost.
  follower.Suspend(now + absl::Seconds(1), now);
  BOOST_TEST(follower.Apply(*changes, now));
  BOOST_TEST((follower.changed_after() == kStart));
}

BOOST_FIXTURE_TEST_CASE(CopyWithoutUpdatesUsesItsOwnLastConfirmation, Watching) {
  follower.OnReply(watch->call, Done({MakeRow("c", 11)}, 11), kStart + absl::Seconds(1));
  follower.TakeChangedKeys();
  follower.Suspend(kStart + absl::Seconds(2), kStart + absl::Seconds(1));
  TableChanges changes{11, 15, 14, {Removed("a", 14)}};
  changes.changed_after = kStart + absl::Seconds(3);
  BOOST_TEST(follower.Apply(changes, kStart + absl::Milliseconds(3100)));
  BOOST_TEST((follower.changed_after() == kStart + absl::Seconds(1)));
}

}  // namespace
}  // namespace ladderstream::store
