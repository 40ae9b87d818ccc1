// Accounts for the versions of the store, to notice a change that a watch should have reported.
//
// The store numbers its transactions consecutively. A node that knows its own transactions and the
// changes that its watches reported knows what each number stands for; a number that it cannot
// explain may be a change that a dead watch has missed. Performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <set>

#include "core/store/store_types.h"

namespace ladderstream::store {

class VersionAudit {
 public:
  /// Records the version of a transaction of this node or of a change that its copies hold.
  void Add(RowVersion version);
  /// Records that the copies hold every change up to this version.
  void CompleteUpTo(RowVersion version);

  /// Every change up to this version is known.
  RowVersion explained() const { return explained_; }

 private:
  void Advance();

  RowVersion explained_ = 0;
  /// Known versions above `explained_`, whose predecessors are not all known.
  std::set<RowVersion> known_;
};

}  // namespace ladderstream::store
