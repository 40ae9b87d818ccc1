// The back ends of the fleet model: registrations, ends, restarts and releases.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "core/catalog/incarnation_id.h"
#include "dispatcher_harness.h"
#include "fleet_model_state.h"

namespace ladderstream::model {

using forwarding::AttemptFailure;

void FleetModel::AddBackend(const std::string& id, const std::string& service,
                            const std::string& zone) {
  auto backend = std::make_unique<Backend>();
  backend->instance = id;
  backend->registration = forwarding::DispatcherHarness::MakeBackend(
      catalog::IncarnationId(id, absl::ToUnixMillis(now_)), service);
  backend->registration.zone = zone;
  backend->registration.slots = 8;
  backend->registration.address = {"10.0.0.1", static_cast<uint16_t>(1000 + backends_.size())};
  backends_.emplace(id, std::move(backend));
}

void FleetModel::TellBackends(Duration delay) {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    AtNode(node, delay, [this, node] { TellBackendsTo(node); });
  }
}

void FleetModel::TellBackendsTo(size_t number) {
  std::vector<catalog::Backend> registered;
  for (const auto& [name, backend] : backends_) {
    if (backend->registered) {
      registered.push_back(backend->registration);
    }
  }
  Node& node = *nodes_[number];
  node.dispatcher->ChangeBackends(node.known.Replace(registered), {false, now_}, now_);
}

void FleetModel::TellMapTo(size_t number) {
  auto map = std::make_shared<ownership::OwnershipMap>();
  map->version = {1, map_sequence_};
  map->services["scripts"].assignments = {{{0, ownership::kLastKey}, owner_, map_sequence_}};
  Node& node = *nodes_[number];
  node.dispatcher->SetMapConfirmed(now_ + absl::Hours(1));
  node.dispatcher->SetOwnership(std::move(map), now_);
}

void FleetModel::MoveKeys() {
  std::vector<std::string> candidates;
  for (const auto& [name, backend] : backends_) {
    if (backend->up && backend->registered && backend->registration.service == "scripts") {
      candidates.push_back(backend->registration.id);
    }
  }
  if (candidates.empty()) {
    At(kMoveTime, [this] { MoveKeys(); });
    return;
  }
  owner_ = candidates[random_() % candidates.size()];
  ++map_sequence_;
  for (size_t node = 0; node < nodes_.size(); ++node) {
    AtNode(node, kMessageTime, [this, node] { TellMapTo(node); });
  }
}

void FleetModel::EndBackend(Backend& backend, EndMode mode) {
  backend.up = false;
  backend.silent = mode == EndMode::kSilent;
  for (const ExchangePtr& exchange : std::exchange(backend.at_work, {})) {
    ended_with_[exchange->fingerprint].insert(backend.registration.id);
    if (!backend.silent && ReachOf(exchange->carrier, backend.instance) == Reach::kRefused) {
      AtNode(exchange->carrier, kTransit,
             [this, exchange] { Lose(exchange, AttemptFailure::kLost); });
    }
  }
  for (const auto& node : nodes_) {
    if (!backend.silent) {
      node->idle.erase(backend.instance);
    }
  }
  At(kRowLapse, [this, id = backend.registration.id] { Deregister(id); });
  At(kReplacement, [this, instance = backend.instance] { Replace(instance); });
  if (owner_ == backend.registration.id) {
    At(kMoveTime, [this] { MoveKeys(); });
  }
}

void FleetModel::Deregister(const std::string& id) {
  const auto found = backends_.find(std::string(catalog::InstanceOf(id)));
  if (found == backends_.end() || found->second->registration.id != id || found->second->up) {
    return;
  }
  found->second->registered = false;
  TellBackends(kMessageTime);
}

void FleetModel::Replace(const std::string& instance) {
  const Backend& ended = *backends_.at(instance);
  const bool has_successor = backends_.contains(instance + "n");
  if (!ended.up && !has_successor) {
    AddBackend(instance + "n", ended.registration.service, ended.registration.zone);
    TellBackends(kMessageTime);
  }
}

void FleetModel::Restart(const std::string& instance) {
  Backend& backend = *backends_.at(instance);
  if (backend.up) {
    return;
  }
  backend.up = true;
  backend.silent = false;
  for (const auto& node : nodes_) {
    node->idle.erase(instance);
  }
  const std::string id = catalog::IncarnationId(instance, absl::ToUnixMillis(now_));
  At(kHeartbeat, [this, instance, id] {
    Backend& restarted = *backends_.at(instance);
    if (restarted.up) {
      restarted.registration.id = id;
      restarted.registered = true;
      TellBackends(kMessageTime);
    }
  });
}

void FleetModel::EndBackends(size_t count, EndMode mode) {
  std::vector<Backend*> up;
  for (const auto& [name, backend] : backends_) {
    if (backend->up) {
      up.push_back(backend.get());
    }
  }
  std::shuffle(up.begin(), up.end(), random_);
  for (size_t i = 0; i < std::min(count, up.size()); ++i) {
    EndBackend(*up[i], mode);
  }
}

void FleetModel::Release() {
  Duration delay;
  std::vector<std::string> names;
  for (const auto& [name, backend] : backends_) {
    names.push_back(name);
  }
  for (const std::string& name : names) {
    delay += kReleaseGap;
    At(delay, [this, name] {
      Backend& old = *backends_.at(name);
      if (!old.up || old.registration.draining) {
        return;
      }
      AddBackend(absl::StrCat(name, "n"), old.registration.service, old.registration.zone);
      old.registration.draining = true;
      TellBackends(kMessageTime);
      if (owner_ == old.registration.id) {
        MoveKeys();
      }
      At(kDrainTime, [this, name] {
        Backend& drained = *backends_.at(name);
        if (drained.up) {
          EndBackend(drained, EndMode::kRefuses);
          drained.registered = false;
          TellBackends(kMessageTime);
        }
      });
    });
  }
}

}  // namespace ladderstream::model
