// The rows of a table that went lately, with the versions of their removals.
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
    /// As in VersionedValue.
    Time changed_after = absl::InfinitePast();
  };

  /// Forgets everything: removals are known from `version` on.
  void Restart(RowVersion version);
  /// Forgets removals as of this version and earlier ones.
  void ForgetUpTo(RowVersion version);
  /// The oldest removal is forgotten when there are too many.
  void Add(const std::string& key, RowVersion version, Time changed_after);

  /// Every removal after this version is known.
  RowVersion complete_since() const { return complete_since_; }
  /// In the order they were added.
  const std::deque<Removal>& removals() const { return removals_; }

 private:
  const size_t capacity_;
  RowVersion complete_since_ = 0;
  std::deque<Removal> removals_;
};

}  // namespace ladderstream::store
