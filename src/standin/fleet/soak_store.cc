#include "standin/fleet/soak_store.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace ladderstream::fleet {
namespace {

/// Of the calls.
constexpr double kShare = 0.3;
constexpr double kSlowdown = 60;
/// Watches hear nothing for this long before the store forgets its history.
constexpr Duration kCompaction = absl::Seconds(1);
/// Of the nodes, those that the store turns away.
constexpr size_t kRefusedOneIn = 3;

}  // namespace

void StoreFaultInjector::Strike(const SoakFault& fault) {
  const size_t node = fault.target % node_count_;
  switch (fault.kind) {
    case FaultKind::kStoreForgets:
      fleet_->DisturbFor(absl::ZeroDuration(), std::nullopt, DisturbanceKind::kStoreUnstable);
      fleet_->store().ForgetHistory();
      break;
    case FaultKind::kStoreCompacts:
      fleet_->DisturbFor(kCompaction, std::nullopt, DisturbanceKind::kStoreUnstable);
      fleet_->store().Compact(kCompaction);
      break;
    case FaultKind::kStoreConnectionsSilent:
      fleet_->DisturbFor(absl::ZeroDuration(), node);
      fleet_->store().SilenceWatchesAt(node);
      break;
    case FaultKind::kStoreRefusesSome:
      RefuseSome(fault);
      break;
    default:
      StrikeFor(fault, FaultsOf(fault.kind));
  }
}

void StoreFaultInjector::RefuseSome(const SoakFault& fault) {
  constexpr StoreOutage kOutages[] = {StoreOutage::kSilent, StoreOutage::kReset,
                                      StoreOutage::kUnavailable, StoreOutage::kThrottled};
  const StoreFaults faults = {.outage = kOutages[fault.target % std::size(kOutages)]};
  const size_t count = std::max<size_t>(1, node_count_ / kRefusedOneIn);
  for (size_t i = 0; i < count; ++i) {
    const size_t node = (fault.target + i * kRefusedOneIn) % node_count_;
    fleet_->DisturbFor(fault.lasts, node);
    fleet_->store().SetFaultsAt(node, faults);
    later_(fault.lasts, [this, node] { fleet_->store().SetFaultsAt(node, {}); });
  }
}

void StoreFaultInjector::StrikeFor(const SoakFault& fault, const StoreFaults& faults) {
  if (fault.kind == FaultKind::kStoreSilentForOne) {
    const size_t node = fault.target % node_count_;
    fleet_->DisturbFor(fault.lasts, node);
    fleet_->store().SetFaultsAt(node, faults);
    later_(fault.lasts, [this, node] { fleet_->store().SetFaultsAt(node, {}); });
  } else {
    fleet_->DisturbFor(fault.lasts, std::nullopt, DisturbanceKind::kStoreFailing);
    fleet_->store().SetFaults(faults);
    later_(fault.lasts, [this] { fleet_->store().SetFaults({}); });
  }
}

StoreFaults StoreFaultInjector::FaultsOf(FaultKind kind) {
  StoreFaults faults;
  switch (kind) {
    case FaultKind::kStoreUnavailable:
      faults.outage = StoreOutage::kUnavailable;
      break;
    case FaultKind::kStoreSlow:
      faults.slowdown = kSlowdown;
      break;
    case FaultKind::kStoreLosesAnswers:
      faults.lost_answers = kShare;
      break;
    case FaultKind::kStoreWritesLate:
      faults.late_writes = kShare;
      break;
    default:
      faults.outage = StoreOutage::kSilent;
  }
  return faults;
}

}  // namespace ladderstream::fleet
