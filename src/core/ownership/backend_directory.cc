#include "core/ownership/backend_directory.h"

#include <algorithm>

#include "core/catalog/incarnation_id.h"
#include "wire/exponential_decay.h"

namespace ladderstream::ownership {
namespace {

/// Fewer failures in a row than this may be chance, or a pause of this process.
constexpr uint32_t kSilentFailures = 3;

/// How long a silent back end gets no keys; doubled each time that it turns silent again without an
/// answer between.
constexpr Duration kFirstDistrust = absl::Seconds(3);
constexpr Duration kLastDistrust = absl::Seconds(30);

/// Counts of rests and answers fade with this time constant: that of the reports of a few turns.
constexpr Duration kDeclinedMemory = absl::Seconds(3);
/// One rest may be chance; so may be some beside so many answers.
constexpr double kDeclinedToAvoid = 1.5;
constexpr double kDeclinedShare = 0.25;
/// A back end that goes on declining gets no keys for twice as long each time, as every change of
/// owner is paid for; a minute after it was given some again that is forgotten.
constexpr Duration kShortestAvoidance = absl::Seconds(5);
constexpr Duration kLongestAvoidance = absl::Minutes(1);
constexpr Duration kForgetAvoidance = absl::Minutes(1);
/// Where more of a service are ill, or all are overloaded, moving keys only moves the trouble:
/// deployments are made to bear the loss of one zone of three.
constexpr double kMostAvoided = 1.0 / 3;

/// Where a whole service comes to have limits, or to have none any more, its back ends say so one
/// after the other: keys would go from those that did to those that are about to. Limits are taken
/// up when none came or went for kLimitsSettle, and kLimitsTakenUp after the first at the latest.
constexpr Duration kLimitsSettle = absl::Seconds(1);
constexpr Duration kLimitsTakenUp = absl::Seconds(3);

/// Back ends that have gone are forgotten only above this many: the row of one that is known may
/// come back late without passing for a newcomer at its address.
constexpr size_t kMostRemembered = 2048;

/// With fewer back ends, nothing is concluded from most of them being silent.
constexpr size_t kFewestForMajority = 3;

void FadeCounts(KnownBackend* backend, Time now) {
  const double left = ExponentialDecay(now - backend->counted_at, kDeclinedMemory);
  backend->declined *= left;
  backend->served *= left;
  backend->counted_at = now;
}

}  // namespace

BackendDirectory::BackendDirectory(const CoordinatorSettings& settings) : settings_(settings) {}

RegistrationChanges BackendDirectory::Update(const std::vector<catalog::Backend>& backends,
                                             const std::set<std::string>& sharded) {
  std::map<Endpoint, std::string> newcomers;
  std::map<std::string_view, const catalog::Backend*> started;
  std::set<std::string> registered;
  for (const catalog::Backend& backend : backends) {
    registered.insert(backend.id);
    if (!backends_.contains(backend.id)) {
      newcomers[backend.address] = backend.id;
      started[catalog::InstanceOf(backend.id)] = &backend;
    }
  }
  RegistrationChanges changes;
  for (auto& [id, known] : backends_) {
    const bool is_registered = registered.contains(id);
    changes.any =
        changes.any || (known.registered != is_registered && sharded.contains(known.service));
    known.registered = is_registered;
    const std::string_view instance = catalog::InstanceOf(id);
    const auto newcomer = newcomers.find(known.address);
    const bool replaced =
        newcomer != newcomers.end() && catalog::InstanceOf(newcomer->second) != instance;
    const auto again = started.find(instance);
    // An old row may be read late: only a later start proves that an earlier one ended.
    const bool moved = again != started.end() && again->second->address != known.address &&
                       catalog::StartOf(again->second->id) > catalog::StartOf(id);
    if (!known.ended && (replaced || moved)) {
      known.ended = true;
      changes.ended.push_back(id);
    }
  }
  for (const catalog::Backend& backend : backends) {
    const auto [place, is_new] = backends_.try_emplace(backend.id);
    KnownBackend& known = place->second;
    const bool differs = is_new || known.leaving != backend.Leaves();
    changes.any = changes.any || (differs && sharded.contains(backend.service));
    known.service = backend.service;
    known.address = backend.address;
    known.zone = backend.zone;
    known.slots = backend.slots;
    known.registered = true;
    known.leaving = backend.Leaves();
    known.cold_until = backend.cold_until;
    known.bounded_by_cold = backend.cold_requests_per_second > 0;
  }
  return changes;
}

void BackendDirectory::Remember(const std::string& id, const std::string& service,
                                const Endpoint& address) {
  const auto [place, is_new] = backends_.try_emplace(id);
  if (is_new || place->second.service.empty()) {
    place->second.service = service;
    place->second.address = address;
  }
}

void BackendDirectory::ForgetUnneeded(const std::set<std::string>& needed) {
  if (backends_.size() <= kMostRemembered) {
    return;
  }
  std::erase_if(backends_, [&](const auto& entry) {
    const auto& [id, known] = entry;
    return !known.registered && !needed.contains(id);
  });
}

void BackendDirectory::MarkEnded(const std::string& id) { backends_[id].ended = true; }

bool BackendDirectory::RecordAnswer(const std::string& id) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return false;
  }
  KnownBackend& known = found->second;
  const bool was_silent = known.silent;
  known.failures = 0;
  known.only_refused = true;
  known.failing_since = absl::InfiniteFuture();
  known.silent = false;
  known.distrust = absl::ZeroDuration();
  return was_silent;
}

void BackendDirectory::RecordFailure(const std::string& id, bool refused, Time sent, Time now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  KnownBackend& known = found->second;
  ++known.failures;
  known.only_refused = known.only_refused && refused;
  // A pause of this process is no silence of the back end.
  const Time noticed = std::max(sent, now - settings_.order_timeout);
  known.failing_since = std::min(known.failing_since, noticed);
}

bool BackendDirectory::RecordDeclined(const std::string& id, Duration rest, Time now) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return false;
  }
  KnownBackend& known = found->second;
  FadeCounts(&known, now);
  known.declined += 1;
  if (now < known.avoided_until || known.declined < kDeclinedToAvoid ||
      known.declined < kDeclinedShare * known.served) {
    return false;
  }
  const bool again = now - known.avoided_until < kForgetAvoidance;
  known.avoidance = std::clamp(again ? std::max(rest, 2 * known.avoidance) : rest,
                               kShortestAvoidance, kLongestAvoidance);
  known.avoided_until = now + known.avoidance;
  return true;
}

bool BackendDirectory::HaveSettled(const LimitChanges& changes, Time now) {
  return now - changes.last >= kLimitsSettle || now - changes.first >= kLimitsTakenUp;
}

void BackendDirectory::SetRateLimits(const std::map<std::string, double>& limits, Time now) {
  for (auto& [id, known] : backends_) {
    const auto limit = limits.find(id);
    const auto told = limit == limits.end() ? std::nullopt : std::optional(limit->second);
    if (told.has_value() != known.told_limit.has_value()) {
      LimitChanges& changes = limit_changes_[known.service];
      changes.first = std::min(changes.first, now);
      changes.last = now;
    }
    known.told_limit = told;
  }
  for (auto& [id, known] : backends_) {
    const auto changes = limit_changes_.find(known.service);
    const bool settled = changes == limit_changes_.end() || HaveSettled(changes->second, now);
    if (settled || (known.rate_limit.has_value() && known.told_limit.has_value())) {
      known.rate_limit = known.told_limit;
    }
  }
  std::erase_if(limit_changes_,
                [now](const auto& entry) { return HaveSettled(entry.second, now); });
}

void BackendDirectory::RecordServed(const std::string& id, uint32_t answers, Time now) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    FadeCounts(&found->second, now);
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
  return static_cast<double>(avoided) <= kMostAvoided * static_cast<double>(accepting);
}

void BackendDirectory::RecordUnansweredRelease(const std::string& id, Time now) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.silent) {
    found->second.distrusted_until =
        std::max(found->second.distrusted_until, now + found->second.distrust);
  }
}

std::vector<std::string> BackendDirectory::TakeSilent(Time now) {
  std::vector<std::string> turned_silent;
  for (auto& [id, known] : backends_) {
    if (known.silent && now >= known.distrusted_until) {
      known.silent = false;
      known.failures = 0;
      known.only_refused = true;
      known.failing_since = absl::InfiniteFuture();
    }
    const Duration patience =
        known.only_refused ? settings_.refusal_patience : settings_.silence_patience;
    if (known.silent || known.failures < kSilentFailures || now - known.failing_since < patience) {
      continue;
    }
    known.silent = true;
    known.distrust = std::clamp(known.distrust * 2, kFirstDistrust, kLastDistrust);
    known.distrusted_until = now + known.distrust;
    turned_silent.push_back(id);
  }
  return turned_silent;
}

Time BackendDirectory::NextSilence() const {
  Time next = absl::InfiniteFuture();
  for (const auto& [id, known] : backends_) {
    if (known.silent) {
      next = std::min(next, known.distrusted_until);
    } else if (known.failures >= kSilentFailures) {
      next =
          std::min(next, known.failing_since + (known.only_refused ? settings_.refusal_patience
                                                                   : settings_.silence_patience));
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
         !known->silent;
}

bool BackendDirectory::Keeps(const std::string& id) const {
  const KnownBackend* known = Find(id);
  return known != nullptr && known->registered && !known->leaving && !known->ended &&
         !(known->silent && !MostAreSilent(known->service));
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

bool BackendDirectory::MostAreSilent(const std::string& service) const {
  size_t registered = 0;
  size_t silent = 0;
  for (const auto& [id, known] : backends_) {
    if (known.service == service && known.registered && !known.ended) {
      ++registered;
      silent += known.silent ? 1 : 0;
    }
  }
  return registered >= kFewestForMajority && silent * 2 > registered;
}

std::vector<partition::PartitionBackend> BackendDirectory::ForPartitioner(
    const std::string& service, const std::set<std::string>& owners, Time now) const {
  std::vector<partition::PartitionBackend> backends;
  // An owner has no substitute: while it is cold, most requests for its keys are refused.
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
