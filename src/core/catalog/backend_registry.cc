#include "core/catalog/backend_registry.h"

#include <algorithm>
#include <utility>

namespace ladderstream::catalog {
namespace {

const Service* FindService(const Configuration* configuration, const std::string& name) {
  if (configuration == nullptr) {
    return nullptr;
  }
  const auto found = configuration->services.find(name);
  return found == configuration->services.end() ? nullptr : &found->second;
}

}  // namespace

std::vector<Backend> BackendRegistry::Complete(std::vector<Backend> registrations,
                                               const EvacuatedZones& evacuated,
                                               const Configuration* configuration, Time now) {
  absl::flat_hash_map<std::string, Seen> seen;
  seen.reserve(registrations.size());
  for (Backend& backend : registrations) {
    const Service* const service = FindService(configuration, backend.service);
    const auto before = seen_.find(backend.id);
    const bool is_new = before == seen_.end();
    Seen state = is_new ? Seen() : before->second;
    backend.evacuated = evacuated.contains(backend.zone);
    if (is_new || backend.cold_left != state.told_cold_left) {
      state.told_cold_left = backend.cold_left;
      state.cold_until = now + backend.cold_left;
    }
    if (state.evacuated && !backend.evacuated && service != nullptr) {
      state.cold_until = std::max(state.cold_until, now + service->cold_time);
    }
    state.evacuated = backend.evacuated;
    backend.cold_until = state.cold_until;
    backend.cold_requests_per_second = service == nullptr ? 0 : service->cold_requests_per_second;
    seen.emplace(backend.id, state);
  }
  seen_ = std::move(seen);
  return registrations;
}

}  // namespace ladderstream::catalog
