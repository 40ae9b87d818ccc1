// Waiting for SIGTERM and SIGINT in one thread.
#pragma once

#include <signal.h>

namespace ladderstream::standin {

/// Blocks SIGTERM and SIGINT in the calling thread and those it starts afterwards; ignores SIGPIPE.
class StopSignals {
 public:
  StopSignals() {
    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set_);
    sigaddset(&set_, SIGTERM);
    sigaddset(&set_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set_, nullptr);
  }

  /// Returns when either has arrived.
  void Wait() const {
    int received = 0;
    sigwait(&set_, &received);
  }

 private:
  sigset_t set_{};
};

}  // namespace ladderstream::standin
