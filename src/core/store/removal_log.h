// A bounded log of the rows recently removed from a table, with the versions of their removals.
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "core/store/store_types.h"
#include "wire/time.h"

namespace ladderstream::store {

class RemovalLog {
 public:
  explicit RemovalLog(size_t capacity) : capacity_(capacity) {}

  struct Removal {
    std::string key;
    RowVersion version = 0;
    /// See VersionedValue::changed_after.
    Time changed_after = absl::InfinitePast();
  };

  /// Clears the log; it is complete for removals after `version`.
  void Restart(RowVersion version);
  /// Discards removals at or below `version`.
  void ForgetUpTo(RowVersion version);
  /// Adds a removal; discards the oldest one when the log exceeds its capacity.
  void Add(const std::string& key, RowVersion version, Time changed_after);

  /// The log holds every removal after this version.
  RowVersion complete_since() const { return complete_since_; }
  /// Removals in the order in which they were added.
  const std::deque<Removal>& removals() const { return removals_; }

 private:
  const size_t capacity_;
  RowVersion complete_since_ = 0;
  std::deque<Removal> removals_;
};

}  // namespace ladderstream::store
