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

Backend BackendRegistry::Complete(Backend backend, const EvacuatedZones& evacuated,
                                  const Configuration* configuration, Time now) {
  const Service* const service = FindService(configuration, backend.service);
  const auto [place, is_new] = seen_.try_emplace(backend.id);
  Seen& state = place->second;
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
  return backend;
}

void BackendRegistry::Forget(const std::string& id) { seen_.erase(id); }

}  // namespace ladderstream::catalog
