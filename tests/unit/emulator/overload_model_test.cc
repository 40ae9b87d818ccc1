// The overload model serves what it can, and shows the difference between two queues.
#include "emulator/overload_model.h"

#include <boost/test/unit_test.hpp>

namespace ladderstream::emulator {
namespace {

OverloadOptions OptionsAt(double load) {
  constexpr double kBookings = 0.1;
  OverloadOptions options;
  options.backends = 4;
  options.duration = absl::Seconds(10);
  options.classes = {{"booking", Priority::kCritical, absl::Seconds(3), kBookings},
                     {"album", Priority::kBulk, absl::Milliseconds(300), load - kBookings}};
  return options;
}

BOOST_AUTO_TEST_SUITE(Overload)

BOOST_AUTO_TEST_CASE(AnswersNearlyEverythingBelowCapacity) {
  const OverloadResult result = OverloadModel(OptionsAt(0.3), MakeAdmissionQueue, 1).Run();
  for (const ClassResult& one : result.classes) {
    BOOST_TEST(static_cast<double>(one.useful) > 0.95 * static_cast<double>(one.offered));
  }
}

BOOST_AUTO_TEST_CASE(NeverAnswersMoreThanTheSlotsServe) {
  const OverloadOptions options = OptionsAt(3);
  const OverloadResult result = OverloadModel(options, MakeAdmissionQueue, 1).Run();
  BOOST_TEST(result.useful_per_second < 1.05 * options.Capacity());
  BOOST_TEST(result.useful_per_second > 0.8 * options.Capacity());
}

BOOST_AUTO_TEST_CASE(BookingsPassThroughAFloodOfAlbums) {
  const OverloadResult result = OverloadModel(OptionsAt(3), MakeAdmissionQueue, 1).Run();
  BOOST_TEST(result.classes.front().refused == 0U);
  const OverloadResult plain = OverloadModel(OptionsAt(3), MakePlainQueue, 1).Run();
  BOOST_TEST(plain.classes.front().refused > 0U);
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinTheirBudget) {
  const OverloadOptions options = OptionsAt(3);
  const OverloadResult result = OverloadModel(options, MakeAdmissionQueue, 1).Run();
  uint64_t offered = 0;
  for (const ClassResult& one : result.classes) {
    offered += one.offered;
  }
  BOOST_TEST(static_cast<double>(result.retries) <=
             options.retry_budget * static_cast<double>(offered));
}

BOOST_AUTO_TEST_CASE(IsTheSameForASeed) {
  const OverloadResult first = OverloadModel(OptionsAt(1.2), MakeAdmissionQueue, 7).Run();
  const OverloadResult second = OverloadModel(OptionsAt(1.2), MakeAdmissionQueue, 7).Run();
  BOOST_TEST(first.useful_per_second == second.useful_per_second);
  BOOST_TEST(first.wasted_share == second.wasted_share);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::emulator
