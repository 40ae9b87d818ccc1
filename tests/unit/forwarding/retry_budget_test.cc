// The retry budget holds under loads that would exceed it.
#include "core/allowance/retry_budget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "dispatcher_harness.h"

namespace ladderstream::forwarding {
namespace {

/// Returns how many of the ascending `times` lie in the window that begins at `start`.
size_t CountIn(const std::vector<Time>& times, Time start, Duration window) {
  const auto first = std::lower_bound(times.begin(), times.end(), start);
  const auto end = std::upper_bound(first, times.end(), start + window);
  return static_cast<size_t>(std::distance(first, end));
}

BOOST_AUTO_TEST_SUITE(retry_budget)

BOOST_AUTO_TEST_CASE(retries_in_any_window_stay_within_the_budget) {
  DispatcherSettings settings = DispatcherHarness::DefaultSettings();
  settings.node_count = 4;
  DispatcherHarness harness(settings);
  harness.AddBackends("cards", {"c-1", "c-2", "c-3", "c-4", "c-5", "c-6"});
  std::vector<Time> requests;
  std::vector<Time> retries;
  size_t max_retries = 0;
  // Normal load, a flood of requests that all fail, and normal load again.
  for (int i = 0; i < 6000; ++i) {
    const bool flood = i >= 500 && i < 5500;
    harness.Advance(flood ? absl::Milliseconds(4) : absl::Milliseconds(40));
    requests.push_back(harness.now);
    harness.Start("/cards/1");
    for (auto sends = harness.All<SendDecision>(); !sends.empty();
         sends = harness.All<SendDecision>()) {
      for (const SendDecision& send : sends) {
        if (send.cause != SendCause::kFirst) {
          retries.push_back(harness.now);
        }
        harness.Sent(send);
        if (i % 2 == 0) {
          harness.Refuse(send, 503, 1);
        } else {
          harness.Fail(send, AttemptFailure::kLost);
        }
      }
    }
    // The requests count in this window, half a window earlier or a window earlier.
    const Duration window = settings.budget_window;
    const size_t allowing = std::max({CountIn(requests, harness.now - window, window),
                                      CountIn(requests, harness.now - window * 1.5, window),
                                      CountIn(requests, harness.now - window * 2, window)});
    const size_t sent_again = CountIn(retries, harness.now - window, window);
    BOOST_REQUIRE_LE(static_cast<double>(sent_again),
                     0.2 * static_cast<double>(allowing) + 60.0 / 4);
    max_retries = std::max(max_retries, sent_again);
  }
  // The load produced enough retries to exercise the bound.
  BOOST_TEST(max_retries > 100U);
}

BOOST_AUTO_TEST_CASE(slack_of_a_new_process_grows_within_a_window) {
  allowance::RetryBudget budget;
  const Time start = absl::FromUnixSeconds(100);
  const allowance::RetryLimits limits{0, 4, absl::Seconds(10), start};
  BOOST_TEST(!budget.Allows(limits, 1, start));
  BOOST_TEST(!budget.Allows(limits, 1, start + absl::Seconds(2)));
  BOOST_TEST(budget.Allows(limits, 1, start + absl::Seconds(3)));
}

BOOST_AUTO_TEST_CASE(a_changed_budget_applies_from_the_next_retry) {
  DispatcherHarness harness(DispatcherHarness::DefaultSettings());
  harness.AddBackends("cards", {"c-1", "c-2"});
  harness.dispatcher.SetRetryBudget(0, 0, absl::Seconds(10));
  const SendDecision refused = harness.StartAndSend("/cards/1");
  harness.Sent(refused);
  harness.Refuse(refused, 503, 1);
  BOOST_TEST(harness.All<SendDecision>().empty());
  harness.dispatcher.SetRetryBudget(0, 1000, absl::Seconds(10));
  harness.Advance(absl::Seconds(10));
  const SendDecision again = harness.StartAndSend("/cards/2");
  harness.Sent(again);
  harness.Refuse(again, 503, 1);
  harness.Only<SendDecision>();
}

BOOST_AUTO_TEST_CASE(retries_left_are_reported_for_the_service_with_the_fewest) {
  DispatcherSettings settings = DispatcherHarness::DefaultSettings();
  settings.budget_ratio = 0;
  settings.budget_slack = 5;
  DispatcherHarness harness(settings);
  BOOST_TEST(harness.dispatcher.RetriesLeft(harness.now) == 0);
  harness.AddBackends("cards", {"c-1", "c-2"});
  harness.AddBackends("books", {"b-1"});
  const SendDecision first = harness.StartAndSend("/cards/1");
  BOOST_TEST(harness.dispatcher.RetriesLeft(harness.now) == 4);
  harness.Sent(first);
  harness.Refuse(first);
  harness.Only<SendDecision>();
  BOOST_TEST(harness.dispatcher.RetriesLeft(harness.now) == 3);
  harness.Advance(absl::Seconds(11));
  BOOST_TEST(harness.dispatcher.RetriesLeft(harness.now) == 4);
}

BOOST_AUTO_TEST_CASE(each_service_has_its_own_budget) {
  DispatcherSettings settings = DispatcherHarness::DefaultSettings();
  settings.budget_slack = 1.3;
  DispatcherHarness harness(settings);
  harness.AddBackends("cards", {"c-1", "c-2"});
  harness.AddBackends("books", {"b-1", "b-2"});
  const SendDecision cards = harness.StartAndSend("/cards/1");
  harness.Sent(cards);
  harness.Refuse(cards);
  harness.Only<SendDecision>();
  const SendDecision more_cards = harness.StartAndSend("/cards/2");
  harness.Sent(more_cards);
  harness.Fail(more_cards, AttemptFailure::kLost);
  BOOST_TEST(harness.Only<AnswerDecision>().status == 502);
  const SendDecision books = harness.StartAndSend("/books/1");
  harness.Sent(books);
  harness.Refuse(books);
  harness.Only<SendDecision>();
}

BOOST_AUTO_TEST_CASE(unsent_retry_is_refunded) {
  DispatcherSettings settings = DispatcherHarness::DefaultSettings();
  settings.budget_slack = 1.3;
  DispatcherHarness harness(settings);
  harness.AddBackends("cards", {"c-1", "c-2", "c-3"});
  const SendDecision first = harness.StartAndSend("/cards/1");
  harness.Sent(first);
  harness.Refuse(first);
  const auto second = harness.Only<SendDecision>();
  harness.Fail(second, AttemptFailure::kConnectRefused);
  const auto third = harness.Only<SendDecision>();
  harness.Sent(third);
  harness.Refuse(third);
  BOOST_TEST(harness.Only<AnswerDecision>().status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::forwarding
