// The back ends of a fleet, changes of configuration, and the checks of what is served and routed.
#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "hollow/hollow_fleet.h"
#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::hollow {
namespace {

/// A back end asks again after this share of its lease.
constexpr int kAsksPerLease = 3;
/// An unanswered request is given up and the next node is asked.
constexpr Duration kLeaseTimeout = absl::Milliseconds(150);
constexpr Duration kBackendDelay = absl::Microseconds(500);
constexpr uint16_t kBackendPort = 9000;

}  // namespace

void HollowFleet::AddBackends() {
  backends_of_group_.resize(topology_.groups.size());
  for (uint32_t group = 0; group < topology_.groups.size(); ++group) {
    const std::vector<size_t>& nodes = topology_.groups[group];
    const size_t count = nodes.size() * options_.backends_per_node;
    for (size_t i = 0; i < count; ++i) {
      HollowBackend backend;
      const size_t near = nodes[i % nodes.size()];
      backend.configuration.id = BackendId(absl::StrCat("backend-", group, "-", i));
      backend.configuration.service = ServiceOf(group);
      backend.configuration.zone = ZoneName(nodes_[near].place.zone);
      backend.configuration.endpoint = {"10.200.0.1", kBackendPort};
      backend.group = group;
      backend.incarnation = BackendIncarnation(absl::Uniform<uint64_t>(random_, 1, UINT64_MAX));
      backend.node = near;
      const size_t index = backends_.size();
      backend_index_.emplace(backend.configuration.id, index);
      backends_of_group_[group].push_back(index);
      backends_.push_back(std::move(backend));
      const Duration start = absl::Milliseconds(absl::Uniform(random_, 300, 600));
      queue_.After(start, [this, index] { AskForLease(index); });
    }
  }
}

void HollowFleet::AskForLease(size_t backend) {
  HollowBackend& asker = backends_[backend];
  if (!asker.alive) {
    return;
  }
  const uint64_t request = ++asker.request;
  asker.sent = now();
  const uint64_t correlation = next_correlation_++;
  lease_requests_[correlation] = {backend, request};
  queue_.After(kBackendDelay,
               [this, node = asker.node, correlation, message = asker.MakeRequest()] {
                 ++nodes_[node].traffic.lease_requests;
                 Deliver(node, authority::LeaseRequested{correlation, message});
               });
  queue_.After(kLeaseTimeout, [this, backend, request, correlation] {
    if (lease_requests_.erase(correlation) > 0 && backends_[backend].request == request) {
      AskNextNode(backend);
    }
  });
}

void HollowFleet::AskNextNode(size_t backend) {
  HollowBackend& asker = backends_[backend];
  const std::vector<size_t>& group = topology_.groups[asker.group];
  const auto current = std::find(group.begin(), group.end(), asker.node);
  asker.node = group[(current - group.begin() + 1) % group.size()];
  AskForLease(backend);
}

void HollowFleet::TakeOne(size_t /*node*/, authority::AnswerLease& action) {
  const auto found = lease_requests_.find(action.correlation);
  if (found == lease_requests_.end()) {
    return;
  }
  const auto [backend, request] = found->second;
  lease_requests_.erase(found);
  queue_.After(kBackendDelay,
               [this, backend = backend, request = request, response = std::move(action.response)] {
                 OnLease(backend, request, response);
               });
}

void HollowFleet::OnLease(size_t backend, uint64_t request, const LeaseResponse& response) {
  HollowBackend& asker = backends_[backend];
  if (!asker.alive || asker.request != request) {
    return;
  }
  if (response.result != ResultCode::kOk) {
    constexpr Duration kPause = absl::Milliseconds(50);
    queue_.After(kPause, [this, backend, request] {
      if (backends_[backend].request == request) {
        AskNextNode(backend);
      }
    });
    return;
  }
  for (const size_t node : topology_.groups[asker.group]) {
    if (nodes_[node].descriptor.http == response.home) {
      asker.node = node;
    }
  }
  if (asker.Apply(response)) {
    AskForLease(backend);
    return;
  }
  queue_.After(options_.settings.backend_lease / kAsksPerLease, [this, backend, request] {
    if (backends_[backend].request == request) {
      AskForLease(backend);
    }
  });
}

void HollowFleet::TakeOne(size_t /*node*/, authority::PushGrants& action) {
  const size_t backend = backend_index_.at(action.backend.id);
  queue_.After(kBackendDelay, [this, backend, version = action.grants.version] {
    // Only a hint: the set itself comes with the lease.
    if (backends_[backend].alive && version > backends_[backend].held.version) {
      AskForLease(backend);
    }
  });
}

void HollowFleet::KillBackend(size_t backend) { backends_[backend].alive = false; }

void HollowFleet::ChangeConfiguration() {
  revision_ = Revision(revision_.value() + 1);
  for (uint32_t group = 0; group < topology_.groups.size(); ++group) {
    store_.Put(absl::StrCat(StorePrefix(group), kConfigurationRow), Encode(ConfigurationOf(group)));
  }
}

size_t HollowFleet::LiveNodes(uint32_t group) const {
  const std::vector<size_t>& nodes = topology_.groups[group];
  return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(),
                                           [this](size_t node) { return nodes_[node].alive; }));
}

bool HollowFleet::ConfigurationIsInForce() {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const HollowNode& node) {
    if (!node.alive) {
      return true;
    }
    const authority::RoutingState state = node.authority->routing_state(now());
    return state.configuration.revision >= revision_ && state.confirmed_until > now();
  });
}

bool HollowFleet::IsServed(uint32_t group) const {
  size_t ranges = 0;
  for (const size_t backend : backends_of_group_[group]) {
    if (backends_[backend].Serves(now())) {
      ranges += backends_[backend].held.grants.size();
    }
  }
  return ranges >= options_.ranges_per_group;
}

bool HollowFleet::IsRouted(uint32_t group) {
  for (const size_t node : topology_.groups[group]) {
    if (!nodes_[node].alive) {
      continue;
    }
    const authority::RoutingState state = nodes_[node].authority->routing_state(now());
    const auto reaches = [this](const Assignment& assignment) {
      const auto backend = backend_index_.find(assignment.owner);
      return assignment.state == AssignmentState::kOwned && backend != backend_index_.end() &&
             backends_[backend->second].alive;
    };
    const auto has_live_home = [this](const BackendHome& home) {
      const auto node_found = node_index_.find(home.home.id);
      return node_found != node_index_.end() && nodes_[node_found->second].alive;
    };
    if (state.assignments.size() < options_.ranges_per_group || state.confirmed_until <= now() ||
        !std::all_of(state.assignments.begin(), state.assignments.end(), reaches) ||
        !std::all_of(state.homes.begin(), state.homes.end(), has_live_home)) {
      return false;
    }
  }
  return true;
}

}  // namespace ladderstream::hollow
