// Sends cancellations to back ends without making anybody wait.
#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>

namespace ladderstream::upstream {

/// One thread that runs small jobs in order. Thread-safe.
class CancelSender {
 public:
  using Job = std::function<void()>;

  CancelSender();
  ~CancelSender();

  /// Takes the job unless too many wait already: a cancellation only saves work.
  void Submit(Job job);

 private:
  void Run();

  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<Job> jobs_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace ladderstream::upstream
