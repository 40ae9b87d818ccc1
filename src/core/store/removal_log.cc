#include "core/store/removal_log.h"

#include <algorithm>

namespace ladderstream::store {

void RemovalLog::Restart(RowVersion version) {
  removals_.clear();
  complete_since_ = version;
}

void RemovalLog::ForgetUpTo(RowVersion version) {
  complete_since_ = std::max(complete_since_, version);
  std::erase_if(removals_, [version](const Removal& one) { return one.version <= version; });
}

void RemovalLog::Add(const std::string& key, RowVersion version, Time changed_after) {
  removals_.push_back({key, version, changed_after});
  while (removals_.size() > capacity_) {
    complete_since_ = std::max(complete_since_, removals_.front().version);
    removals_.pop_front();
  }
}

}  // namespace ladderstream::store
