// The back ends that one request's attempts went to.
#pragma once

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "wire/identifiers.h"

namespace ladderstream::routing {

/// Thread-safe.
class TriedBackends {
 public:
  void Add(const BackendId& id) {
    const absl::MutexLock lock(&mutex_);
    ids_.push_back(id);
  }

  bool Contains(const BackendId& id) const {
    const absl::MutexLock lock(&mutex_);
    return std::find(ids_.begin(), ids_.end(), id) != ids_.end();
  }

 private:
  mutable absl::Mutex mutex_;
  std::vector<BackendId> ids_ ABSL_GUARDED_BY(mutex_);
};

using TriedBackendsPtr = std::shared_ptr<TriedBackends>;

}  // namespace ladderstream::routing
