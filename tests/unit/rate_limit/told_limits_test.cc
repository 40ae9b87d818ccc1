// From when a limit is believed, how it ends, and what counts when nodes have heard different
// things.
#include "core/allowance/told_limits.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::allowance {
namespace {

const std::string kBackend = "needy@1";

struct Fixture {
  void Told(std::optional<double> rate, Duration sent_before = absl::ZeroDuration()) {
    limits.OnAnswer(kBackend, {rate, false}, now - sent_before, now);
  }

  ToldLimits limits;
  Time now = absl::UnixEpoch() + absl::Hours(1);
};

BOOST_FIXTURE_TEST_SUITE(told_limits, Fixture)

BOOST_AUTO_TEST_CASE(a_limit_holds_until_an_answer_to_a_later_request_names_none) {
  BOOST_TEST(limits.empty());
  Told(3.4);
  BOOST_TEST(*limits.RateOf(kBackend) == 3.4);
  now += absl::Milliseconds(50);
  // This request was sent before the limit was heard, and may have been answered before it began.
  Told(std::nullopt, absl::Milliseconds(80));
  BOOST_TEST(limits.size() == 1U);
  Told(std::nullopt, absl::Milliseconds(20));
  BOOST_TEST(limits.empty());
  BOOST_TEST(!limits.RateOf(kBackend).has_value());
}

BOOST_AUTO_TEST_CASE(what_is_no_number_changes_nothing) {
  limits.OnAnswer(kBackend, {std::nullopt, true}, now, now);
  BOOST_TEST(limits.empty());
  Told(0.3);
  now += absl::Seconds(1);
  limits.OnAnswer(kBackend, {std::nullopt, true}, now, now);
  BOOST_TEST(*limits.RateOf(kBackend) == 0.3);
}

BOOST_AUTO_TEST_CASE(a_limit_that_nobody_tells_of_lapses) {
  Told(5);
  now += ToldLimits::kLifetime - absl::Seconds(1);
  limits.Forget(now);
  BOOST_TEST(limits.size() == 1U);
  now += absl::Seconds(1);
  limits.Forget(now);
  BOOST_TEST(limits.empty());
}

BOOST_AUTO_TEST_CASE(of_several_nodes_the_one_that_heard_last_counts) {
  Told(5);
  BOOST_TEST(!limits.Merge({{kBackend, 9.0, now - absl::Seconds(1)}}, now));
  BOOST_TEST(*limits.RateOf(kBackend) == 5.0);
  BOOST_TEST(limits.Merge({{kBackend, std::nullopt, now + absl::Milliseconds(1)}}, now));
  BOOST_TEST(limits.empty());
  BOOST_TEST(limits.Merge({{kBackend, 2.0, now + absl::Milliseconds(2)}}, now));
  BOOST_TEST(limits.size() == 1U);
}

BOOST_AUTO_TEST_CASE(changes_are_told_for_a_while_and_like_limits_are_none) {
  Told(5);
  BOOST_TEST(limits.TakeNews());
  Told(5.2);
  BOOST_TEST(!limits.TakeNews());
  BOOST_TEST(limits.Changed(true, now).size() == 1U);
  now += ToldLimits::kTellFor;
  BOOST_TEST(limits.Changed(true, now).empty());
  Told(8);
  BOOST_TEST(limits.TakeNews());
  BOOST_TEST(limits.TakeNotes().size() == 2U);
}

BOOST_AUTO_TEST_CASE(what_others_told_is_not_told_as_heard_here) {
  limits.Merge({{kBackend, 5.0, now}}, now);
  BOOST_TEST(!limits.TakeNews());
  BOOST_TEST(limits.Changed(true, now).empty());
  BOOST_TEST(limits.Changed(false, now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_message_holds_the_newest_changes) {
  for (size_t i = 0; i < 2 * ToldLimits::kMostShared; ++i) {
    now += absl::Milliseconds(1);
    limits.OnAnswer(std::to_string(i), {1.0, false}, now, now);
  }
  const auto told = limits.Changed(false, now);
  BOOST_TEST(told.size() == ToldLimits::kMostShared);
  BOOST_TEST(std::all_of(told.begin(), told.end(), [](const LimitRecord& record) {
    return std::stoul(record.backend) >= ToldLimits::kMostShared;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::allowance
