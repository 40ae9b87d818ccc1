#include "rehearsal/replay/expectation.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr char kBounds[] =
    R"({"min_answered_share":0.9,"max_imbalance":2,"max_churn":10,"max_unavailable_ms":1500})";

Verdict WithinBounds() {
  Verdict verdict;
  verdict.requests = 100;
  verdict.answered = 90;
  verdict.imbalance = 2;
  verdict.churn = 10;
  verdict.unavailable = absl::Milliseconds(1500);
  return verdict;
}

size_t CountMisses(const Verdict& verdict) {
  std::istringstream input(kBounds);
  return FindMisses(ReadExpectation(input), verdict).size();
}

BOOST_AUTO_TEST_SUITE(expectation)

BOOST_AUTO_TEST_CASE(accepts_what_is_within_bounds) {
  BOOST_TEST(CountMisses(WithinBounds()) == 0);
}

BOOST_AUTO_TEST_CASE(names_each_bound_that_is_missed) {
  Verdict verdict = WithinBounds();
  verdict.answered = 89;
  verdict.imbalance = 2.1;
  verdict.churn = 11;
  verdict.unavailable = absl::Milliseconds(1501);
  BOOST_TEST(CountMisses(verdict) == 4);
}

BOOST_AUTO_TEST_CASE(never_accepts_a_violation) {
  for (auto list : {&Verdict::wrong, &Verdict::doubled, &Verdict::lost, &Verdict::two_owners,
                    &Verdict::after_drain}) {
    Verdict verdict = WithinBounds();
    (verdict.*list).push_back({"something"});
    BOOST_TEST(CountMisses(verdict) == 1);
  }
}

BOOST_AUTO_TEST_CASE(refuses_a_file_without_a_bound) {
  std::istringstream input(R"({"min_answered_share":0.9})");
  BOOST_CHECK_THROW(ReadExpectation(input), Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::rehearsal
