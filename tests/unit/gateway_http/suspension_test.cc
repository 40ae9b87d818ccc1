// A machine that is suspended for seconds goes on with a steady clock that has not counted them:
// the node read CLOCK_MONOTONIC, and so did its timers. A coordinator that slept through its lease
// would have gone on renewing and moving, a confirmed ownership map, a rest asked for and a
// caller's deadline would have lasted longer by the time asleep, and what was due meanwhile would
// have been done up to its whole time late. Found in reading: no run has shown it.
#include <boost/test/unit_test.hpp>
#include <type_traits>

#include "gateway/http/boot_timer.h"
#include "gateway/suspension_watch.h"
#include "support.h"

namespace ladderstream::gateway {
namespace {

/// A clock that jumps as CLOCK_BOOTTIME does by the steady clock that the loop sleeps by.
struct SleepingMachineClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SleepingMachineClock>;
  static inline duration asleep{};

  static time_point now() noexcept {
    return time_point(std::chrono::steady_clock::now().time_since_epoch() + asleep);
  }
};

BOOST_AUTO_TEST_SUITE(suspension)

BOOST_AUTO_TEST_CASE(time_is_read_from_a_clock_that_counts_suspensions) {
  BOOST_TEST(BootClock::kClock == CLOCK_BOOTTIME);
  BOOST_TEST((std::is_same_v<Timer::clock_type, BootClock>));
  const Time before = BootTimeNow();
  const Time now = BootTimeSource().Now();
  BOOST_TEST((before <= now && now <= BootTimeNow()));
}

BOOST_AUTO_TEST_CASE(a_timer_goes_off_although_the_loop_slept_through_its_time) {
  EventLoop loop{1};
  ClockTimer<SleepingMachineClock> timer(loop.get_executor());
  bool fired = false;
  timer.expires_after(std::chrono::hours(1));
  timer.async_wait([&fired](const ErrorCode& error) { fired = !error; });
  loop.poll();
  BOOST_TEST(!fired);
  SleepingMachineClock::asleep += std::chrono::hours(1);
  RunUntil(loop, [&fired] { return fired; });
}

BOOST_AUTO_TEST_CASE(a_suspension_is_found_by_two_clocks) {
  SuspensionWatch watch;
  const Time start = absl::UnixEpoch() + absl::Hours(9);
  BOOST_TEST((watch.OnReadings(start, absl::Hours(4)) == absl::ZeroDuration()));
  const Duration awake = absl::Hours(4) + absl::Seconds(1);
  // The process had to wait between the two readings.
  BOOST_TEST((watch.OnReadings(start + absl::Milliseconds(1040), awake) == absl::ZeroDuration()));
  BOOST_TEST((watch.OnReadings(start + absl::Seconds(6), awake) == absl::Seconds(5)));
  BOOST_TEST((watch.OnReadings(start + absl::Seconds(7), awake + absl::Seconds(1)) ==
              absl::ZeroDuration()));
}

BOOST_AUTO_TEST_CASE(a_timer_does_not_go_off_early) {
  EventLoop loop{1};
  ClockTimer<SleepingMachineClock> timer(loop.get_executor());
  bool fired = false;
  const auto due = SleepingMachineClock::now() + 3 * kLongestSleep;
  timer.expires_at(due);
  timer.async_wait([&](const ErrorCode& /*error*/) {
    fired = true;
    BOOST_TEST((SleepingMachineClock::now() >= due));
  });
  RunUntil(loop, [&fired] { return fired; });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace ladderstream::gateway
