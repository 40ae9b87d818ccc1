// The connections of this node to one back end, never more than the back end accepts.
#pragma once

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <memory>
#include <vector>

#include "daemon/upstream/backend_connection.h"

namespace ladderstream::upstream {

using BackendConnectionPtr = std::unique_ptr<BackendConnection>;

/// Thread-safe.
class ConnectionPool {
 public:
  /// `time` and `watch` must outlive the object.
  ConnectionPool(const Endpoint& endpoint, const ConnectionSettings& settings,
                 const TimeSource& time, DeadlineWatch& watch);

  /// Gives the connection used last, or a new one that connects when it is used; null when `limit`
  /// connections are open.
  BackendConnectionPtr Take(uint32_t limit);

  /// Gives a connection back; one that may not be used again is closed.
  void Return(BackendConnectionPtr connection);

  /// Closes connections that were not used for `age`.
  void CloseIdle(Duration age);

 private:
  const Endpoint endpoint_;
  const ConnectionSettings settings_;
  const TimeSource& time_;
  DeadlineWatch& watch_;
  absl::Mutex mutex_;
  uint32_t open_ ABSL_GUARDED_BY(mutex_) = 0;
  /// The one used last is at the end.
  std::vector<BackendConnectionPtr> idle_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::upstream
