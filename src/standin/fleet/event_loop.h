// The one thread of the stand-in: a loop over sockets and timers.
//
// Everything in this directory runs on the loop and is used from the thread that runs it. Objects
// that hand callbacks to the loop stay alive until it has stopped for good.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <functional>

#include "wire/time.h"

namespace ladderstream::fleet {

class EventLoop {
 public:
  boost::asio::io_context& context() { return context_; }

  /// A steady clock.
  static Time Now();

  /// Runs `action` once after `delay`.
  void After(Duration delay, std::function<void()> action);

  /// Runs `action` every `interval`, the first time after one interval, for as long as the loop
  /// lives.
  void Every(Duration interval, std::function<void()> action);

  /// Runs the loop until `condition` holds; it is asked after every turn. False when `timeout`
  /// passes first.
  bool RunUntil(const std::function<bool()>& condition, Duration timeout);

  void RunFor(Duration length);

 private:
  boost::asio::io_context context_{1};
};

}  // namespace ladderstream::fleet
