#include "core/forwarding/backend_choice.h"

#include <algorithm>
#include <utility>

namespace ladderstream::forwarding {
namespace {

/// Back ends whose cost exceeds the minimum by at most this share are considered equally good.
constexpr double kTieShare = 0.1;
/// At most this share of the usable back ends, but at least one, stays ejected for failing
/// requests. If more fail, the network path or the requests are the more likely cause. Deployments
/// are sized to survive the loss of one of three zones, so two thirds of the back ends can carry
/// the full load.
constexpr double kMaxEjectedShare = 1.0 / 3;
/// Cost of a failure in service times: the request is sent once more and has often used up its
/// time. With 2 instead of 1, recovered back ends got 0.05 instead of 0.08 of the requests, where
/// 0.14 is their fair share, and faulty ones got 75 instead of 92 of 6,700 requests (replay of the
/// unit test ill_back_end, 14 back ends, 20 seeds).
constexpr double kFailureCost = 1;

bool Contains(const std::vector<BackendStatePtr>& backends, const BackendStatePtr& backend) {
  return std::find(backends.begin(), backends.end(), backend) != backends.end();
}

}  // namespace

/// Results of one scan over all back ends, apart from the candidates.
struct LeastWaitChoice::Scan {
  size_t usable = 0;
  size_t failed = 0;
  std::vector<const BackendStatePtr*> suspects;
  /// The one whose ejection as unreachable ends first, and the one that stops being full first.
  const BackendStatePtr* unreachable = nullptr;
  const BackendStatePtr* full = nullptr;
  const BackendStatePtr* cold = nullptr;
  /// The one whose back-off ends first.
  const BackendStatePtr* in_backoff = nullptr;
  /// The rate-limited one for which this node can request a permit first.
  const BackendStatePtr* limited = nullptr;
  Time limited_until = absl::InfiniteFuture();
  /// A rate-limited one for which this node holds a permit.
  const BackendStatePtr* permitted = nullptr;
};

bool MaySendWhileCold(const BackendState& backend, const allowance::ColdSenders& senders,
                      Time now) {
  const catalog::Backend& registration = backend.registration;
  return !registration.BoundedByCold(now) ||
         (now >= backend.next_cold_send && senders.IsSender(registration.id, now));
}

Choice LeastWaitChoice::Choose(const ChoiceContext& context) {
  candidates_.clear();
  Scan scan;
  for (const BackendStatePtr& backend : context.service.backends) {
    Examine(backend, context, scan);
  }
  ReadmitSuspects(scan, context.now);
  if (candidates_.empty() && scan.full == nullptr) {
    for (const BackendStatePtr* suspect : scan.suspects) {
      AddCandidate(*suspect, context.now);
    }
    if (candidates_.empty() && scan.unreachable != nullptr) {
      AddCandidate(*scan.unreachable, context.now);
    }
  }
  if (candidates_.empty()) {
    return Explain(scan);
  }
  Choice choice;
  // Request a permit in advance, so that the rate of the back end is used; its next answer also
  // shows when its limit has ended. A permit already held is used first because it would soon
  // expire.
  choice.request_permit_for = scan.limited == nullptr ? nullptr : *scan.limited;
  choice.backend = scan.permitted == nullptr ? Draw() : *scan.permitted;
  choice.expected_wait = choice.backend->load.ExpectedWait(context.now);
  return choice;
}

void LeastWaitChoice::Examine(const BackendStatePtr& backend, const ChoiceContext& context,
                              Scan& scan) {
  if (!backend->UsableForAny(context.now)) {
    return;
  }
  if (!MaySendWhileCold(*backend, cold_senders_, context.now)) {
    scan.cold = &backend;
    return;
  }
  // Check the back-off before all ejections, so that readmitting ejected back ends never selects
  // one that asked this node to back off.
  if (backend->InBackoff(context.now)) {
    if (scan.in_backoff == nullptr || backend->backoff_until < (*scan.in_backoff)->backoff_until) {
      scan.in_backoff = &backend;
    }
    return;
  }
  if (!rates_.Allows(backend->registration.id, context.now)) {
    const Time again = rates_.TryAgain(backend->registration.id, context.now);
    if (again < scan.limited_until) {
      scan.limited_until = again;
      scan.limited = &backend;
    }
    return;
  }
  ++scan.usable;
  if (Contains(context.failed, backend)) {
    ++scan.failed;
    return;
  }
  if (backend->outlier.Unreachable(context.now)) {
    if (scan.unreachable == nullptr ||
        backend->outlier.unreachable_until() < (*scan.unreachable)->outlier.unreachable_until()) {
      scan.unreachable = &backend;
    }
    return;
  }
  if (backend->load.Full(context.now)) {
    if (scan.full == nullptr || backend->load.full_until() < (*scan.full)->load.full_until()) {
      scan.full = &backend;
    }
    return;
  }
  if (backend->outlier.Suspect(context.now)) {
    scan.suspects.push_back(&backend);
    return;
  }
  if (rates_.IsLimited(backend->registration.id)) {
    scan.permitted = &backend;
  }
  AddCandidate(backend, context.now);
}

void LeastWaitChoice::ReadmitSuspects(Scan& scan, Time now) {
  const auto share = static_cast<size_t>(kMaxEjectedShare * static_cast<double>(scan.usable));
  const size_t max_ejected = std::max<size_t>(share, 1);
  if (scan.suspects.size() <= max_ejected) {
    return;
  }
  std::sort(scan.suspects.begin(), scan.suspects.end(),
            [now](const BackendStatePtr* a, const BackendStatePtr* b) {
              return (*a)->outlier.FailureOdds(now) > (*b)->outlier.FailureOdds(now);
            });
  for (size_t i = max_ejected; i < scan.suspects.size(); ++i) {
    AddCandidate(*scan.suspects[i], now);
  }
  scan.suspects.resize(max_ejected);
}

void LeastWaitChoice::AddCandidate(const BackendStatePtr& backend, Time now) {
  const Duration service_time = backend->load.ServiceTime(now);
  Duration cost = service_time + backend->load.ExpectedWait(now);
  // The cost is proportional to the failure odds: a back end that fails half of its requests is
  // used when the queues of the others cost more.
  cost += kFailureCost * backend->outlier.FailureOdds(now) * service_time;
  if (backend->registration.zone != settings_.zone) {
    cost += settings_.remote_zone_cost * service_time;
  }
  candidates_.push_back({cost, &backend});
}

const BackendStatePtr& LeastWaitChoice::Draw() {
  const auto by_cost = [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; };
  const Duration min_cost = std::min_element(candidates_.begin(), candidates_.end(), by_cost)->cost;
  const Duration tie = min_cost * (1 + kTieShare);
  const auto others =
      std::partition(candidates_.begin(), candidates_.end(),
                     [tie](const Candidate& candidate) { return candidate.cost <= tie; });
  const auto good = static_cast<uint64_t>(std::distance(candidates_.begin(), others));
  return *candidates_[random_() % good].backend;
}

Choice LeastWaitChoice::Explain(const Scan& scan) const {
  Choice choice;
  if (scan.full != nullptr) {
    choice.unavailable_reason = UnavailableReason::kAllFull;
    choice.blocking_backend = *scan.full;
    choice.retry_at = choice.blocking_backend->load.full_until();
    choice.transient = true;
    return choice;
  }
  if (scan.limited != nullptr) {
    choice.unavailable_reason = UnavailableReason::kAllLimited;
    choice.blocking_backend = *scan.limited;
    choice.request_permit_for = choice.blocking_backend;
    choice.limit = rates_.limits().Find(choice.blocking_backend->registration.id);
    choice.retry_at = scan.limited_until;
    choice.transient = true;
    return choice;
  }
  if (scan.in_backoff != nullptr) {
    choice.unavailable_reason = UnavailableReason::kAllInBackoff;
    choice.blocking_backend = *scan.in_backoff;
    choice.retry_at = choice.blocking_backend->backoff_until;
    choice.transient = true;
    return choice;
  }
  if (scan.cold != nullptr) {
    choice.unavailable_reason = UnavailableReason::kAllCold;
    choice.blocking_backend = *scan.cold;
    return choice;
  }
  choice.unavailable_reason =
      scan.failed > 0 ? UnavailableReason::kAllTried : UnavailableReason::kNoBackend;
  choice.transient = scan.failed == 0;
  return choice;
}

Choice OverloadGuard::Choose(const ChoiceContext& context) {
  Choice choice = inner_.Choose(context);
  if (choice.backend == nullptr || !choice.backend->load.KnownBusy(context.now) ||
      choice.expected_wait < context.start_by - context.now) {
    return choice;
  }
  choice.unavailable_reason = UnavailableReason::kOverloaded;
  choice.blocking_backend = std::exchange(choice.backend, nullptr);
  return choice;
}

}  // namespace ladderstream::forwarding
