// A bounded set of threads that starts them as they are needed.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace ladderstream {

/// Thread-safe.
class WorkerPool {
 public:
  using Job = std::function<void()>;

  WorkerPool(uint32_t max_threads, uint32_t max_waiting);
  ~WorkerPool() { Shutdown(); }

  /// Runs what was taken, then ends the threads. Nothing more is taken.
  void Shutdown();

  /// Runs `job` on one of the threads. False when all are busy and too many jobs wait.
  bool Submit(Job job);

  /// Whether a job submitted now would find a thread.
  bool HasIdleThread();

 private:
  void Run();

  const uint32_t max_threads_;
  const uint32_t max_waiting_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  uint32_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  std::deque<Job> jobs_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream
