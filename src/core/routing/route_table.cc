#include "core/routing/route_table.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace ladderstream::routing {
namespace {

GrantToken OwnershipVersion(const authority::RoutingState& state) {
  GrantToken highest;
  for (const Assignment& assignment : state.assignments) {
    highest = std::max(highest, assignment.changed_at);
  }
  return highest;
}

bool SameHome(const BackendHome& left, const BackendHome& right) {
  return left.backend == right.backend && left.home == right.home &&
         left.draining == right.draining;
}

/// Whether both states route alike.
bool SameRoutes(const RouteIndex& index, const authority::RoutingState& state) {
  const authority::RoutingState& known = *index.source;
  return known.configuration.revision == state.configuration.revision &&
         known.assignments.size() == state.assignments.size() &&
         index.ownership_version == OwnershipVersion(state) &&
         std::equal(known.homes.begin(), known.homes.end(), state.homes.begin(), state.homes.end(),
                    SameHome);
}

}  // namespace

class RouteIndexBuilder {
 public:
  RouteIndexBuilder(RoutingStatePtr source, StateRegistry& states)
      : index_(std::make_shared<RouteIndex>()), states_(states) {
    index_->source = std::move(source);
  }

  std::shared_ptr<const RouteIndex> Build() {
    const authority::RoutingState& state = *index_->source;
    index_->ownership_version = OwnershipVersion(state);
    AddBackends(state);
    AddServices(state.configuration);
    for (const Assignment& assignment : state.assignments) {
      AddAssignment(assignment);
    }
    states_.Prune();
    return std::move(index_);
  }

 private:
  void AddBackends(const authority::RoutingState& state) {
    for (const BackendConfiguration& backend : state.configuration.backends) {
      BackendRoute& route = index_->backends[backend.id];
      route.configuration = &backend;
      route.state = states_.Backend(backend.id);
    }
    for (const BackendHome& home : state.homes) {
      const auto found = index_->backends.find(home.backend);
      if (found == index_->backends.end()) {
        continue;
      }
      found->second.home = &home.home;
      found->second.draining = home.draining;
    }
  }

  void AddServices(const Configuration& configuration) {
    for (const ServiceConfiguration& service : configuration.services) {
      ServiceRoute& route = index_->services[service.name];
      route.configuration = &service;
      route.state = states_.Service(service.name, service.limits.retry_budget_permille);
      route.ranges_.resize(std::max(1U, service.range_count));
    }
    for (const auto& [id, backend] : index_->backends) {
      const auto service = index_->services.find(backend.configuration->service);
      if (service != index_->services.end()) {
        service->second.backends.push_back(&backend);
      }
    }
  }

  void AddAssignment(const Assignment& assignment) {
    const auto service = index_->services.find(assignment.shard.service);
    if (service == index_->services.end()) {
      return;
    }
    ShardRoute route;
    route.token = assignment.token;
    route.is_split_key = !assignment.shard.key.empty();
    const auto owner = index_->backends.find(assignment.owner);
    if (assignment.state == AssignmentState::kOwned && owner != index_->backends.end()) {
      route.owner = &owner->second;
    }
    if (route.is_split_key) {
      service->second.split_keys_[assignment.shard.key] = route;
    } else if (assignment.shard.range.value() < service->second.ranges_.size()) {
      service->second.ranges_[assignment.shard.range.value()] = route;
    }
  }

  std::shared_ptr<RouteIndex> index_;
  StateRegistry& states_;
};

const ShardRoute& ServiceRoute::Find(const std::string& key) const {
  if (!split_keys_.empty()) {
    const auto found = split_keys_.find(key);
    if (found != split_keys_.end()) {
      return found->second;
    }
  }
  return ranges_[RangeOf(key, configuration->range_count).value()];
}

ShardId ServiceRoute::ShardOf(const std::string& key) const {
  const RangeIndex range = RangeOf(key, configuration->range_count);
  return ShardId{configuration->name, range, split_keys_.contains(key) ? key : std::string()};
}

bool ServiceRoute::Declares(const std::string& key) const {
  return std::any_of(configuration->key_prefixes.begin(), configuration->key_prefixes.end(),
                     [&](const std::string& prefix) { return absl::StartsWith(key, prefix); });
}

RouteTable::RouteTable() : index_(std::make_shared<RouteIndex>()) {}

RouteTable::RouteTable(RoutingStatePtr source, const RouteTable& previous, StateRegistry& states)
    : source_(std::move(source)), confirmed_until_(source_->confirmed_until) {
  if (previous.source_ != nullptr && SameRoutes(*previous.index_, *source_)) {
    index_ = previous.index_;
    return;
  }
  index_ = RouteIndexBuilder(source_, states).Build();
}

const ServiceRoute* RouteTable::FindService(const ServiceName& name) const {
  const auto found = index_->services.find(name);
  return found == index_->services.end() ? nullptr : &found->second;
}

const BackendRoute* RouteTable::FindBackend(const BackendId& id) const {
  const auto found = index_->backends.find(id);
  return found == index_->backends.end() ? nullptr : &found->second;
}

}  // namespace ladderstream::routing
