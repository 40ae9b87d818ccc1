// What a node remembers about services and back ends from one route table to the next.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

#include "core/health/backend_health.h"
#include "core/routing/retry_budget.h"
#include "wire/identifiers.h"

namespace ladderstream::routing {

/// What this node saw of one back end. Thread-safe.
struct BackendState {
  health::BackendHealth health;
  /// Attempts of this node under way.
  std::atomic<int32_t> in_flight{0};
};

/// What this node keeps for one service. Thread-safe.
struct ServiceState {
  ServiceState(uint32_t permille, uint32_t min_tokens)
      : budget_permille(permille), budget(permille, min_tokens) {}

  const uint32_t budget_permille;
  RetryBudget budget;
};

using BackendStatePtr = std::shared_ptr<BackendState>;
using ServiceStatePtr = std::shared_ptr<ServiceState>;

/// Gives each back end and service the state it had. Not thread-safe: used while a table is built.
class StateRegistry {
 public:
  explicit StateRegistry(uint32_t min_retry_tokens) : min_retry_tokens_(min_retry_tokens) {}

  BackendStatePtr Backend(const BackendId& id) {
    BackendStatePtr& state = backends_[id];
    if (state == nullptr) {
      state = std::make_shared<BackendState>();
    }
    return state;
  }

  /// A changed budget starts afresh.
  ServiceStatePtr Service(const ServiceName& name, uint32_t permille) {
    ServiceStatePtr& state = services_[name];
    if (state == nullptr || state->budget_permille != permille) {
      state = std::make_shared<ServiceState>(permille, min_retry_tokens_);
    }
    return state;
  }

  /// Forgets what no table uses any more.
  void Prune() {
    absl::erase_if(backends_, [](const auto& entry) { return entry.second.use_count() == 1; });
    absl::erase_if(services_, [](const auto& entry) { return entry.second.use_count() == 1; });
  }

 private:
  const uint32_t min_retry_tokens_;
  absl::flat_hash_map<BackendId, BackendStatePtr> backends_;
  absl::flat_hash_map<ServiceName, ServiceStatePtr> services_;
};

}  // namespace ladderstream::routing
