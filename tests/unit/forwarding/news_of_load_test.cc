// What back ends told other nodes, and what becomes of it at this one.
#include <boost/test/unit_test.hpp>

#include "core/load/load_estimate.h"
#include "core/load/load_news_board.h"
#include "core/load/load_news_collector.h"
#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

constexpr uint32_t kSlots = 2;
constexpr Duration kServiceTime = absl::Milliseconds(100);
const Time kNow = absl::FromUnixSeconds(1000);

load::LoadNews NewsOf(load::BackendHash backend, uint32_t waiting, Time told_at,
                      uint32_t running = kSlots) {
  return {backend, {running, waiting, kSlots}, told_at};
}

struct Estimate {
  Estimate() { averages.AddServiceTime(kServiceTime); }
  bool Hear(uint32_t running, uint32_t waiting, Time told_at, Time now = kNow) {
    return load.OnNews({running, waiting, kSlots}, told_at, now);
  }

  load::ServiceAverages averages;
  load::LoadEstimate load{kSlots, averages};
};

BOOST_AUTO_TEST_SUITE(news_of_load)

BOOST_FIXTURE_TEST_CASE(the_wait_is_what_the_told_queue_takes_to_run, Estimate) {
  BOOST_TEST(Hear(2, 8, kNow));
  // Nine of the ten there end before a slot is free for one more, two at a time.
  const double wait = absl::ToDoubleMilliseconds(load.ExpectedWait(kNow));
  BOOST_TEST(wait > 445);
  BOOST_TEST(wait < 460);
  BOOST_TEST(load.KnownBusy(kNow));
}

BOOST_FIXTURE_TEST_CASE(old_news_fade_to_the_average, Estimate) {
  Hear(2, 8, kNow);
  Duration wait = load.ExpectedWait(kNow);
  for (int second = 1; second <= 4; ++second) {
    const Duration later = load.ExpectedWait(kNow + absl::Seconds(second));
    BOOST_TEST(later < wait);
    wait = later;
  }
  const Estimate untold;
  BOOST_TEST(absl::ToDoubleMilliseconds(wait - untold.load.ExpectedWait(kNow)) < 5);
}

BOOST_FIXTURE_TEST_CASE(late_repeated_and_reordered_news_change_nothing, Estimate) {
  BOOST_TEST(Hear(1, 0, kNow - absl::Milliseconds(100)));
  const Duration wait = load.ExpectedWait(kNow);
  BOOST_TEST(!Hear(2, 9, kNow - absl::Milliseconds(300)));
  BOOST_TEST(!Hear(1, 0, kNow - absl::Milliseconds(100)));
  BOOST_TEST(!Hear(2, 9, kNow + absl::Milliseconds(1)));
  BOOST_TEST((load.ExpectedWait(kNow) == wait));
}

BOOST_FIXTURE_TEST_CASE(own_requests_sent_since_are_added_and_earlier_ones_are_in_the_news,
                        Estimate) {
  load.OnSend(kNow - absl::Milliseconds(200));
  load.OnSend(kNow - absl::Milliseconds(10));
  Hear(2, 4, kNow - absl::Milliseconds(100));
  BOOST_TEST(load.Occupancy(kNow - absl::Milliseconds(100)) == 7);
}

BOOST_FIXTURE_TEST_CASE(averages_do_not_learn_from_news_which_tell_of_busy_ones_only, Estimate) {
  for (int i = 1; i <= 20; ++i) {
    Hear(2, 20, kNow + absl::Milliseconds(i), kNow + absl::Milliseconds(i));
  }
  BOOST_TEST(averages.foreign_per_slot() == 0);
}

BOOST_FIXTURE_TEST_CASE(room_is_known_only_while_the_news_are_fresh_and_until_it_is_used,
                        Estimate) {
  BOOST_TEST(!load.KnownRoom(kNow));
  Hear(1, 0, kNow);
  BOOST_TEST(load.KnownRoom(kNow + absl::Milliseconds(400)));
  BOOST_TEST(!load.KnownRoom(kNow + absl::Milliseconds(600)));
  load.OnSend(kNow);
  BOOST_TEST(!load.KnownRoom(kNow));
}

BOOST_AUTO_TEST_CASE(silence_means_as_usual) {
  load::LoadNewsCollector collector;
  collector.OnTold(NewsOf(1, 0, kNow, 1));
  BOOST_TEST(collector.Take(kNow).empty());
  collector.OnTold(NewsOf(1, 3, kNow));
  BOOST_TEST(collector.Take(kNow).size() == 1U);
  BOOST_TEST(collector.Take(kNow).empty());
  // That it came free is worth telling for a while, also where another node told that it was busy.
  collector.OnTold(NewsOf(1, 0, kNow + absl::Seconds(1), 1));
  BOOST_TEST(collector.Take(kNow + absl::Seconds(1)).size() == 1U);
  collector.OnHeard(NewsOf(2, 5, kNow));
  collector.OnTold(NewsOf(2, 0, kNow + absl::Seconds(1), 0));
  BOOST_TEST(collector.Take(kNow + absl::Seconds(1)).size() == 1U);
  collector.OnTold(NewsOf(2, 0, kNow + absl::Seconds(3), 0));
  BOOST_TEST(collector.Take(kNow + absl::Seconds(3)).empty());
}

BOOST_AUTO_TEST_CASE(a_message_holds_the_longest_queues_and_no_more_than_its_bound) {
  load::LoadNewsCollector collector;
  for (uint32_t i = 0; i < 3 * load::kMostLoadNews; ++i) {
    collector.OnTold(NewsOf(i, i, kNow));
  }
  const std::vector<load::LoadNews> news = collector.Take(kNow);
  BOOST_REQUIRE_EQUAL(news.size(), load::kMostLoadNews);
  for (const load::LoadNews& one : news) {
    BOOST_TEST(one.told.waiting >= 2 * load::kMostLoadNews);
  }
}

struct Board {
  std::vector<load::LoadNews> Report(uint64_t sequence, uint64_t last_answered,
                                     std::vector<load::LoadNews> news, Time now) {
    return board.TakeReported({kReporter, sequence, last_answered}, std::move(news), kTrusted, now);
  }
  std::vector<load::LoadNews> AnswerOther(Time now) {
    return board.AnswerTo({kReporter + 1, ++other_sequence, 0}, now);
  }

  static constexpr uint64_t kReporter = 7;
  static constexpr Duration kTrusted = absl::Seconds(1);
  load::LoadNewsBoard board;
  uint64_t other_sequence = 0;
};

BOOST_FIXTURE_TEST_CASE(each_node_is_told_once_and_never_what_it_told_itself, Board) {
  board.AnswerTo({kReporter, 1, 0}, kNow);
  BOOST_TEST(Report(2, 1, {NewsOf(1, 4, kNow)}, kNow).size() == 1U);
  BOOST_TEST(board.AnswerTo({kReporter, 2, 1}, kNow).empty());
  BOOST_TEST(AnswerOther(kNow).size() == 1U);
  BOOST_TEST(AnswerOther(kNow).empty());
}

BOOST_FIXTURE_TEST_CASE(a_repeated_or_overtaken_report_puts_nothing_up, Board) {
  board.AnswerTo({kReporter, 1, 0}, kNow);
  Report(3, 1, {NewsOf(1, 4, kNow)}, kNow);
  BOOST_TEST(Report(3, 1, {NewsOf(1, 9, kNow + absl::Seconds(1))}, kNow).empty());
  BOOST_TEST(Report(2, 1, {NewsOf(1, 9, kNow + absl::Seconds(1))}, kNow).empty());
  BOOST_TEST(AnswerOther(kNow).front().told.waiting == 4U);
}

/// The coordinator was paused: what waited for it looks as if it had just been told.
BOOST_FIXTURE_TEST_CASE(reports_that_lay_for_seconds_count_as_old, Board) {
  board.AnswerTo({kReporter, 1, 0}, kNow);
  const Time thawed = kNow + absl::Seconds(5);
  BOOST_TEST(Report(2, 1, {NewsOf(1, 4, thawed)}, thawed).empty());
  board.AnswerTo({kReporter, 2, 1}, thawed);
  // The next one lay as long, and was sent before that answer was made.
  BOOST_TEST(Report(3, 1, {NewsOf(1, 4, thawed)}, thawed).empty());
  BOOST_TEST(AnswerOther(thawed).empty());
  BOOST_TEST(Report(4, 2, {NewsOf(1, 4, thawed)}, thawed).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_late_report_does_not_replace_what_was_told_meanwhile, Board) {
  board.AnswerTo({kReporter, 1, 0}, kNow);
  const Time late = kNow + absl::Milliseconds(1500);
  board.TakeOwn({NewsOf(1, 0, kNow + absl::Milliseconds(200), 1)}, late);
  BOOST_TEST(Report(2, 1, {NewsOf(1, 9, late)}, late).empty());
}

BOOST_FIXTURE_TEST_CASE(a_new_coordinator_takes_nothing_of_which_it_does_not_know_the_age, Board) {
  BOOST_TEST(Report(80, 79, {NewsOf(1, 4, kNow)}, kNow).empty());
  board.AnswerTo({kReporter, 80, 79}, kNow);
  BOOST_TEST(Report(81, 80, {NewsOf(1, 4, kNow)}, kNow).size() == 1U);
}

struct Owned : DispatcherHarness {
  Owned() {
    AddBackends("scripts", {"s-1"});
    Own("s-1");
  }
  load::LoadNews News(uint32_t running, uint32_t waiting, Duration age) const {
    return {load::HashOf(backends.front()), {running, waiting, kSlots}, now - age};
  }
};

BOOST_FIXTURE_TEST_CASE(what_an_owner_told_is_passed_on_without_the_request_that_it_answered,
                        Owned) {
  Answer(StartAndSend("/scripts/1", absl::Seconds(2), 77), 200, 2, 3);
  const std::vector<load::LoadNews> news = dispatcher.TakeLoadNews(now);
  BOOST_REQUIRE_EQUAL(news.size(), 1U);
  BOOST_TEST(news.front().backend == load::HashOf(backends.front()));
  BOOST_TEST(news.front().told.running == 1U);
  BOOST_TEST(news.front().told.waiting == 3U);
  BOOST_TEST(dispatcher.TakeLoadNews(now).empty());
}

BOOST_FIXTURE_TEST_CASE(news_of_unknown_back_ends_and_other_incarnations_are_dropped_and_counted,
                        Owned) {
  load::LoadNews news = News(1, 0, absl::ZeroDuration());
  catalog::Backend other = backends.front();
  other.id += "x";
  news.backend = load::HashOf(other);
  dispatcher.OnLoadNews({news}, now);
  BOOST_TEST(dispatcher.load_news_counts().unknown == 1U);
  dispatcher.OnLoadNews({News(1, 0, absl::Seconds(3))}, now);
  BOOST_TEST(dispatcher.load_news_counts().too_old == 1U);
  dispatcher.OnLoadNews({News(1, 0, absl::ZeroDuration())}, now);
  dispatcher.OnLoadNews({News(1, 0, absl::ZeroDuration())}, now);
  BOOST_TEST(dispatcher.load_news_counts().used == 1U);
  BOOST_TEST(dispatcher.load_news_counts().not_newer == 1U);
}

/// What the owner told after it turned a request away counts, and not what it told before.
BOOST_FIXTURE_TEST_CASE(an_owner_that_told_room_is_not_refused, Owned) {
  // Lost one after the other, until this node's limit there is far below one request.
  for (int lost = 0; lost < 8;) {
    Start("/scripts/1", absl::Seconds(2), 77);
    for (auto sends = All<SendDecision>(); !sends.empty(); sends = All<SendDecision>()) {
      for (const SendDecision& send : sends) {
        Sent(send);
        Fail(send, AttemptFailure::kLost);
        ++lost;
      }
      Advance(absl::Milliseconds(1));
      dispatcher.OnLoadNews({News(0, 0, absl::ZeroDuration())}, now);
    }
  }
  BOOST_TEST(All<SendDecision>().empty());
  Advance(absl::Milliseconds(200));
  dispatcher.TakeDecisions();
  const SendDecision last = StartAndSend("/scripts/1", absl::Seconds(2), 77);
  Sent(last);
  Fail(last, AttemptFailure::kLost);
  dispatcher.TakeDecisions();
  Advance(absl::Milliseconds(90));
  BOOST_TEST(All<SendDecision>().empty());
  // It waits here, and goes as soon as room is heard of.
  dispatcher.OnLoadNews({News(1, 0, absl::ZeroDuration())}, now);
  BOOST_TEST(All<SendDecision>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
