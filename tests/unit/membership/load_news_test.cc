// News of back ends' load on their way through the coordinator.
#include <boost/test/unit_test.hpp>

#include "core/membership/load_news_entries.h"
#include "membership_fixture.h"

namespace ladderstream::membership {
namespace {

constexpr load::BackendHash kBackend = 77;

load::LoadNews Queue(uint32_t waiting, Time told_at) {
  return {kBackend, {2, waiting, 2, 1.5}, told_at};
}

LoadNewsEntry QueueEntry(uint32_t waiting, uint32_t age_ms) {
  return {kBackend, 2, waiting, 2, age_ms, 0};
}

BOOST_AUTO_TEST_SUITE(load_news)

BOOST_AUTO_TEST_CASE(TimesTravelAsAgesAndTheOlderBoundIsTaken) {
  const Time told = kStart - absl::Microseconds(40'200);
  const auto entries = ToEntries({Queue(3, told)}, kStart);
  BOOST_TEST(entries.front().age_ms == 41);
  const auto news = ToLoadNews(entries, kStart - absl::Milliseconds(9));
  BOOST_TEST((news.front().told_at == kStart - absl::Milliseconds(50)));
  BOOST_TEST(news.front().told.waiting == 3);
  BOOST_TEST(news.front().told.slowdown == 1.5);
}

struct Relaying : Coordinator {
  Relaying() { membership.TakeActions(); }
  /// Gives the answer.
  Heartbeat Report(uint64_t number, uint64_t sequence, std::vector<LoadNewsEntry> news, Time now) {
    auto report = ReportOf(number, {3, 1});
    report.sequence = sequence;
    report.last_answered = sequence - 1;
    report.load_news = std::move(news);
    membership.OnMessage(kConnection, report, now);
    return TakeSent<Heartbeat>().front().second;
  }
};

BOOST_FIXTURE_TEST_CASE(WhatOneNodeToldTheNextAnswerTellsTheOther, Relaying) {
  Report(1, 1, {}, kStart);
  Report(3, 1, {}, kStart);
  Report(1, 2, {QueueEntry(6, 20)}, kStart + absl::Milliseconds(300));
  const Heartbeat answer = Report(3, 2, {}, kStart + absl::Milliseconds(400));
  BOOST_REQUIRE(answer.load_news.size() == 1);
  BOOST_TEST(answer.load_news.front().waiting == 6);
  BOOST_TEST(answer.load_news.front().age_ms == 120);
}

BOOST_FIXTURE_TEST_CASE(TheCoordinatorHearsAndTellsToo, Relaying) {
  Report(1, 1, {}, kStart);
  auto report = ReportOf(1, {3, 1});
  report.sequence = 2;
  report.last_answered = 1;
  report.load_news = {QueueEntry(6, 20)};
  membership.OnMessage(kConnection, report, kStart + absl::Milliseconds(300));
  const auto heard = Take<LoadNewsHeardAction>();
  BOOST_REQUIRE(heard.size() == 1);
  BOOST_TEST((heard.front().news.front().told_at == kStart + absl::Milliseconds(280)));
  const Time later = kStart + absl::Milliseconds(500);
  membership.OnOwnLoadNews({Queue(9, later)}, later);
  BOOST_TEST(Report(1, 3, {}, later).load_news.front().waiting == 9);
}

BOOST_FIXTURE_TEST_CASE(WhoNoLongerCoordinatesTellsNothing, Relaying) {
  membership.OnOwnLoadNews({Queue(9, kStart)}, kStart);
  membership.OnLeaseLost(kStart);
  BOOST_TEST(Report(1, 1, {QueueEntry(6, 20)}, kStart).load_news.empty());
  BOOST_TEST(Take<LoadNewsHeardAction>().empty());
}

/// An answer may lie in a socket while this node is paused.
BOOST_FIXTURE_TEST_CASE(AnAnswerIsAsOldAsItsReportAndCountsOnce, Follower) {
  const uint64_t sequence = SendReport(kStart);
  Heartbeat answer = MakeHeartbeat(3, 2, {3, 1});
  answer.load_news = {QueueEntry(6, 20)};
  Answer(sequence, answer, kStart + absl::Seconds(4));
  const auto heard = Take<LoadNewsHeardAction>();
  BOOST_REQUIRE(heard.size() == 1);
  BOOST_TEST((heard.front().news.front().told_at == kStart - absl::Milliseconds(20)));
  Answer(sequence, answer, kStart + absl::Seconds(4));
  BOOST_TEST(Take<LoadNewsHeardAction>().empty());
}

BOOST_FIXTURE_TEST_CASE(OfTwoCoordinatorsOnlyTheLaterOneIsHeard, Follower) {
  const uint64_t sequence = SendReport(kStart);
  membership.OnHolderKnown(MakeLease(4, 9), kStart);
  Heartbeat deposed = MakeHeartbeat(3, 2, {3, 1});
  deposed.load_news = {QueueEntry(6, 20)};
  Answer(sequence, deposed, kStart + absl::Milliseconds(1));
  BOOST_TEST(Take<LoadNewsHeardAction>().empty());
  Heartbeat successor = MakeHeartbeat(4, 9, {3, 1});
  successor.load_news = {QueueEntry(7, 20)};
  Answer(SendReport(kStart), successor, kStart + absl::Milliseconds(2));
  BOOST_TEST(Take<LoadNewsHeardAction>().size() == 1);
}

BOOST_FIXTURE_TEST_CASE(AReportNamesTheLastAnswerOfItsCoordinator, Follower) {
  Answer(SendReport(kStart), MakeHeartbeat(3, 2, {3, 1}), kStart);
  const uint64_t lost = SendReport(kStart);
  membership.SendReport({}, {}, kStart, {Queue(3, kStart)});
  const auto next = TakeSent<Report>().front().second;
  BOOST_TEST(next.last_answered == lost - 1);
  BOOST_TEST(next.load_news.size() == 1);
  membership.OnHolderKnown(MakeLease(4, 9), kStart);
  membership.SendReport({}, {}, kStart);
  BOOST_TEST(TakeSent<Report>().front().second.last_answered == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::membership
