// Breaks off exchanges with back ends that outlast their deadline, however the bytes trickle.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <thread>
#include <utility>

#include "wire/time.h"

namespace ladderstream::upstream {

/// One thread for all exchanges of a node. Thread-safe.
class DeadlineWatch {
 public:
  using Id = std::pair<Time, uint64_t>;

  /// `time` must outlive the object.
  explicit DeadlineWatch(const TimeSource& time);
  ~DeadlineWatch();

  /// Runs `on_deadline` on the watch's thread once `deadline` has passed, unless removed before.
  Id Add(Time deadline, std::function<void()> on_deadline);

  /// After it returns the callback is not running and never will. False when it has run.
  bool Remove(const Id& id);

 private:
  void Run();
  void RunDue() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const TimeSource& time_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  /// When the thread looks again, if nobody wakes it.
  Time next_look_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::btree_map<Id, std::function<void()>> entries_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace ladderstream::upstream
