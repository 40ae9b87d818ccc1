#include "simulation/fault_injector.h"

#include <utility>

namespace ladderstream::simulation {

void FaultInjector::Schedule(const FaultPlan& plan) {
  for (const Fault& fault : plan.faults) {
    After(fault.at, [this, fault] { Begin(fault); });
  }
}

void FaultInjector::After(Duration delay, std::function<void()> action) {
  cluster_.environment().At(cluster_.environment().now() + delay,
                            [this, action = std::move(action)] {
                              if (!ended_) {
                                action();
                              }
                            });
}

void FaultInjector::EndAll() {
  ended_ = true;
  for (const auto& [from, to] : std::exchange(active_, {})) {
    cluster_.environment().Heal(from, to);
  }
  cluster_.environment().SetQuiet();
  cluster_.table().SetCondition(StoreCondition::kUp);
  for (size_t i = 0; i < cluster_.node_count(); ++i) {
    cluster_.RestartNode(i);
  }
  for (size_t i = 0; i < cluster_.backend_count(); ++i) {
    cluster_.RestartBackend(i);
  }
}

void FaultInjector::Begin(const Fault& fault) {
  const size_t node = fault.at_leader ? cluster_.Leader().value_or(fault.target) : fault.target;
  switch (fault.kind) {
    case FaultKind::kPauseNode:
    case FaultKind::kPauseNodeAfterDecision:
    case FaultKind::kPauseBackend:
    case FaultKind::kPauseBackendAfterDecision:
      BeginPause(fault, node);
      break;
    case FaultKind::kCrashNode:
    case FaultKind::kCrashBackend:
      BeginCrash(fault, node);
      break;
    case FaultKind::kCutNode:
    case FaultKind::kCutNodeOneWay:
    case FaultKind::kPartitionNodes:
    case FaultKind::kCutBackend:
      CutFor(CutsOf(fault, node), fault.duration);
      break;
    default:
      BeginStoreFault(fault);
  }
}

void FaultInjector::BeginPause(const Fault& fault, size_t node) {
  Environment& environment = cluster_.environment();
  switch (fault.kind) {
    case FaultKind::kPauseNode:
      environment.Pause(cluster_.NodeHost(node), fault.duration);
      break;
    case FaultKind::kPauseNodeAfterDecision:
      environment.PauseAfterNextDecision(cluster_.NodeHost(node), fault.duration);
      break;
    case FaultKind::kPauseBackend:
      environment.Pause(cluster_.BackendHost(fault.target), fault.duration);
      break;
    default:
      environment.PauseAfterNextDecision(cluster_.BackendHost(fault.target), fault.duration);
  }
}

void FaultInjector::BeginCrash(const Fault& fault, size_t node) {
  if (fault.kind == FaultKind::kCrashNode) {
    cluster_.CrashNode(node);
    After(fault.duration, [this, node] { cluster_.RestartNode(node); });
  } else {
    cluster_.CrashBackend(fault.target);
    After(fault.duration, [this, target = fault.target] { cluster_.RestartBackend(target); });
  }
}

void FaultInjector::BeginStoreFault(const Fault& fault) {
  StoreCondition condition = StoreCondition::kRateLimited;
  if (fault.kind == FaultKind::kStoreDown) {
    condition = StoreCondition::kDown;
  } else if (fault.kind == FaultKind::kStoreAnswersLost) {
    condition = StoreCondition::kAnswersLost;
  }
  cluster_.table().SetCondition(condition);
  After(fault.duration, [this] { cluster_.table().SetCondition(StoreCondition::kUp); });
}

FaultInjector::Cuts FaultInjector::CutsOf(const Fault& fault, size_t node) const {
  Cuts cuts;
  const bool is_backend = fault.kind == FaultKind::kCutBackend;
  const HostId self = is_backend ? cluster_.BackendHost(fault.target) : cluster_.NodeHost(node);
  const size_t hosts = cluster_.node_count() + cluster_.backend_count();
  for (HostId other = 0; other < hosts; ++other) {
    if (fault.kind == FaultKind::kPartitionNodes) {
      for (HostId first = 0; first <= fault.target && other < cluster_.node_count(); ++first) {
        if (other > fault.target) {
          cuts.emplace_back(first, other);
          cuts.emplace_back(other, first);
        }
      }
    } else if (other != self) {
      cuts.emplace_back(self, other);
      if (fault.kind != FaultKind::kCutNodeOneWay) {
        cuts.emplace_back(other, self);
      }
    }
  }
  return cuts;
}

void FaultInjector::CutFor(const Cuts& cuts, Duration duration) {
  for (const auto& [from, to] : cuts) {
    cluster_.environment().Cut(from, to);
    active_.emplace_back(from, to);
  }
  After(duration, [this, cuts] {
    for (const auto& cut : cuts) {
      cluster_.environment().Heal(cut.first, cut.second);
      std::erase(active_, cut);
    }
  });
}

}  // namespace ladderstream::simulation
