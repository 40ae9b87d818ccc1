// Pushes newer grant sets to back ends by `POST /grants`, off the control loop's thread.
//
// A push is only a hint. For each back end at most one push runs and only the newest waits, so a
// frozen back end holds up nobody else for long and nothing piles up.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <boost/asio/thread_pool.hpp>
#include <optional>

#include "core/authority/authority.h"

namespace ladderstream::control {

/// Thread-safe; Push doesn't block.
class GrantPusher {
 public:
  GrantPusher();
  ~GrantPusher();

  void Push(const authority::PushGrants& push);

  /// Waits for the pushes that run; waiting ones are dropped.
  void Stop();

 private:
  struct Lane {
    bool running = false;
    std::optional<authority::PushGrants> newest;
  };

  void RunLane(const BackendId& backend);
  /// Gives what to push next; ends the lane when there is nothing.
  std::optional<authority::PushGrants> TakeNewest(const BackendId& backend);

  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  absl::flat_hash_map<BackendId, Lane> lanes_ ABSL_GUARDED_BY(mutex_);
  boost::asio::thread_pool threads_;
};

}  // namespace ladderstream::control
