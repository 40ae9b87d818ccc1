#include "replayer.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace ladderstream::replay {
namespace {

using ownership::Key;
using ownership::KeyRange;

/// An answer that comes within this counts as in time; callers wait longer to show how long.
constexpr Duration kInTime = absl::Seconds(1);
constexpr Duration kPatience = absl::Seconds(10);
constexpr Duration kRetryDelay = absl::Milliseconds(50);
/// A request that a back end does not answer is tried again after this.
constexpr Duration kSilence = absl::Milliseconds(400);
/// The platform drops the row of a back end that does not renew it.
constexpr Duration kRowLapse = absl::Milliseconds(1500);
/// A back end that leaves may be given work for this long.
constexpr Duration kDrainBound = absl::Seconds(3);
/// The fleet comes up before the trace begins.
constexpr Duration kWarmUp = absl::Seconds(5);
constexpr Duration kWorkTime = absl::Milliseconds(20);
constexpr double kKeys = ownership::kLastKey + 1;
constexpr uint16_t kFirstPort = 1000;

}  // namespace

std::vector<std::string> FindMisses(const Expectation& expectation, const Outcome& outcome) {
  std::vector<std::string> misses = outcome.violations;
  const auto requests = static_cast<double>(std::max<uint64_t>(outcome.requests, 1));
  const double share = static_cast<double>(outcome.in_time) / requests;
  if (share < expectation.in_time_share) {
    misses.push_back(absl::StrCat("answered in time: ", share));
  }
  if (outcome.imbalance > expectation.imbalance) {
    misses.push_back(absl::StrCat("imbalance: ", outcome.imbalance));
  }
  if (outcome.churn > expectation.churn) {
    misses.push_back(absl::StrCat("churn: ", outcome.churn));
  }
  if (outcome.unavailable > expectation.unavailable) {
    misses.push_back(absl::StrCat("unavailable: ", absl::FormatDuration(outcome.unavailable)));
  }
  return misses;
}

Replayer::Replayer(const Trace& trace)
    : trace_(trace), now_(absl::FromUnixSeconds(1'000'000)), nodes_(trace.nodes) {
  uint16_t port = kFirstPort;
  for (const auto& [service, count] : trace.services) {
    for (size_t number = 0; number < count; ++number) {
      auto backend = std::make_unique<Backend>();
      backend->state.service = service;
      backend->state.address = {"10.0.0.1", port++};
      services_[service].push_back(std::move(backend));
    }
  }
}

Replayer::~Replayer() = default;

Outcome Replayer::Run() {
  for (auto& [service, backends] : services_) {
    for (const auto& backend : backends) {
      StartBackend(backend.get());
    }
  }
  for (size_t index = 0; index < nodes_.size(); ++index) {
    StartNode(index);
  }
  Heartbeat();
  const Time start = now_ + kWarmUp;
  end_ = start + trace_.length + kPatience;
  for (const Batch& batch : trace_.batches) {
    At(start + batch.at, [this, &batch] {
      for (const Key key : batch.keys) {
        ++outcome_.requests;
        asked_[batch.service][key] += 1;
        Try({batch.service, key, now_});
      }
    });
  }
  for (const Fault& fault : trace_.faults) {
    At(start + fault.at, [this, &fault] { Strike(fault); });
  }
  while (!events_.empty() && events_.top().at <= end_) {
    const Scheduled next = events_.top();
    events_.pop();
    now_ = next.at;
    next.event();
  }
  CountImbalance();
  return outcome_;
}

void Replayer::At(Time at, Event event) {
  events_.push({std::max(at, now_), ++scheduled_, std::move(event)});
}

void Replayer::Strike(const Fault& fault) {
  const size_t number = fault.number;
  switch (fault.kind) {
    case FaultKind::kStoreDown:
      store_down_until_ = now_ + fault.length;
      return;
    case FaultKind::kNodeKilled:
      EndNode(number);
      After(fault.length, [this, number] { StartNode(number); });
      return;
    case FaultKind::kNodeStopped:
      ToNode(number, nodes_[number].incarnation,
             [this, number] { nodes_[number].coordinator->Resign(now_); });
      After(fault.length / 2, [this, number] { EndNode(number); });
      After(fault.length, [this, number] { StartNode(number); });
      return;
    case FaultKind::kNodeFrozen:
      nodes_[number].frozen_until = now_ + fault.length;
      After(fault.length, [this, number] { Thaw(number); });
      return;
    default:
      break;
  }
  Backend* const backend = services_.at(fault.service)[number].get();
  if (fault.kind == FaultKind::kBackendKilled) {
    EndBackend(backend);
    After(fault.length, [this, backend] { StartBackend(backend); });
  } else if (fault.kind == FaultKind::kBackendFrozen) {
    backend->state.frozen_until = now_ + fault.length;
    After(kRowLapse, [this, backend] { List(backend, now_ >= backend->state.frozen_until); });
    After(fault.length, [this, backend] { List(backend, true); });
  } else {
    backend->state.draining = true;
    backend->draining_since = now_;
    TellCatalogToAll();
    After(fault.length, [this, backend] {
      backend->state.draining = false;
      backend->draining_since = absl::InfiniteFuture();
      TellCatalogToAll();
    });
  }
}

void Replayer::StartBackend(Backend* backend) {
  ownership::ModelBackend& state = backend->state;
  state.id = absl::StrCat(state.service, "-", state.address.port, ".", ++backend->starts);
  state.held = {};
  state.up = true;
  List(backend, true);
}

void Replayer::EndBackend(Backend* backend) {
  backend->state.up = false;
  After(kRowLapse, [this, backend] { List(backend, backend->state.up); });
}

void Replayer::List(Backend* backend, bool listed) {
  backend->state.listed = listed;
  TellCatalogToAll();
}

void Replayer::Try(const Request& request) {
  const auto service = map_.services.find(request.service);
  if (now_ > map_until_ || service == map_.services.end()) {
    TryAgain(request, kRetryDelay);
    return;
  }
  const auto& moving = service->second.moving;
  const bool is_moving = std::any_of(moving.begin(), moving.end(), [&](const KeyRange& range) {
    return range.Contains(request.key);
  });
  const ownership::Assignment* const assignment =
      ownership::FindAssignment(service->second.assignments, request.key);
  Backend* const owner = assignment == nullptr ? nullptr : BackendWithId(assignment->owner);
  if (is_moving || owner == nullptr || !owner->state.up) {
    TryAgain(request, kRetryDelay);
    return;
  }
  if (now_ < owner->state.frozen_until) {
    TryAgain(request, kSilence);
    return;
  }
  if (owner->state.Holds(request.key, now_)) {
    After(kWorkTime, [this, request, owner] { End(request, owner); });
    return;
  }
  if (Node* const holder = Holder()) {
    holder->coordinator->OnNotOwner(request.service, request.key, now_);
    Drain(static_cast<size_t>(holder - nodes_.data()));
  }
  TryAgain(request, kRetryDelay);
}

void Replayer::TryAgain(const Request& request, Duration delay) {
  if (now_ + delay > request.first_try + kPatience) {
    End(request, nullptr);
    return;
  }
  After(delay, [this, request] { Try(request); });
}

void Replayer::End(const Request& request, Backend* server) {
  const Duration taken = now_ - request.first_try;
  outcome_.unavailable = std::max(outcome_.unavailable, taken - kWorkTime);
  if (server == nullptr) {
    return;
  }
  ++server->served;
  outcome_.in_time += taken <= kInTime ? 1 : 0;
  if (now_ - kWorkTime > server->draining_since + kDrainBound) {
    outcome_.violations.push_back(absl::StrCat(server->state.id, " got work while it left"));
  }
}

void Replayer::Publish(const ownership::OwnershipMap& map) {
  if (map.version < map_.version) {
    return;
  }
  for (const auto& [service, ownership] : map.services) {
    const auto before = map_.services.find(service);
    if (before != map_.services.end()) {
      CountChurn(service, before->second.assignments, ownership.assignments);
    }
  }
  map_ = map;
}

void Replayer::CountChurn(const std::string& /*service*/, const ownership::Assignments& before,
                          const ownership::Assignments& after) {
  for (const ownership::Assignment& now : after) {
    for (const ownership::Assignment& earlier : before) {
      const Key first = std::max(now.range.first, earlier.range.first);
      const Key last = std::min(now.range.last, earlier.range.last);
      if (first <= last && !earlier.owner.empty() && earlier.owner != now.owner) {
        outcome_.churn += (last - first + 1) / kKeys;
      }
    }
  }
}

/// No other back end holds any of the keys, and no fence of another was as high.
void Replayer::CheckGrant(const ownership::ModelBackend& backend, const KeyRange& range,
                          ownership::Fence fence) {
  for (const auto& other : services_.at(backend.service)) {
    if (&other->state == &backend || !other->state.up) {
      continue;
    }
    other->state.held.ForEach(range, [&](const KeyRange& keys, const ownership::HeldKeys& held) {
      if (held.HeldAt(now_)) {
        outcome_.violations.push_back(
            absl::StrCat("two owners of ", keys.first, ": ", other->state.id, " and ", backend.id));
      }
    });
  }
  highest_[backend.service].Update(range, [&](Highest& highest) {
    if (highest.owner != backend.id && highest.fence >= fence) {
      outcome_.violations.push_back(absl::StrCat("the fence of ", backend.id, " did not rise"));
    }
    highest = {std::max(highest.fence, fence), backend.id};
  });
}

void Replayer::CountImbalance() {
  for (const auto& [service, backends] : services_) {
    double sum = 0;
    double most = 0;
    for (const auto& backend : backends) {
      const auto served = static_cast<double>(backend->served);
      sum += served;
      most = std::max(most, served);
    }
    if (sum > 0) {
      const double mean = sum / static_cast<double>(backends.size());
      outcome_.imbalance = std::max(outcome_.imbalance, most / mean);
    }
  }
}

Replayer::Backend* Replayer::BackendAt(const Endpoint& address) {
  for (auto& [service, backends] : services_) {
    for (const auto& backend : backends) {
      if (backend->state.address == address) {
        return backend.get();
      }
    }
  }
  return nullptr;
}

Replayer::Backend* Replayer::BackendWithId(const std::string& id) {
  for (auto& [service, backends] : services_) {
    for (const auto& backend : backends) {
      if (backend->state.id == id) {
        return backend.get();
      }
    }
  }
  return nullptr;
}

}  // namespace ladderstream::replay
