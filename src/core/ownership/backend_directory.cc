#include "core/ownership/backend_directory.h"

#include <algorithm>

#include "core/catalog/incarnation_id.h"
#include "wire/exponential_decay.h"

namespace ladderstream::ownership {
namespace {

/// Consecutive failures needed to regard a back end as unresponsive. Fewer may be chance or a pause
/// of this process.
constexpr uint32_t kUnresponsiveFailures = 3;

/// How long an unresponsive back end is assigned no keys. Doubles each time that it becomes
/// unresponsive again without an answer in between.
constexpr Duration kMinExclusion = absl::Seconds(3);
constexpr Duration kMaxExclusion = absl::Seconds(30);

/// Time constant of the decay of back-off and answer counts; spans a few reports.
constexpr Duration kDeclinedDecay = absl::Seconds(3);
/// A single back-off may be chance, and so may a few among many answers.
constexpr double kMinDeclinedToAvoid = 1.5;
constexpr double kMinDeclinedShare = 0.25;
/// The avoidance time doubles while a back end keeps declining, because every change of owner has a
/// cost. The last avoidance is disregarded one minute after it ended.
constexpr Duration kMinAvoidance = absl::Seconds(5);
constexpr Duration kMaxAvoidance = absl::Minutes(1);
constexpr Duration kRepeatedAvoidanceWindow = absl::Minutes(1);
/// If more of a service's back ends decline, or all are overloaded, moving keys only moves the
/// overload. Deployments are sized for the loss of one of three zones.
constexpr double kMaxAvoidedShare = 1.0 / 3;

/// When a whole service starts or stops having limits, its back ends report this one after the
/// other, and keys would move from those that have reported to those that are about to. Limits are
/// used after kLimitsSettle without such a change, and at the latest kMaxLimitsSettle after the
/// first one.
constexpr Duration kLimitsSettle = absl::Seconds(1);
constexpr Duration kMaxLimitsSettle = absl::Seconds(3);

/// A service whose back ends all leave orders unanswered for longer is taken as lost. Longer than
/// network paths are usually cut, as moving the keys then costs them their owners once more.
constexpr Duration kMaxUnreached = absl::Seconds(15);

/// With fewer back ends, no conclusion is drawn from most of them being unresponsive.
constexpr size_t kMinForMajority = 3;

void DecayCounts(KnownBackend* backend, Time now) {
  const double remaining = ExponentialDecay(now - backend->counted_at, kDeclinedDecay);
  backend->declined *= remaining;
  backend->served *= remaining;
  backend->counted_at = now;
}

}  // namespace

BackendDirectory::BackendDirectory(const CoordinatorSettings& settings) : settings_(settings) {}

void BackendDirectory::UpdateSharing(const std::set<std::string>& at_address) {
  for (const std::string& id : at_address) {
    backends_.at(id).shares_address = at_address.size() > 1;
  }
}

void BackendDirectory::AddToIndexes(const std::string& id, const KnownBackend& known) {
  std::set<std::string>& at_address = by_address_[known.address];
  at_address.insert(id);
  UpdateSharing(at_address);
  by_instance_[std::string(catalog::InstanceOf(id))].insert(id);
}

void BackendDirectory::RemoveFromIndexes(const std::string& id, const KnownBackend& known) {
  const auto erase = [&id](auto* index, const auto& key) {
    const auto entry = index->find(key);
    if (entry != index->end() && entry->second.erase(id) > 0 && entry->second.empty()) {
      index->erase(entry);
    }
  };
  erase(&by_address_, known.address);
  erase(&by_instance_, catalog::InstanceOf(id));
  const auto at_address = by_address_.find(known.address);
  if (at_address != by_address_.end()) {
    UpdateSharing(at_address->second);
  }
}

void BackendDirectory::Count(const KnownBackend& known, int by) {
  if (!known.registered || known.ended) {
    return;
  }
  ServiceCounts& counts = counts_[known.service];
  counts.registered += static_cast<size_t>(by);
  counts.unresponsive += known.unresponsive ? static_cast<size_t>(by) : 0;
}

void BackendDirectory::SetUnresponsive(KnownBackend* known, bool unresponsive) {
  Count(*known, -1);
  known->unresponsive = unresponsive;
  Count(*known, 1);
}

RegistrationChanges BackendDirectory::Update(const catalog::BackendChanges& changes,
                                             const std::set<std::string>& sharded, Time now) {
  RegistrationChanges found;
  for (const catalog::Backend& backend : changes.set) {
    if (!IsRegistered(backend.id)) {
      FindReplaced(backend, &found.replaced);
    }
  }
  for (const std::string& id : changes.gone) {
    const auto known = backends_.find(id);
    if (known != backends_.end() && known->second.registered) {
      found.any = found.any || sharded.contains(known->second.service);
      Count(known->second, -1);
      known->second.registered = false;
      --registered_count_;
    }
  }
  for (const catalog::Backend& backend : changes.set) {
    const auto [place, is_new] = backends_.try_emplace(backend.id);
    KnownBackend& known = place->second;
    const bool differs = is_new || !known.registered || known.leaving != backend.Leaves();
    found.any = found.any || (differs && sharded.contains(backend.service));
    if (!is_new) {
      RemoveFromIndexes(backend.id, known);
    }
    if (!known.registered) {
      known.registered_at = now;
      WithdrawEnd(backend.id, &known);
    }
    Count(known, -1);
    registered_count_ += known.registered ? 0 : 1;
    known.service = backend.service;
    known.address = backend.address;
    known.zone = backend.zone;
    known.slots = backend.slots;
    known.registered = true;
    known.leaving = backend.Leaves();
    known.cold_until = backend.cold_until;
    known.bounded_by_cold = backend.cold_requests_per_second > 0;
    Count(known, 1);
    AddToIndexes(backend.id, known);
  }
  return found;
}

void BackendDirectory::AddOwner(const std::string& id, const std::string& service,
                                const Endpoint& address) {
  const auto [place, is_new] = backends_.try_emplace(id);
  KnownBackend& known = place->second;
  known.granted_at = known.granted_at.value_or(address);
  if (!is_new && !known.service.empty()) {
    return;
  }
  if (!is_new) {
    RemoveFromIndexes(id, known);
  }
  known.service = service;
  known.address = address;
  AddToIndexes(id, known);
}

void BackendDirectory::PruneUnregistered(const std::set<std::string>& needed) {
  for (auto entry = backends_.begin(); entry != backends_.end();) {
    const auto& [id, known] = *entry;
    if (known.registered || needed.contains(id)) {
      ++entry;
      continue;
    }
    RemoveFromIndexes(id, known);
    failing_.erase(id);
    questioned_.erase(id);
    ended_.erase(id);
    entry = backends_.erase(entry);
  }
}

BackendDirectory::AnswerEffects BackendDirectory::RecordAnswer(const std::string& id,
                                                               const Endpoint& address, Time sent) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return {};
  }
  KnownBackend& known = found->second;
  ServiceCounts& counts = counts_[known.service];
  counts.answered_sent = std::max(counts.answered_sent, sent);
  counts.reported_unreached = false;
  AnswerEffects effects;
  effects.was_unresponsive = known.unresponsive;
  effects.end_withdrawn = known.ended && sent > known.end_observed;
  if (effects.end_withdrawn) {
    WithdrawEnd(id, &known);
  }
  known.answered_sent = std::max(known.answered_sent, sent);
  known.granted_at = address;
  effects.question_answered = known.questioned && sent >= known.questioned_at;
  if (effects.question_answered) {
    EndQuestion(id, &known);
  }
  known.failures = 0;
  known.only_refused = true;
  known.failing_since = absl::InfiniteFuture();
  if (effects.was_unresponsive) {
    SetUnresponsive(&known, false);
  }
  known.exclusion = absl::ZeroDuration();
  failing_.erase(id);
  return effects;
}

void BackendDirectory::RecordFailure(const std::string& id, bool refused, Time sent, Time now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  KnownBackend& known = found->second;
  ++known.failures;
  known.only_refused = known.only_refused && refused;
  // Time in which this process was paused does not count against the back end.
  const Time noticed = std::max(sent, now - settings_.order_timeout);
  known.failing_since = std::min(known.failing_since, noticed);
  failing_.insert(id);
}

bool BackendDirectory::RecordDeclined(const std::string& id, Duration backoff, Time now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return false;
  }
  KnownBackend& known = found->second;
  DecayCounts(&known, now);
  known.declined += 1;
  if (now < known.avoided_until || known.declined < kMinDeclinedToAvoid ||
      known.declined < kMinDeclinedShare * known.served) {
    return false;
  }
  const bool again = now - known.avoided_until < kRepeatedAvoidanceWindow;
  known.avoidance = std::clamp(again ? std::max(backoff, 2 * known.avoidance) : backoff,
                               kMinAvoidance, kMaxAvoidance);
  known.avoided_until = now + known.avoidance;
  return true;
}

bool BackendDirectory::HaveSettled(const LimitChanges& changes, Time now) {
  return now - changes.last >= kLimitsSettle || now - changes.first >= kMaxLimitsSettle;
}

void BackendDirectory::SetRateLimits(const std::map<std::string, double>& limits, Time now) {
  if (limits.empty() && !any_limited_ && limit_changes_.empty()) {
    return;
  }
  any_limited_ = !limits.empty();
  for (auto& [id, known] : backends_) {
    const auto limit = limits.find(id);
    const auto reported = limit == limits.end() ? std::nullopt : std::optional(limit->second);
    if (reported.has_value() != known.reported_limit.has_value()) {
      LimitChanges& changes = limit_changes_[known.service];
      changes.first = std::min(changes.first, now);
      changes.last = now;
    }
    known.reported_limit = reported;
  }
  for (auto& [id, known] : backends_) {
    const auto changes = limit_changes_.find(known.service);
    const bool settled = changes == limit_changes_.end() || HaveSettled(changes->second, now);
    if (settled || (known.rate_limit.has_value() && known.reported_limit.has_value())) {
      known.rate_limit = known.reported_limit;
    }
  }
  std::erase_if(limit_changes_,
                [now](const auto& entry) { return HaveSettled(entry.second, now); });
}

void BackendDirectory::RecordServed(const std::string& id, uint32_t answers, Time now) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    DecayCounts(&found->second, now);
    found->second.served += answers;
  }
}

bool BackendDirectory::IsAvoided(const KnownBackend& backend, Time now) const {
  if (now >= backend.avoided_until) {
    return false;
  }
  size_t accepting = 0;
  size_t avoided = 0;
  for (const auto& [id, known] : backends_) {
    if (known.service == backend.service && Accepts(id)) {
      ++accepting;
      avoided += now < known.avoided_until ? 1 : 0;
    }
  }
  return static_cast<double>(avoided) <= kMaxAvoidedShare * static_cast<double>(accepting);
}

void BackendDirectory::RecordUnansweredRelease(const std::string& id, Time now) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.unresponsive) {
    found->second.excluded_until =
        std::max(found->second.excluded_until, now + found->second.exclusion);
  }
}

std::vector<std::string> BackendDirectory::TakeNewlyUnresponsive(Time now) {
  std::vector<std::string> newly_unresponsive;
  std::erase_if(failing_, [&](const std::string& id) {
    KnownBackend& known = backends_.at(id);
    if (known.unresponsive && now >= known.excluded_until) {
      SetUnresponsive(&known, false);
      known.failures = 0;
      known.only_refused = true;
      known.failing_since = absl::InfiniteFuture();
      return true;
    }
    if (known.unresponsive || now < UnresponsiveAt(known)) {
      return false;
    }
    if (MayBeUnreached(known, now)) {
      if (!std::exchange(counts_[known.service].reported_unreached, true)) {
        unreached_.push_back(known.service);
      }
      return false;
    }
    SetUnresponsive(&known, true);
    known.exclusion = std::clamp(known.exclusion * 2, kMinExclusion, kMaxExclusion);
    known.excluded_until = now + known.exclusion;
    newly_unresponsive.push_back(id);
    return false;
  });
  return newly_unresponsive;
}

Time BackendDirectory::UnresponsiveAt(const KnownBackend& suspect) const {
  if (suspect.failures < kUnresponsiveFailures) {
    return absl::InfiniteFuture();
  }
  return suspect.failing_since + (suspect.only_refused ? settings_.connection_refused_timeout
                                                       : settings_.unresponsive_timeout);
}

bool BackendDirectory::MayBeUnreached(const KnownBackend& suspect, Time now) const {
  const auto counts = counts_.find(suspect.service);
  const bool answered =
      counts != counts_.end() && counts->second.answered_sent > suspect.failing_since;
  if (answered || now - suspect.failing_since >= kMaxUnreached) {
    return false;
  }
  const auto fails = [&](const std::string& id) {
    const KnownBackend& known = backends_.at(id);
    return &known != &suspect && known.service == suspect.service && known.registered &&
           !known.ended && known.failures > 0;
  };
  return std::any_of(failing_.begin(), failing_.end(), fails);
}

Time BackendDirectory::NextUnresponsiveCheck(Time now) const {
  Time next = absl::InfiniteFuture();
  for (const std::string& id : failing_) {
    const KnownBackend& known = backends_.at(id);
    const Time due = known.unresponsive ? known.excluded_until : UnresponsiveAt(known);
    if (due > now) {
      next = std::min(next, due);
    }
  }
  return next;
}

const KnownBackend* BackendDirectory::Find(const std::string& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

bool BackendDirectory::IsRegistered(const std::string& id) const {
  const KnownBackend* known = Find(id);
  return known != nullptr && known->registered;
}

bool BackendDirectory::HasEnded(const std::string& id) const {
  const KnownBackend* known = Find(id);
  return known != nullptr && known->ended;
}

bool BackendDirectory::Accepts(const std::string& id) const {
  const KnownBackend* known = Find(id);
  return known != nullptr && known->registered && !known->leaving && !known->ended &&
         !known->unresponsive && !IsAddressHeld(id, *known);
}

bool BackendDirectory::Keeps(const std::string& id) const {
  const KnownBackend* known = Find(id);
  return known != nullptr && known->registered && !known->leaving && !known->ended &&
         !(known->unresponsive && !MostAreUnresponsive(known->service));
}

bool BackendDirectory::AnyAccepts(const std::string& service) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second.service == service && Accepts(entry.first);
  });
}

bool BackendDirectory::AnyWarmAccepts(const std::string& service, Time now) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    return entry.second.service == service && Accepts(entry.first) &&
           !IsBoundedByCold(entry.second, now);
  });
}

bool BackendDirectory::MostAreUnresponsive(const std::string& service) const {
  const auto counts = counts_.find(service);
  return counts != counts_.end() && counts->second.registered >= kMinForMajority &&
         counts->second.unresponsive * 2 > counts->second.registered;
}

std::vector<partition::PartitionBackend> BackendDirectory::ForPartitioner(
    const std::string& service, const std::set<std::string>& owners, Time now) const {
  std::vector<partition::PartitionBackend> backends;
  // No other back end can serve an owner's keys, so while the owner is cold most requests for them
  // are refused.
  const bool avoid_cold = AnyWarmAccepts(service, now);
  for (const auto& [id, known] : backends_) {
    if (known.service != service || (!known.registered && !owners.contains(id))) {
      continue;
    }
    partition::PartitionBackend backend;
    backend.id = id;
    backend.zone = known.zone;
    backend.slots = known.slots;
    backend.rate_limit = known.rate_limit;
    const bool avoided = (avoid_cold && IsBoundedByCold(known, now)) || IsAvoided(known, now);
    backend.accepts = Accepts(id) && !avoided;
    backend.keeps = Keeps(id) && !avoided;
    backend.cold_left = std::max(known.cold_until - now, absl::ZeroDuration());
    backends.push_back(std::move(backend));
  }
  return backends;
}

}  // namespace ladderstream::ownership
