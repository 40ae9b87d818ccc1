// All registered back ends of now, and what changed among them since that was last taken.
//
// Pure. Whoever works with back ends is told the changes, so that one changed registration costs
// the same whether there are ten or ten thousand.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/catalog.h"

namespace ladderstream::catalog {

struct BackendChanges {
  /// New ones, and those of which something changed.
  std::vector<Backend> set;
  /// The ids of those whose registration went.
  std::vector<std::string> gone;

  bool Empty() const { return set.empty() && gone.empty(); }
};

class BackendSet {
 public:
  void Set(const Backend& backend);
  void Remove(const std::string& id);
  BackendChanges TakeChanges();

  /// Makes `backends` all there are, and gives what that changes.
  BackendChanges Replace(const std::vector<Backend>& backends);

  /// By id.
  const std::map<std::string, Backend>& all() const { return backends_; }

 private:
  std::map<std::string, Backend> backends_;
  std::set<std::string> changed_;
};

}  // namespace ladderstream::catalog
