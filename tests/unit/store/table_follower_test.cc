#include "core/store/table_follower.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "table_rows.h"

namespace ladderstream::store {
namespace {

constexpr Duration kWait = absl::Seconds(20);

StoreReply Failed(StoreStatus status) {
  StoreReply reply;
  reply.status = status;
  return reply;
}

/// A follower and its simulated time.
struct Fixture {
  Fixture() : follower({.table = kTable, .partition = "", .watch_wait = kWait, .seed = 7}) {}

  /// Advances the time to the next call and returns it.
  FollowerCall NextCall() {
    now = std::max(now, follower.NextWake());
    std::optional<FollowerCall> call = follower.Poll(now);
    if (!call.has_value()) {  // an overdue call has failed; the next one follows the back-off
      now = follower.NextWake();
      call = follower.Poll(now);
    }
    BOOST_REQUIRE(call.has_value());
    return *call;
  }
  FollowerCall NextRead() {
    FollowerCall call = NextCall();
    BOOST_REQUIRE(std::holds_alternative<ReadQuery>(call.query));
    return call;
  }
  FollowerCall NextWatch(RowVersion after) {
    FollowerCall call = NextCall();
    BOOST_REQUIRE(std::holds_alternative<WatchQuery>(call.query));
    BOOST_TEST(std::get<WatchQuery>(call.query).after == after);
    return call;
  }
  void Reply(const FollowerCall& call, const StoreReply& reply) {
    follower.OnReply(call.call, reply, now);
  }
  /// Completes a read of the table.
  void Load(std::vector<Row> rows, RowVersion version) {
    Reply(NextRead(), Done(std::move(rows), version));
    follower.TakeChangedKeys();
  }

  TableFollower follower;
  Time now = kStart;
};

using Keys = std::vector<std::string>;

BOOST_FIXTURE_TEST_CASE(WatchStartsFromVersionOfFirstPage, Fixture) {
  Reply(NextRead(), Done({MakeRow("a", 1)}, 10, true));
  const FollowerCall second = NextRead();
  BOOST_TEST(std::get<ReadQuery>(second.query).from_key == std::string("a\0", 2));
  BOOST_TEST(!follower.known());
  Reply(second, Done({MakeRow("b", 12)}, 14));
  BOOST_TEST(follower.known());
  BOOST_TEST(follower.TakeChangedKeys() == Keys({"a", "b"}), boost::test_tools::per_element());
  const FollowerCall watch = NextWatch(10);
  // "a" changed after the first page was read; the change to "b" is already held.
  Reply(watch, Done({MakeRow("a", 11, "new"), MakeRow("b", 12)}, 14));
  BOOST_TEST(follower.rows().at("a").value == "new");
  BOOST_TEST(follower.TakeChangedKeys() == Keys({"a"}), boost::test_tools::per_element());
  NextWatch(14);
}

BOOST_FIXTURE_TEST_CASE(EmptyPageWithMoreFailsTheRead, Fixture) {
  Reply(NextRead(), Done({}, 10, true));
  BOOST_TEST(follower.RecentlyFailed(now));
  BOOST_TEST(std::get<ReadQuery>(NextRead().query).from_key.empty());
}

BOOST_FIXTURE_TEST_CASE(WatchChangesAndRemovesRows, Fixture) {
  Load({MakeRow("a", 1), MakeRow("b", 2)}, 10);
  Reply(NextWatch(10), Done({MakeRow("c", 11), Removed("a", 12), Removed("b", 1)}, 12));
  BOOST_TEST(!follower.rows().contains("a"));
  BOOST_TEST(follower.rows().contains("b"));  // the removal is older than the row held
  BOOST_TEST(follower.TakeChangedKeys() == Keys({"a", "c"}), boost::test_tools::per_element());
  BOOST_TEST(follower.content_version() == 12);
}

BOOST_FIXTURE_TEST_CASE(RowsOfOtherPartitionsAreIgnored, Fixture) {
  Load({}, 10);
  Reply(NextWatch(10), Done({{{kTable, "other", "a"}, "value", 11, false}}, 11));
  BOOST_TEST(follower.rows().empty());
}

BOOST_FIXTURE_TEST_CASE(LostHistoryTriggersReadThatDetectsRemovals, Fixture) {
  Load({MakeRow("a", 1), MakeRow("b", 2)}, 10);
  Reply(NextWatch(10), Failed(StoreStatus::kHistoryGone));
  BOOST_TEST(!follower.RecentlyFailed(now));
  Reply(NextRead(), Done({MakeRow("b", 2), MakeRow("c", 15)}, 20));
  BOOST_TEST(follower.TakeChangedKeys() == Keys({"a", "c"}), boost::test_tools::per_element());
  NextWatch(20);
}

BOOST_FIXTURE_TEST_CASE(RepeatedHistoryLossBacksOff, Fixture) {
  Load({}, 10);
  Reply(NextWatch(10), Failed(StoreStatus::kHistoryGone));
  Load({}, 20);
  Reply(NextWatch(20), Failed(StoreStatus::kHistoryGone));
  BOOST_TEST(!follower.Poll(now).has_value());
  BOOST_TEST(follower.NextWake() >= now + absl::Milliseconds(100));
}

BOOST_FIXTURE_TEST_CASE(StaleReadChangesNothing, Fixture) {
  Load({MakeRow("a", 8, "new")}, 10);
  Reply(NextWatch(10), Failed(StoreStatus::kHistoryGone));
  Reply(NextRead(), Done({MakeRow("a", 5, "old"), MakeRow("gone", 3)}, 9));
  BOOST_TEST(follower.rows().at("a").value == "new");
  BOOST_TEST(!follower.rows().contains("gone"));
  BOOST_TEST(follower.as_of() == 10);
  BOOST_TEST(follower.RecentlyFailed(now));
}

BOOST_FIXTURE_TEST_CASE(OlderRowInNewerAnswerIsIgnored, Fixture) {
  Load({MakeRow("a", 8, "new")}, 10);
  Reply(NextWatch(10), Done({MakeRow("a", 7, "old")}, 11));
  BOOST_TEST(follower.rows().at("a").value == "new");
}

BOOST_FIXTURE_TEST_CASE(AnswerToAbandonedCallIsIgnored, Fixture) {
  const FollowerCall late = NextRead();
  now += late.timeout;
  BOOST_TEST(!follower.Poll(now).has_value());
  BOOST_TEST(follower.RecentlyFailed(now));
  Reply(late, Done({MakeRow("a", 1)}, 10));
  BOOST_TEST(!follower.known());
}

BOOST_FIXTURE_TEST_CASE(BackOffGrowsWithinItsBounds, Fixture) {
  Duration longest = absl::ZeroDuration();
  for (int i = 0; i < 20; ++i) {
    Reply(NextRead(), Failed(StoreStatus::kRefused));
    const Duration pause = follower.NextWake() - now;
    BOOST_TEST(pause >= absl::Milliseconds(100));
    BOOST_TEST(pause <= absl::Seconds(1));
    longest = std::max(longest, pause);
  }
  BOOST_TEST(longest > absl::Milliseconds(500));
  Load({}, 10);
  Reply(NextWatch(10), Failed(StoreStatus::kUnknown));
  BOOST_TEST(follower.NextWake() - now <= absl::Milliseconds(200));
}

BOOST_FIXTURE_TEST_CASE(ChangesInQuickSuccessionAreBatched, Fixture) {
  Load({}, 10);
  Reply(NextWatch(10), Done({MakeRow("a", 11)}, 11));
  BOOST_TEST(!follower.Poll(now).has_value());
  BOOST_TEST(follower.NextWake() == now + absl::Milliseconds(50));
}

BOOST_FIXTURE_TEST_CASE(LongWatchConfirmsUntilItsEnd, Fixture) {
  Load({}, 10);
  const Time sent = now;
  const FollowerCall watch = NextWatch(10);
  BOOST_TEST(follower.last_confirmed() == sent);
  now += kWait + absl::Milliseconds(30);
  Reply(watch, Done({}, 12));
  BOOST_TEST(follower.last_confirmed() == sent + kWait);
  // A reply with a change confirms the copy only up to the send time of its call.
  const Time next_sent = now;
  const FollowerCall next = NextWatch(12);
  now += absl::Seconds(5);
  Reply(next, Done({MakeRow("a", 13)}, 13));
  BOOST_TEST(follower.last_confirmed() == next_sent);
}

BOOST_FIXTURE_TEST_CASE(RecentFailureExpiresAfterWindow, Fixture) {
  Load({}, 10);
  Reply(NextWatch(10), Failed(StoreStatus::kRefused));
  const Time failed = now;
  BOOST_TEST((follower.UnansweredSince() == failed));
  Reply(NextWatch(10), Done({MakeRow("a", 11)}, 11));
  BOOST_TEST(!follower.UnansweredSince().has_value());
  BOOST_TEST(follower.RecentlyFailed(failed + absl::Seconds(3)));
  BOOST_TEST(!follower.RecentlyFailed(failed + absl::Milliseconds(3001)));
}

BOOST_FIXTURE_TEST_CASE(MergeIsAppliedOnlyWhenNewer, Fixture) {
  Load({MakeRow("a", 8), MakeRow("b", 9)}, 10);
  BOOST_TEST(!follower.Merge({MakeRow("a", 5, "old")}, 10, now, now));
  BOOST_TEST(follower.rows().size() == 2);
  BOOST_TEST(follower.Merge({MakeRow("a", 7, "old"), MakeRow("c", 12)}, 12, now, now));
  BOOST_TEST(follower.rows().at("a").version == 8);
  BOOST_TEST(follower.TakeChangedKeys() == Keys({"b", "c"}), boost::test_tools::per_element());
  BOOST_TEST(follower.content_version() == 12);
}

BOOST_FIXTURE_TEST_CASE(MergeKeepsNewerRows, Fixture) {
  // The second page was read later than the first, so its row is newer than as_of().
  Reply(NextRead(), Done({MakeRow("a", 1)}, 10, true));
  Reply(NextRead(), Done({MakeRow("b", 14)}, 14));
  BOOST_TEST(follower.as_of() == 10);
  BOOST_TEST(follower.content_version() == 10);
  BOOST_TEST(follower.Merge({MakeRow("a", 12)}, 12, now, now));
  BOOST_TEST(follower.rows().contains("b"));
}

BOOST_FIXTURE_TEST_CASE(WatchOvertakenByMergeRestoresNoRemovedRows, Fixture) {
  Load({MakeRow("a", 8)}, 10);
  const FollowerCall watch = NextWatch(10);
  BOOST_TEST(follower.Merge({}, 12, now, now));
  Reply(watch, Done({MakeRow("a", 11)}, 11));
  BOOST_TEST(follower.rows().empty());
  NextWatch(12);
}

BOOST_FIXTURE_TEST_CASE(MergeDuringReadIsNotUndone, Fixture) {
  const FollowerCall read = NextRead();
  BOOST_TEST(follower.Merge({MakeRow("a", 12)}, 12, now, now));
  Reply(read, Done({MakeRow("b", 8)}, 10));
  BOOST_TEST(!follower.rows().contains("b"));
  BOOST_TEST(!follower.RecentlyFailed(now));
  NextWatch(12);
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveWatchFailsOnceNewerVersionIsExpected, Fixture) {
  Load({}, 10);
  NextWatch(10);
  follower.ExpectVersion(10, now);
  BOOST_TEST(follower.NextWake() == now + kWait + absl::Seconds(1));
  follower.ExpectVersion(11, now);
  BOOST_TEST(follower.NextWake() == now + absl::Seconds(1));
  now = follower.NextWake();
  follower.Poll(now);
  BOOST_TEST(follower.RecentlyFailed(now));
  NextWatch(10);
}

}  // namespace
}  // namespace ladderstream::store
