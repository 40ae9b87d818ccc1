// Answers that are cut off, shortened or late never reach a caller as whole, or as another's.
#include <boost/test/unit_test.hpp>

#include "support/load.h"

namespace ladderstream::integration {
namespace {

constexpr uint64_t kFaultyAnswers = 20;

void CheckNothingWrongAndSomeUnknown(Load& load) {
  CheckClean(load.StopAndJudge());
  // The faults hit bookings too; of those the callers must have heard that it is not known.
  BOOST_TEST(CountUnknown(load.calls()) > 0U);
}

BOOST_AUTO_TEST_SUITE(answers)

BOOST_AUTO_TEST_CASE(cut_off_answer_is_never_passed_on) {
  Cluster cluster;
  Load load(cluster);
  load.AwaitAnswers(100);
  // Within the body: the headers of an answer are about 110 bytes.
  cluster.SetFaults("backend-", {{"cut_answers", kFaultyAnswers}, {"cut_after_bytes", 160}});
  load.AwaitAnswers(600);
  CheckNothingWrongAndSomeUnknown(load);
}

BOOST_AUTO_TEST_CASE(truncated_body_is_never_passed_on) {
  Cluster cluster;
  Load load(cluster);
  load.AwaitAnswers(100);
  for (const BackendPlace& place : cluster.backends()) {
    cluster.SetBackend(place.id, {{"truncate_answers", kFaultyAnswers}});
  }
  load.AwaitAnswers(600);
  CheckNothingWrongAndSomeUnknown(load);
}

BOOST_AUTO_TEST_CASE(late_answer_is_never_another_request_s) {
  Cluster cluster;
  Load load(cluster, {.deadline = absl::Milliseconds(150)});
  load.AwaitAnswers(100);
  for (const BackendPlace& place : cluster.backends()) {
    cluster.SetBackend(place.id, {{"late_answers", kFaultyAnswers}, {"late_ms", 300}});
  }
  load.AwaitAnswers(600);
  CheckNothingWrongAndSomeUnknown(load);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::integration
