#include "daemon/router/gate_registry.h"

#include <algorithm>
#include <memory>

namespace ladderstream {
namespace {

constexpr Duration kShortestPeriod = absl::Milliseconds(1);

}  // namespace

GateRegistry::GateRegistry(const GateSettings& settings, const TimeSource& time, NodeId self)
    : settings_(settings), time_(time), self_(self), deadlines_(time), taken_(time.Now()) {}

bool GateRegistry::IsHere(const routing::BackendRoute& backend) const {
  return backend.home != nullptr && backend.home->id == self_;
}

upstream::GateLimits GateRegistry::LimitsOf(const routing::RouteTable& table,
                                            const routing::BackendRoute& backend,
                                            Time created) const {
  const BackendConfiguration& configuration = *backend.configuration;
  const routing::ServiceRoute* service = table.FindService(configuration.service);
  const bool handover = time_.Now() - created < settings_.handover_period;
  upstream::GateLimits limits;
  limits.slots = std::max(1U, configuration.slots);
  limits.max_queue = service == nullptr ? 0 : service->configuration->limits.max_queue;
  limits.max_connections = std::max(1U, configuration.max_connections / (handover ? 2 : 1));
  return limits;
}

upstream::BackendGatePtr GateRegistry::Find(const routing::RouteTable& table, const BackendId& id) {
  const routing::BackendRoute* backend = table.FindBackend(id);
  if (backend == nullptr || !IsHere(*backend)) {
    return nullptr;
  }
  {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = entries_.find(id);
    const bool usable = found != entries_.end() && !found->second.handed_over &&
                        found->second.gate->endpoint() == backend->configuration->endpoint;
    if (usable) {
      return found->second.gate;
    }
  }
  return Create(table, *backend);
}

upstream::BackendGatePtr GateRegistry::Create(const routing::RouteTable& table,
                                              const routing::BackendRoute& backend) {
  const BackendConfiguration& configuration = *backend.configuration;
  const absl::MutexLock lock(&mutex_);
  Entry& entry = entries_[configuration.id];
  if (entry.gate == nullptr || entry.gate->endpoint() != configuration.endpoint) {
    entry.created = time_.Now();
    entry.gate = std::make_shared<upstream::BackendGate>(
        configuration.endpoint, LimitsOf(table, backend, entry.created), settings_.connection,
        time_, deadlines_, cancels_);
  }
  if (entry.handed_over) {
    entry.handed_over = false;
    entry.created = time_.Now();
    entry.gate->SetLimits(LimitsOf(table, backend, entry.created));
  }
  return entry.gate;
}

void GateRegistry::Update(const routing::RouteTable& table) {
  const absl::MutexLock lock(&mutex_);
  for (auto& [id, entry] : entries_) {
    const routing::BackendRoute* backend = table.FindBackend(id);
    entry.handed_over = backend == nullptr || !IsHere(*backend);
    if (entry.handed_over) {
      entry.gate->CloseIdle(absl::ZeroDuration());
    } else {
      entry.gate->SetLimits(LimitsOf(table, *backend, entry.created));
      entry.gate->CloseIdle(settings_.idle_connection_timeout);
    }
  }
}

std::vector<BackendLoad> GateRegistry::TakeLoads() {
  const absl::MutexLock lock(&mutex_);
  const Time now = time_.Now();
  const double seconds = absl::ToDoubleSeconds(std::max(kShortestPeriod, now - taken_));
  taken_ = now;
  std::vector<BackendLoad> loads;
  for (auto& [id, entry] : entries_) {
    const upstream::GateCounts counts = entry.gate->TakeCounts();
    if (entry.handed_over && counts.answered + counts.failed + counts.running == 0) {
      continue;
    }
    BackendLoad load;
    load.backend = id;
    load.rate = static_cast<double>(counts.answered) / seconds;
    load.in_flight = counts.running;
    load.queued = counts.waiting;
    load.failure_rate = static_cast<double>(counts.failed) / seconds;
    loads.push_back(load);
  }
  // A gate in use is kept by its requests until they are finished.
  absl::erase_if(entries_, [](const auto& item) {
    return item.second.handed_over && item.second.gate.use_count() == 1;
  });
  return loads;
}

}  // namespace ladderstream
