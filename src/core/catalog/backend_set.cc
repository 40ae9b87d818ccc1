#include "core/catalog/backend_set.h"

#include <utility>

namespace ladderstream::catalog {

void BackendSet::Set(const Backend& backend) {
  const auto [place, is_new] = backends_.try_emplace(backend.id, backend);
  if (!is_new && place->second == backend) {
    return;
  }
  place->second = backend;
  changed_.insert(backend.id);
}

void BackendSet::Remove(const std::string& id) {
  if (backends_.erase(id) > 0) {
    changed_.insert(id);
  }
}

BackendChanges BackendSet::TakeChanges() {
  BackendChanges changes;
  for (const std::string& id : std::exchange(changed_, {})) {
    const auto backend = backends_.find(id);
    if (backend == backends_.end()) {
      changes.gone.push_back(id);
    } else {
      changes.set.push_back(backend->second);
    }
  }
  return changes;
}

BackendChanges BackendSet::Replace(const std::vector<Backend>& backends) {
  std::set<std::string> left;
  for (const auto& [id, backend] : backends_) {
    left.insert(id);
  }
  for (const Backend& backend : backends) {
    Set(backend);
    left.erase(backend.id);
  }
  for (const std::string& id : left) {
    Remove(id);
  }
  return TakeChanges();
}

}  // namespace ladderstream::catalog
