// Timers of the event loop that go off by the boot clock.
#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

#include "wire/boot_clock.h"

namespace ladderstream::gateway {

/// The loop sleeps by CLOCK_MONOTONIC, which stands still while the machine is suspended: a timer
/// set for the next ten seconds would go off up to ten seconds late after a suspension. So the loop
/// looks at its timers at least this often; a wake-up that finds none due runs no code of the
/// product.
constexpr std::chrono::milliseconds kLongestSleep{100};

/// How long the loop may sleep until a timer of `Clock` is due.
template <typename Clock>
struct BoundedSleep {
  static typename Clock::duration to_wait_duration(const typename Clock::duration& left) {
    return std::clamp<typename Clock::duration>(left, Clock::duration::zero(), kLongestSleep);
  }
  static typename Clock::duration to_wait_duration(const typename Clock::time_point& due) {
    return to_wait_duration(due - Clock::now());
  }
};

template <typename Clock>
using ClockTimer = boost::asio::basic_waitable_timer<Clock, BoundedSleep<Clock>,
                                                     boost::asio::io_context::executor_type>;

/// Goes off within kLongestSleep of its time, also after a suspension.
using Timer = ClockTimer<BootClock>;

}  // namespace ladderstream::gateway
