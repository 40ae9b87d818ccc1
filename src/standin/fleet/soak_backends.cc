#include "standin/fleet/soak_backends.h"

#include <vector>

namespace ladderstream::fleet {
namespace {

/// Of requests, orders or answers.
constexpr double kShare = 0.3;
constexpr double kEndlessShare = 0.1;
constexpr Duration kEndlessPause = absl::Milliseconds(20);
/// Asked for with each refusal; over the times of ejections.
constexpr Duration kRest = absl::Seconds(3);
/// Requests a second; few enough that more is asked for.
constexpr double kLimit = 3;

}  // namespace

Backend* BackendFaultInjector::Pick(const SoakFault& fault) {
  const auto& services = fleet_->settings().services;
  std::vector<Backend*> backends = fleet_->backends(services[fault.target % services.size()].name);
  std::erase_if(backends, [](const Backend* backend) { return !backend->serving(); });
  return backends.size() < 2 ? nullptr : backends[fault.target % backends.size()];
}

void BackendFaultInjector::Strike(const SoakFault& fault) {
  Backend* const backend = Pick(fault);
  if (backend == nullptr) {
    return;
  }
  switch (fault.kind) {
    case FaultKind::kBackendCrashes:
      backend->Crash();
      later_(fault.lasts, [this, backend] { fleet_->Replace(*backend, backend->service()); });
      return;
    case FaultKind::kAddressReused:
      backend->Crash();
      later_(fault.lasts, [this, backend, &fault] {
        const auto& services = fleet_->settings().services;
        fleet_->Replace(*backend, services[(fault.target + 1) % services.size()].name);
        fleet_->AddBackend(backend->service(), backend->zone());
      });
      return;
    case FaultKind::kBackendFreezes:
      backend->Freeze();
      later_(fault.lasts, [backend] {
        if (!backend->ended()) {
          backend->Thaw();
        }
      });
      return;
    case FaultKind::kBackendDrains:
      backend->Drain(fleet_->settings().bounds.drain + fault.lasts, fault.target % 3 != 0);
      fleet_->AddBackend(backend->service(), backend->zone());
      return;
    case FaultKind::kBackendCutFromStore:
      backend->CutFromStore(true);
      later_(fault.lasts, [backend] { backend->CutFromStore(false); });
      return;
    default:
      backend->SetFaults(FaultsOf(fault));
      later_(fault.lasts, [backend] { backend->SetFaults({}); });
  }
}

BackendFaults BackendFaultInjector::FaultsOf(const SoakFault& fault) {
  BackendFaults faults;
  switch (fault.kind) {
    case FaultKind::kBackendRests:
      faults.turned_away = 1;
      faults.rest = kRest;
      break;
    case FaultKind::kBackendLimits:
      faults.limit = kLimit;
      break;
    case FaultKind::kOrdersLate:
      faults.late_orders = kShare;
      break;
    case FaultKind::kOrdersUnanswered:
      faults.unanswered_orders = kShare;
      break;
    case FaultKind::kAnswersLost:
      faults.lost_answers = kShare;
      faults.lost_by_reset = true;
      break;
    case FaultKind::kAnswersEndless:
      faults.endless_answers = kEndlessShare;
      faults.endless_pause = fault.target % 2 == 0 ? absl::ZeroDuration() : kEndlessPause;
      break;
    default:
      faults.cut_answers = kShare / 2;
      faults.surplus_answers = kShare / 2;
      faults.late_answers = kShare / 2;
  }
  return faults;
}

}  // namespace ladderstream::fleet
