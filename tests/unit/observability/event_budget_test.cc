#include "observability/event_budget.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::observability {
namespace {

const Time kStart = absl::UnixEpoch();

EventBudget::Budgets TenASecond() {
  EventBudget::Budgets budgets;
  budgets.fill({10, 20});
  return budgets;
}

uint32_t TakeMany(EventBudget& budget, EventKind kind, uint32_t tries, Time now) {
  uint32_t taken = 0;
  for (uint32_t i = 0; i < tries; ++i) {
    taken += budget.Take(kind, 1, now) ? 1 : 0;
  }
  return taken;
}

BOOST_AUTO_TEST_SUITE(event_budget)

BOOST_AUTO_TEST_CASE(a_flood_gets_its_burst_and_then_its_rate) {
  EventBudget budget(TenASecond());
  BOOST_TEST(TakeMany(budget, EventKind::kBackend, 1000, kStart) == 20U);
  BOOST_TEST(TakeMany(budget, EventKind::kBackend, 1000, kStart + absl::Seconds(1)) == 10U);
  BOOST_TEST(TakeMany(budget, EventKind::kBackend, 1000, kStart + absl::Minutes(5)) == 20U);
}

BOOST_AUTO_TEST_CASE(kinds_do_not_take_from_each_other) {
  EventBudget budget(TenASecond());
  TakeMany(budget, EventKind::kAnsweredRequest, 1000, kStart);
  BOOST_TEST(TakeMany(budget, EventKind::kFailedRequest, 1, kStart) == 1U);
}

BOOST_AUTO_TEST_CASE(lines_that_belong_together_are_taken_whole_or_not) {
  EventBudget budget(TenASecond());
  BOOST_TEST(budget.Take(EventKind::kFailedRequest, 15, kStart));
  BOOST_TEST(!budget.Take(EventKind::kFailedRequest, 6, kStart));
  BOOST_TEST(budget.Take(EventKind::kFailedRequest, 5, kStart));
}

BOOST_AUTO_TEST_CASE(what_is_left_out_is_counted_and_told_once) {
  EventBudget budget(TenASecond());
  BOOST_TEST(!budget.HasOmissions());
  TakeMany(budget, EventKind::kPeer, 27, kStart);
  budget.CountOmitted(EventKind::kStore, OmissionCause::kOutput, 3);
  const std::vector<Omission> omissions = budget.TakeOmissions();
  BOOST_TEST_REQUIRE(omissions.size() == 2U);
  BOOST_TEST((omissions[0].kind == EventKind::kStore));
  BOOST_TEST((omissions[0].cause == OmissionCause::kOutput));
  BOOST_TEST(omissions[0].count == 3U);
  BOOST_TEST((omissions[1].kind == EventKind::kPeer));
  BOOST_TEST(omissions[1].count == 7U);
  BOOST_TEST(!budget.HasOmissions());
  BOOST_TEST(budget.TakeOmissions().empty());
  BOOST_TEST(budget.TotalOmitted(EventKind::kPeer, OmissionCause::kBudget) == 7U);
}

BOOST_AUTO_TEST_CASE(failed_requests_have_the_largest_budget) {
  const EventBudget::Budgets& budgets = EventBudget::Default();
  double total = 0;
  for (size_t kind = 0; kind < kEventKindCount; ++kind) {
    total += budgets.at(kind).lines_per_second;
    BOOST_TEST(budgets.at(kind).lines_per_second > 0);
    if (kind != static_cast<size_t>(EventKind::kFailedRequest)) {
      BOOST_TEST(budgets.at(kind).lines_per_second < budgets.front().lines_per_second);
    }
  }
  BOOST_TEST(total <= 460);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::observability
