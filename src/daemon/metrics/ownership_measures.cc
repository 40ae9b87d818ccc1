#include "daemon/metrics/ownership_measures.h"

#include <algorithm>

namespace ladderstream::metrics {

void OwnershipMeasures::NoteLeaseRequest(const BackendId& backend, BackendIncarnation incarnation,
                                         Time now) {
  LeaseRequests& requests = lease_requests_[backend];
  if (requests.incarnation != incarnation) {
    requests.incarnation = incarnation;
    requests.last_of_earlier = requests.last;
    requests.first = now;
  }
  requests.last = now;
}

Time OwnershipMeasures::LastSignOfOwner(const Shard& shard, Time now) const {
  const auto found = lease_requests_.find(shard.owner);
  if (found == lease_requests_.end()) {
    return now;
  }
  const LeaseRequests& requests = found->second;
  const bool owner_was_earlier = requests.first > shard.owned_since;
  const Time last = owner_was_earlier ? requests.last_of_earlier : requests.last;
  // Nothing was heard of it under this node's lead when it is older than the ownership.
  return last >= shard.owned_since ? last : now;
}

OwnershipChanges OwnershipMeasures::Observe(const authority::RoutingState& routing, Time now) {
  OwnershipChanges changes;
  ++observations_;
  for (const Assignment& assignment : routing.assignments) {
    ObserveOne(assignment, now, &changes);
  }
  absl::erase_if(shards_, [this](const auto& entry) { return entry.second.seen != observations_; });
  return changes;
}

void OwnershipMeasures::ObserveOne(const Assignment& assignment, Time now,
                                   OwnershipChanges* changes) {
  const ServiceName& service = assignment.shard.service;
  Shard& shard = shards_[assignment.shard];
  shard.seen = observations_;
  uint64_t& without_owner = changes->without_owner[service];
  if (assignment.state != AssignmentState::kOwned) {
    ++without_owner;
    if (!shard.owner.value().empty() && !shard.lost_at) {
      shard.planned = assignment.state == AssignmentState::kRevoking;
      shard.lost_at = shard.planned ? now : LastSignOfOwner(shard, now);
    }
    return;
  }
  if (shard.lost_at) {
    changes->outages.push_back({service, now - *shard.lost_at, shard.planned});
    shard.lost_at.reset();
  }
  if (!shard.owner.value().empty() && shard.owner != assignment.owner) {
    ++changes->owner_changes[service];
  }
  if (shard.owner != assignment.owner) {
    shard.owned_since = now;
  }
  shard.owner = assignment.owner;
}

std::map<ServiceName, double> LoadImbalance(const Configuration& configuration,
                                            const std::vector<NodeReport>& reports) {
  std::map<BackendId, double> rates;
  for (const NodeReport& report : reports) {
    for (const BackendLoad& load : report.backends) {
      rates[load.backend] += load.rate;
    }
  }
  struct Load {
    double sum = 0;
    double peak = 0;
    double backends = 0;
  };
  std::map<ServiceName, Load> loads;
  for (const BackendConfiguration& backend : configuration.backends) {
    Load& load = loads[backend.service];
    const auto rate = rates.find(backend.id);
    const double value = rate == rates.end() ? 0 : rate->second;
    load.sum += value;
    load.peak = std::max(load.peak, value);
    load.backends += 1;
  }
  std::map<ServiceName, double> imbalance;
  for (const auto& [service, load] : loads) {
    if (load.sum > 0) {
      imbalance[service] = load.peak * load.backends / load.sum;
    }
  }
  return imbalance;
}

}  // namespace ladderstream::metrics
