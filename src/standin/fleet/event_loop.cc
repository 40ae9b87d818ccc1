#include "standin/fleet/event_loop.h"

#include <absl/time/clock.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "wire/boot_clock.h"

namespace ladderstream::fleet {
namespace {

// How long the loop sleeps at most before a condition is asked again.
constexpr Duration kTurn = absl::Milliseconds(5);

}  // namespace

Time EventLoop::Now() { return BootTimeNow(); }

void EventLoop::After(Duration delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(context_);
  timer->expires_after(absl::ToChronoNanoseconds(delay));
  timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& error) {
    if (!error) {
      action();
    }
  });
}

void EventLoop::Every(Duration interval, std::function<void()> action) {
  After(interval, [this, interval, action = std::move(action)] {
    action();
    Every(interval, action);
  });
}

bool EventLoop::RunUntil(const std::function<bool()>& condition, Duration timeout) {
  const Time deadline = Now() + timeout;
  while (!condition()) {
    if (Now() >= deadline) {
      return false;
    }
    context_.restart();
    context_.run_one_for(absl::ToChronoNanoseconds(kTurn));
    // What became ready together is done before the condition is asked again.
    context_.poll();
  }
  return true;
}

void EventLoop::RunFor(Duration length) {
  RunUntil([] { return false; }, length);
}

}  // namespace ladderstream::fleet
