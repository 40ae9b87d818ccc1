// The table service's data: rows with versions, changed by conditional transactions.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace ladderstream::standin {

/// Thread-safe; every transaction is atomic.
class TableStore {
 public:
  /// Runs a transaction of docs/design/001 and gives its answer. Throws nlohmann::json::exception
  /// or std::invalid_argument for a request that is not one.
  nlohmann::json Run(const nlohmann::json& transaction);

 private:
  struct Row {
    uint64_t version = 0;
    // Base64, as it came.
    std::string value;
  };

  bool ConditionsHold(const nlohmann::json& transaction) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  absl::Mutex mutex_;
  std::map<std::string, Row> rows_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace ladderstream::standin
