// A request may crash each back end that begins to run it, and comes again at any node: without a
// memory of it, every try takes one or two back ends and all that they work on. What tells it from
// the innocent ones that are lost with it is that it is there each time and is never served.
#include "core/quarantine/crash_suspects.h"

#include <absl/strings/str_cat.h>

#include <boost/test/unit_test.hpp>
#include <random>

namespace ladderstream::quarantine {
namespace {

constexpr Fingerprint kGuilty{1, 1};
constexpr Duration kMoment = absl::Milliseconds(10);

struct Suspects {
  /// `backend` goes down with these at work.
  void Crash(const std::string& backend, const std::vector<Fingerprint>& at_work) {
    for (const Fingerprint& request : at_work) {
      table.OnLost(request, backend, now);
    }
    table.OnRefused(backend, now);
    now += CrashSuspects::kBetweenProbes;
    table.OnRefused(backend, now);
  }
  bool Held(const Fingerprint& request) const { return table.Judge(request, now).Held(now); }

  Time now = absl::FromUnixSeconds(1000);
  CrashSuspects table;
};

BOOST_FIXTURE_TEST_SUITE(crash_suspects, Suspects)

BOOST_AUTO_TEST_CASE(one_that_crashes_three_back_ends_is_held) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    BOOST_TEST(!Held(kGuilty));
    Crash(backend, {kGuilty});
  }
  BOOST_TEST(Held(kGuilty));
  BOOST_TEST(table.Judge(kGuilty, now).backends == "b-1 b-2 b-3");
  BOOST_TEST(table.CountHeld(now) == 1U);
}

BOOST_AUTO_TEST_CASE(the_innocent_ones_that_were_lost_with_it_are_not) {
  std::vector<Fingerprint> innocent;
  for (uint64_t crash = 0; crash < 3; ++crash) {
    std::vector<Fingerprint> at_work = {kGuilty};
    for (uint64_t i = 0; i < 50; ++i) {
      at_work.push_back({2, crash * 50 + i});
      innocent.push_back(at_work.back());
    }
    Crash(absl::StrCat("b-", crash), at_work);
  }
  BOOST_TEST(Held(kGuilty));
  for (const Fingerprint& request : innocent) {
    BOOST_TEST(!Held(request));
  }
}

BOOST_AUTO_TEST_CASE(two_at_once_are_both_held) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Crash(backend, {kGuilty, {3, 3}});
  }
  BOOST_TEST(table.CountHeld(now) == 2U);
}

// Guards against a count of trials that falls below zero: nobody would try the request again.
BOOST_AUTO_TEST_CASE(trial_that_returns_after_the_request_was_cleared_changes_nothing) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Crash(backend, {kGuilty});
  }
  table.OnTrialGranted(kGuilty, now);
  BOOST_TEST(table.UseTrial(kGuilty, now));
  now += kMoment;
  table.OnServed(kGuilty, now);
  table.ReturnTrial(kGuilty);
  now += absl::Seconds(1);
  for (const char* backend : {"b-4", "b-5", "b-6"}) {
    Crash(backend, {kGuilty});
  }
  now = now + absl::Minutes(1);
  BOOST_TEST(table.AskForTrial(kGuilty, now));
}

BOOST_AUTO_TEST_CASE(what_is_served_in_between_is_innocent) {
  Crash("b-1", {kGuilty});
  Crash("b-2", {kGuilty});
  table.OnServed(kGuilty, now);
  now += kMoment;
  Crash("b-3", {kGuilty});
  BOOST_TEST(!Held(kGuilty));
  BOOST_TEST(table.Judge(kGuilty, now).crashes == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_no_crash) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    table.OnLost(kGuilty, backend, now);
    table.OnConnected(backend, now);
    table.OnRefused(backend, now);
    now += CrashSuspects::kBetweenProbes;
    table.OnRefused(backend, now);
  }
  BOOST_TEST(table.empty());
}

// A full back end resets requests, and now and then refuses a connection; then it takes one again.
BOOST_AUTO_TEST_CASE(a_full_back_end_that_refuses_a_connection_has_not_crashed) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    table.OnLost(kGuilty, backend, now);
    table.OnRefused(backend, now);
    now += CrashSuspects::kBetweenProbes / 2;
    table.OnConnected(backend, now);
    now += CrashSuspects::kBetweenProbes;
    table.OnRefused(backend, now);
  }
  BOOST_TEST(table.empty());
}

BOOST_AUTO_TEST_CASE(the_same_back_end_counts_once) {
  for (int i = 0; i < 4; ++i) {
    Crash("b-1", {kGuilty});
  }
  BOOST_TEST(table.Judge(kGuilty, now).crashes == 1U);
}

BOOST_AUTO_TEST_CASE(probes_are_bounded_and_end) {
  table.OnLost(kGuilty, "b-1", now);
  BOOST_TEST((table.NextProbe() == now));
  size_t probes = 0;
  for (const Time end = now + absl::Seconds(5); now < end; now += kMoment) {
    probes += table.TakeProbes(now).size();
  }
  BOOST_TEST(probes >= 2U);
  BOOST_TEST(probes <= 6U);
  // A back end that neither refuses nor accepts is looked after for longer, but not for ever.
  for (const Time end = now + absl::Minutes(2); now < end; now += kMoment) {
    probes += table.TakeProbes(now).size();
  }
  BOOST_TEST(probes <= 40U);
  BOOST_TEST((table.NextProbe() == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(the_hold_lapses_and_the_next_crash_holds_at_once_and_for_longer) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Crash(backend, {kGuilty});
  }
  const Duration first = table.Judge(kGuilty, now).held_until - now;
  now += first;
  table.Forget(now);
  BOOST_TEST(!Held(kGuilty));
  Crash("b-4", {kGuilty});
  BOOST_TEST(Held(kGuilty));
  BOOST_TEST((table.Judge(kGuilty, now).held_until - now > 1.9 * first));
}

BOOST_AUTO_TEST_CASE(an_operator_lets_it_go_at_all_nodes) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Crash(backend, {kGuilty});
  }
  Suspects other;
  other.now = now;
  other.table.Merge(table.Shared(now), now);
  BOOST_TEST(other.Held(kGuilty));
  const std::optional<Fingerprint> named = ParseFingerprint(Format(kGuilty));
  BOOST_TEST_REQUIRE(named.has_value());
  table.Release(*named, now);
  BOOST_TEST(!Held(kGuilty));
  BOOST_TEST(table.TakeNews());
  other.table.Merge(table.Shared(now), now);
  BOOST_TEST(!other.Held(kGuilty));
  BOOST_TEST(!ParseFingerprint("b-1").has_value());
  BOOST_TEST(!ParseFingerprint(std::string(32, 'x')).has_value());
}

BOOST_AUTO_TEST_CASE(a_single_accusation_is_forgotten) {
  Crash("b-1", {kGuilty});
  now += absl::Minutes(2);
  table.Forget(now);
  BOOST_TEST(table.empty());
}

// A flood of requests that each crash one back end must not drive out one that is held.
BOOST_AUTO_TEST_CASE(the_table_is_bounded_and_keeps_the_guilty) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Crash(backend, {kGuilty});
  }
  const Time flooded = now;
  for (uint64_t i = 0; i < 2 * CrashSuspects::kMostRecords; ++i) {
    Crash(absl::StrCat("f-", i), {{9, i}});
    now = flooded;
  }
  BOOST_TEST(Held(kGuilty));
  BOOST_TEST(table.Shared(now).size() == CrashSuspects::kMostShared);
  BOOST_TEST((table.Shared(now).front().request == kGuilty));
}

BOOST_AUTO_TEST_CASE(tries_at_different_nodes_add_up_in_any_order) {
  std::vector<std::vector<SuspectRecord>> heard;
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Suspects node;
    node.now = now;
    node.Crash(backend, {kGuilty});
    now += absl::Milliseconds(300);
    heard.push_back(node.table.Shared(now));
  }
  for (const auto& order : {std::vector<size_t>{0, 1, 2}, {2, 0, 1, 2, 0}}) {
    Suspects node;
    for (const size_t from : order) {
      node.table.Merge(heard[from], now);
    }
    BOOST_TEST(node.table.Judge(kGuilty, now).Held(now));
    BOOST_TEST(!node.table.Merge(heard[1], now));
  }
}

BOOST_AUTO_TEST_CASE(what_is_concluded_is_told_with_its_grounds) {
  for (const char* backend : {"b-1", "b-2", "b-3"}) {
    Crash(backend, {kGuilty});
  }
  const std::vector<SuspectNote> notes = table.TakeNotes();
  BOOST_TEST_REQUIRE(notes.size() == 3U);
  BOOST_TEST(notes.front().event == "accused");
  BOOST_TEST(notes.back().event == "held");
  BOOST_TEST(notes.back().detail.find("b-1 b-2 b-3") != std::string::npos);
}

// An hour of one crash a minute, thirty requests at work each time, every one of which comes again
// up to three times until it is served, so that some are lost twice.
BOOST_AUTO_TEST_CASE(innocent_requests_are_not_held_in_an_hour_of_crashes) {
  std::mt19937_64 random(7);
  uint64_t next = 0;
  std::vector<Fingerprint> again;
  size_t lost = 0;
  size_t held = 0;
  for (int minute = 0; minute < 60; ++minute) {
    std::vector<Fingerprint> at_work;
    for (int i = 0; i < 30; ++i) {
      const bool returns = !again.empty() && random() % 10 == 0;
      at_work.push_back(returns ? again[random() % again.size()] : Fingerprint{5, ++next});
    }
    Crash(absl::StrCat("b-", minute), at_work);
    again.clear();
    for (const Fingerprint& request : at_work) {
      ++lost;
      held += Held(request) ? 1 : 0;
      // Nine in ten are served by another back end.
      if (random() % 10 != 0) {
        table.OnServed(request, now + kMoment);
      } else {
        again.push_back(request);
      }
    }
    now += absl::Minutes(1);
    table.Forget(now);
  }
  BOOST_TEST_MESSAGE(lost << " lost, " << held << " held");
  BOOST_TEST(held == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::quarantine
