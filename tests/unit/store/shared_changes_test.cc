// Tests of a TableFollower that is kept current by another node's copy.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/store/table_follower.h"
#include "table_rows.h"

namespace ladderstream::store {
namespace {

constexpr size_t kMaxRemovals = 3;
const Time kUntil = kStart + absl::Milliseconds(700);

/// A follower that has read `rows` at `version` and has a watch outstanding.
struct Copy {
  Copy(const std::vector<Row>& rows, RowVersion version)
      : follower({.table = kTable, .partition = "", .max_removals = kMaxRemovals, .seed = 7}) {
    const auto read = follower.Poll(kStart);
    follower.OnReply(read->call, Done(rows, version), kStart);
    watch = follower.Poll(kStart);
  }

  /// Answers the watch with `rows` and issues the next one.
  void Deliver(const std::vector<Row>& rows, RowVersion version, Time now = kStart) {
    follower.OnReply(watch->call, Done(rows, version), now);
    watch = follower.Poll(follower.NextWake());
  }
  bool Holds(const std::string& key) const { return follower.rows().contains(key); }

  TableFollower follower;
  std::optional<FollowerCall> watch;
};

BOOST_AUTO_TEST_CASE(NoCallIsMadeWhileSuspended) {
  Copy copy({MakeRow("a", 8)}, 10);
  copy.follower.Suspend(kUntil, kStart);
  // The outstanding watch may still be answered, or fail.
  copy.follower.OnReply(copy.watch->call, Done({MakeRow("b", 12)}, 12), kStart);
  BOOST_TEST(copy.Holds("b"));
  BOOST_TEST(!copy.follower.Poll(kUntil - absl::Milliseconds(1)).has_value());
  BOOST_TEST((copy.follower.NextWake() == kUntil));
  const auto watch = copy.follower.Poll(kUntil);
  BOOST_REQUIRE(watch.has_value());
  BOOST_TEST(std::get<WatchQuery>(watch->query).after == 12);
}

BOOST_AUTO_TEST_CASE(FailureWhileSuspendedIsNotUnanswered) {
  Copy copy({}, 10);
  copy.follower.Suspend(kUntil, kStart);
  StoreReply refused;
  refused.status = StoreStatus::kRefused;
  copy.follower.OnReply(copy.watch->call, refused, kStart);
  BOOST_TEST(!copy.follower.UnansweredSince().has_value());
}

BOOST_AUTO_TEST_CASE(ResumedFollowerWatchesImmediately) {
  Copy copy({}, 10);
  copy.follower.OnReply(copy.watch->call, Done({}, 11), kStart);
  const Time later = kStart + absl::Milliseconds(100);
  copy.follower.Suspend(kUntil, kStart);
  BOOST_TEST(!copy.follower.Poll(later).has_value());
  copy.follower.Resume();
  BOOST_TEST(copy.follower.Poll(later).has_value());
}

BOOST_AUTO_TEST_CASE(OnlyChangedRowsAreShared) {
  Copy source({MakeRow("a", 8), MakeRow("b", 9)}, 10);
  Copy target({MakeRow("a", 8), MakeRow("b", 9)}, 10);
  source.Deliver({MakeRow("c", 12), Removed("a", 13)}, 14);
  const auto changes = source.follower.ChangesSince(10);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->rows.size() == 2);
  BOOST_TEST(target.follower.Apply(*changes, kStart));
  BOOST_TEST(!target.Holds("a"));
  BOOST_TEST(target.Holds("b"));
  BOOST_TEST(target.Holds("c"));
  BOOST_TEST(target.follower.as_of() == 14);
  BOOST_TEST(target.follower.content_version() == 13);
  BOOST_TEST(source.follower.ChangesSince(13)->rows.empty());
}

BOOST_AUTO_TEST_CASE(ChangesWithNewerBaseAreNotApplied) {
  Copy copy({MakeRow("a", 8)}, 10);
  BOOST_TEST(!copy.follower.Apply({11, 14, 13, {MakeRow("c", 13)}}, kStart));
  BOOST_TEST(!copy.Holds("c"));
  BOOST_TEST(copy.follower.as_of() == 10);
}

BOOST_AUTO_TEST_CASE(OlderChangesRestoreNoRemovedRows) {
  Copy copy({MakeRow("a", 20)}, 25);
  // The copy at 25 does not hold "gone": it was removed at 24, after these changes were made.
  const TableChanges stale{5, 22, 22, {MakeRow("gone", 22), MakeRow("a", 19), Removed("a", 21)}};
  BOOST_TEST(copy.follower.Apply(stale, kStart));
  BOOST_TEST(!copy.Holds("gone"));
  BOOST_TEST(copy.follower.rows().at("a").version == 20);
  BOOST_TEST(copy.follower.as_of() == 25);
}

BOOST_AUTO_TEST_CASE(WatchOvertakenByChangesAddsOnlyNewerRows) {
  Copy copy({MakeRow("a", 8)}, 10);
  BOOST_TEST(copy.follower.Apply({10, 14, 13, {Removed("a", 13)}}, kStart));
  copy.Deliver({MakeRow("a", 12), MakeRow("d", 16)}, 16);
  BOOST_TEST(!copy.Holds("a"));
  BOOST_TEST(copy.Holds("d"));
  BOOST_TEST(std::get<WatchQuery>(copy.watch->query).after == 16);
}

BOOST_AUTO_TEST_CASE(DiscardedRemovalsMakeOlderBasesUnavailable) {
  Copy source({}, 10);
  for (RowVersion version = 11; version <= 14; ++version) {
    source.Deliver({Removed("row", version)}, version);
  }
  BOOST_TEST(!source.follower.ChangesSince(10).has_value());
  BOOST_TEST(source.follower.ChangesSince(11).has_value());
  BOOST_TEST(!source.follower.ChangesSince(9).has_value());
}

BOOST_AUTO_TEST_CASE(ReadSettlesTableOnlyAtItsOwnVersion) {
  // A row may have been removed between the last change at 8 and the read at 10.
  Copy copy({MakeRow("a", 8)}, 10);
  BOOST_TEST(copy.follower.settled_version() == 10);
  BOOST_TEST(!copy.follower.ChangesSince(9).has_value());
  BOOST_TEST(copy.follower.Merge({MakeRow("a", 8)}, 20, kStart, kStart));
  BOOST_TEST(copy.follower.settled_version() == 20);
}

BOOST_AUTO_TEST_CASE(AnsweredCallsConfirmOnlyAWorkingWatch) {
  Copy copy({}, 10);
  const Time later = kStart + absl::Seconds(1);
  copy.follower.OnStoreAnswered(later);
  BOOST_TEST((copy.follower.watched_until() == later));
  // Another node knows of a change that the watch should have reported.
  copy.follower.ExpectVersion(12, later);
  copy.follower.OnStoreAnswered(later + absl::Seconds(1));
  BOOST_TEST((copy.follower.watched_until() == later));
  // The watch reports the change; the next watch fails.
  copy.Deliver({MakeRow("a", 12)}, 12, later);
  copy.follower.OnStoreAnswered(later + absl::Seconds(2));
  BOOST_TEST((copy.follower.watched_until() == later + absl::Seconds(2)));
  copy.follower.OnReply(copy.watch->call, StoreReply{}, later + absl::Seconds(2));
  copy.follower.OnStoreAnswered(later + absl::Seconds(3));
  BOOST_TEST((copy.follower.watched_until() == later + absl::Seconds(2)));
}

}  // namespace
}  // namespace ladderstream::store
