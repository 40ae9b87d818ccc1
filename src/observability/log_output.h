// Writes the ring of an EventLog to a file descriptor, from the event loop and without ever waiting
// for the reader.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "observability/event_log.h"
#include "wire/time.h"

namespace ladderstream::observability {

struct LogOutputSettings {
  /// Lines are collected this long before they are written together.
  Duration flush_delay = absl::Milliseconds(100);
  /// While the reader stands still, writes are tried again after delays that double up to this.
  Duration longest_retry = absl::Seconds(1);
  /// At most this much is written in one turn of the event loop.
  size_t most_bytes_a_turn = 64U << 10U;
};

class LogOutput {
 public:
  /// Makes `descriptor` non-blocking unless it is a file; the destructor puts it back. `io` and
  /// `log` must outlive this. The process must ignore SIGPIPE.
  LogOutput(boost::asio::io_context* io, EventLog* log, int descriptor,
            const LogOutputSettings& settings = {});
  ~LogOutput();
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  /// Writes what the reader takes at once. False if some is left.
  bool Flush();

  /// For the end of the process: writes until nothing is left, for `at_most`.
  void FlushWithin(Duration at_most);

 private:
  enum class WriteResult { kProgress, kFull, kClosed };

  WriteResult WriteSome();
  void Schedule(Duration delay);
  void OnTimer();

  EventLog* const log_;
  const int descriptor_;
  const LogOutputSettings settings_;
  boost::asio::steady_timer timer_;
  int flags_before_ = -1;
  bool scheduled_ = false;
  Duration retry_delay_;
};

}  // namespace ladderstream::observability
