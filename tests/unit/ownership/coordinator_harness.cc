#include "coordinator_harness.h"

#include <algorithm>

namespace ladderstream::ownership {

Harness::Harness(ModelStore* store_in, uint64_t incarnation, uint16_t port, Time start,
                 const CoordinatorSettings& settings_in)
    : settings(settings_in),
      store(store_in),
      now(start),
      coordinator(settings_in, {incarnation, "node", {"node", port}}) {
  partition::Script() = {};
}

void Harness::Register(const std::vector<std::string>& ids,
                       const std::map<std::string, Endpoint>& of_another_service) {
  catalog::Service service;
  service.name = kService;
  std::vector<catalog::Backend> backends;
  for (const std::string& id : ids) {
    catalog::Backend backend;
    backend.id = id;
    backend.service = kService;
    // The part before a dot names the machine.
    backend.address = {id.substr(0, id.find('.')), 1};
    backends.push_back(backend);
  }
  for (const auto& [id, address] : of_another_service) {
    catalog::Backend backend;
    backend.id = id;
    backend.service = "another service";
    backend.address = address;
    backends.push_back(backend);
  }
  coordinator.OnCatalog({service}, registered.Replace(backends), now);
  Drain();
}

void Harness::RegisterBackends(const std::vector<catalog::Backend>& backends) {
  catalog::Service service;
  service.name = kService;
  coordinator.OnCatalog({service}, registered.Replace(backends), now);
  Drain();
}

void Harness::Settle(const std::vector<std::string>& ids) {
  Register(ids);
  Run(absl::Seconds(3));
}

void Harness::Run(Duration duration) {
  const Time end = now + duration;
  for (Time wake = coordinator.NextWake(); wake <= end; wake = coordinator.NextWake()) {
    now = std::max(now + absl::Microseconds(1), wake);
    coordinator.OnTick(now);
    Drain();
  }
  now = std::max(now, end);
}

void Harness::Drain() {
  for (std::vector<Action> actions = coordinator.TakeActions(); !actions.empty();
       actions = coordinator.TakeActions()) {
    for (const Action& action : actions) {
      if (const auto* commit = std::get_if<CommitAction>(&action)) {
        commits.push_back({now, *commit});
        if (store_refuses) {
          store::StoreReply refused;
          refused.status = store::StoreStatus::kRefused;
          coordinator.OnStoreReply(commit->call, refused, now);
        } else if (store_answers || store_loses_answers) {
          const store::StoreReply reply = store->Apply(commit->transaction);
          if (store_answers) {
            coordinator.OnStoreReply(commit->call, reply, now);
          }
        }
      } else if (const auto* read = std::get_if<ReadAction>(&action)) {
        ++reads;
        if (store_answers) {
          coordinator.OnStoreReply(read->call, store->Read(read->query), now);
        }
      } else if (const auto* grant = std::get_if<GrantAction>(&action)) {
        grants.push_back({now, *grant});
        Order(grant->call, grant->backend, grant->address, "");
      } else if (const auto* release = std::get_if<ReleaseAction>(&action)) {
        releases.push_back({now, *release});
        Order(release->call, release->backend, release->address, "handover of " + release->backend);
      } else if (const auto* publish = std::get_if<PublishAction>(&action)) {
        published = publish->map;
      } else if (const auto* change = std::get_if<StateChangeAction>(&action)) {
        state_changes.push_back({now, *change});
      }
    }
  }
}

void Harness::Order(CallId call, const std::string& backend, const Endpoint& address,
                    const std::string& handover) {
  if (replaced.contains(backend) || foreign_hosts.contains(address.host)) {
    coordinator.OnOrderReply(call, {OrderStatus::kOtherInstance, ""}, now);
  } else if (unreachable.contains(backend)) {
    coordinator.OnOrderReply(call, {OrderStatus::kUnreachable, ""}, now);
  } else if (!unresponsive.contains(backend)) {
    coordinator.OnOrderReply(call, {OrderStatus::kDone, handover}, now);
  }
}

std::vector<At<GrantAction>> Harness::GrantsSince(Time since) const {
  std::vector<At<GrantAction>> found;
  std::copy_if(grants.begin(), grants.end(), std::back_inserter(found),
               [since](const At<GrantAction>& grant) { return grant.at >= since; });
  return found;
}

const std::string& Harness::OwnerOf(Key key) const {
  return FindAssignment(published.services.at(kService).assignments, key)->owner;
}

bool Harness::IsMoving(Key key) const {
  const std::vector<KeyRange>& moving = published.services.at(kService).moving;
  return std::any_of(moving.begin(), moving.end(),
                     [key](const KeyRange& range) { return range.Contains(key); });
}

bool Harness::Reported(const std::string& event) const {
  return std::any_of(
      state_changes.begin(), state_changes.end(),
      [&event](const At<StateChangeAction>& change) { return change.sent.event == event; });
}

}  // namespace ladderstream::ownership
