#include "core/authority/state_pull.h"

#include <algorithm>

namespace ladderstream::authority {

Confirmation::Confirmation(const AuthoritySettings& settings)
    : limit_(settings.confirmation_limit) {}

void Confirmation::Confirm(Time at) { confirmed_at_ = std::max(confirmed_at_, at); }

Duration Confirmation::Age(Time now) const { return now - confirmed_at_; }

Time Confirmation::Until() const { return confirmed_at_ + limit_; }

bool ObservedState::Apply(const StatePullResponse& response) {
  bool changed = false;
  for (const Configuration& configuration : response.configuration) {
    if (configuration.revision > configuration_.revision) {
      configuration_ = configuration;
      changed = true;
    }
  }
  if (response.ownership_version > version_) {
    changed = ApplyOwnership(response) || changed;
  }
  if (changed) {
    DropWhatIsNotConfigured();
  }
  return changed;
}

bool ObservedState::ApplyOwnership(const StatePullResponse& response) {
  version_ = response.ownership_version;
  if (response.ownership_is_full) {
    assignments_.clear();
    homes_.clear();
  }
  for (const Assignment& assignment : response.assignments) {
    assignments_.insert_or_assign(assignment.shard, assignment);
  }
  for (const ShardId& shard : response.removed) {
    assignments_.erase(shard);
  }
  for (const BackendHome& home : response.homes) {
    homes_.insert_or_assign(home.backend, home);
  }
  return response.ownership_is_full || !response.assignments.empty() || !response.removed.empty() ||
         !response.homes.empty();
}

void ObservedState::DropWhatIsNotConfigured() {
  std::erase_if(assignments_, [this](const auto& item) {
    return FindService(configuration_, item.first.service) == nullptr;
  });
  std::erase_if(homes_, [this](const auto& item) {
    return FindBackend(configuration_, item.first) == nullptr;
  });
}

RoutingState ObservedState::ToRoutingState() const {
  RoutingState routing;
  routing.configuration = configuration_;
  for (const auto& [shard, assignment] : assignments_) {
    routing.assignments.push_back(assignment);
  }
  for (const auto& [backend, home] : homes_) {
    routing.homes.push_back(home);
  }
  return routing;
}

StatePullResponse AnswerPull(const StatePull& pull, const OwnershipState& state,
                             Duration confirmed_age) {
  StatePullResponse response;
  response.revision = state.configuration().revision;
  response.confirmed_age = confirmed_age;
  if (response.revision > pull.known_revision) {
    response.configuration.push_back(state.configuration());
  }
  if (state.version() > pull.known_ownership) {
    state.FillChangesSince(pull.known_ownership, response);
  } else {
    response.ownership_version = pull.known_ownership;
  }
  return response;
}

}  // namespace ladderstream::authority
