// The platform's list of live and leaving machines, which shows the past.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace ladderstream::standin {

/// Thread-safe.
class MachineList {
 public:
  explicit MachineList(absl::Duration lag) : lag_(lag) {}

  /// Adds a machine, or replaces the one of the same "name". Throws nlohmann::json::exception when
  /// there is no name.
  void Register(const nlohmann::json& machine, absl::Time now);

  /// The list as it stood one lag ago: {"machines":[...]}.
  nlohmann::json Read(absl::Time now) const;

  void SetLag(absl::Duration lag);

 private:
  struct Change {
    absl::Time at;
    std::string name;
    nlohmann::json machine;
  };

  mutable absl::Mutex mutex_;
  absl::Duration lag_ ABSL_GUARDED_BY(mutex_);
  std::deque<Change> changes_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::standin
