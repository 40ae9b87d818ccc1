// Tells the parts that work on a request that its caller has gone.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace ladderstream::routing {

/// Set at most once. Thread-safe.
class Cancellation {
 public:
  using Callback = std::function<void()>;

  /// Marks the request as cancelled and runs every registered callback, on this thread.
  void Cancel() {
    absl::flat_hash_map<uint64_t, Callback> callbacks;
    {
      const absl::MutexLock lock(&mutex_);
      cancelled_.store(true, std::memory_order_release);
      callbacks.swap(callbacks_);
    }
    for (const auto& [id, callback] : callbacks) {
      callback();
    }
  }

  bool cancelled() const { return cancelled_.load(std::memory_order_acquire); }

  /// Registers `callback`; runs it at once when already cancelled. The callback must not outlive
  /// what it refers to: see Forget.
  uint64_t OnCancel(Callback callback) {
    {
      const absl::MutexLock lock(&mutex_);
      if (!cancelled()) {
        callbacks_.emplace(++next_id_, std::move(callback));
        return next_id_;
      }
    }
    callback();
    return 0;
  }

  /// Drops a callback. One that has begun on another thread may still be running.
  void Forget(uint64_t id) {
    const absl::MutexLock lock(&mutex_);
    callbacks_.erase(id);
  }

 private:
  std::atomic<bool> cancelled_{false};
  absl::Mutex mutex_;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 0;
  absl::flat_hash_map<uint64_t, Callback> callbacks_ ABSL_GUARDED_BY(mutex_);
};

using CancellationPtr = std::shared_ptr<Cancellation>;

}  // namespace ladderstream::routing
