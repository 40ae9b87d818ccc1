#include "core/forwarding/service_table.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

#include "core/catalog/incarnation_id.h"

namespace ladderstream::forwarding {
namespace {

/// A deregistered back end is removed after this time.
constexpr Duration kRetention = absl::Seconds(30);
/// A back end that announced its shutdown is retained for longer: its registration may reappear
/// after a long outage of the store, without the announcement.
constexpr Duration kLeavingRetention = absl::Minutes(10);
/// Upper bound on the time for a request to reach the chosen back end: latency between zones, plus
/// a margin for a retransmitted packet or a delayed event loop. A connection that is not
/// established by the time the back end may no longer be used carries no request.
constexpr Duration kTransitReserve = absl::Milliseconds(200);
/// An outage of the store lets nearly all registrations expire together; a release or a scale-in
/// removes a few at a time.
constexpr double kMassExpiryShare = 1.0 / 3;
/// Upper bound on a requested back-off, so that a wrong value (for example milliseconds sent as
/// seconds) does not disable the back end for good.
constexpr Duration kMaxBackoff = absl::Hours(1);
/// Minimum interval between reports of the admission level of a service.
constexpr Duration kLevelReportInterval = absl::Seconds(1);
/// Maximum number of state changes kept until the next TakeStateChanges; further ones are dropped.
constexpr size_t kMaxStateChanges = 1000;

/// Up to this many new back ends are inserted one by one; more are merged.
constexpr size_t kMaxSingleInserts = 16;

/// A path is probed after so many service times without an answer from any back end.
constexpr int kSilentServiceTimes = 2;
constexpr Duration kMinSilence = absl::Milliseconds(150);

const char* NameOfState(const catalog::Backend& backend) {
  if (backend.draining) {
    return "draining";
  }
  return backend.evacuated ? "evacuated" : "ready";
}

/// Returns the maximum age of the change, as text for the detail of a state change.
std::string AgeOf(const RegistrationUpdate& update, Time now) {
  const Duration age = now - update.changed_after;
  return age == absl::InfiniteDuration()
             ? ", time of the change unknown"
             : absl::StrCat(", at most ", absl::ToInt64Milliseconds(age), " ms ago");
}

bool ById(const BackendStatePtr& one, const BackendStatePtr& other) {
  return one->registration.id < other->registration.id;
}

void StopNewWork(Time usable_until, Time owner_usable_until, BackendState& state) {
  state.usable_until = std::min(state.usable_until, usable_until);
  state.owner_usable_until = std::min(state.owner_usable_until, owner_usable_until);
}

}  // namespace

Duration SilencePatience(const ServiceState& service) {
  return std::max(kSilentServiceTimes * service.averages.ServiceTime(), kMinSilence);
}

void ServiceTable::ChangeBackends(const catalog::BackendChanges& changes,
                                  const RegistrationUpdate& update, Time now) {
  const size_t registered_before = registered_count_;
  std::vector<BackendStatePtr> added;
  registrations_examined_ += changes.set.size() + changes.gone.size();
  for (const catalog::Backend& backend : changes.set) {
    const auto known = backends_.find(backend.id);
    if (known == backends_.end()) {
      added.push_back(Register(backend));
      continue;
    }
    const BackendStatePtr state = known->second;
    if (state->registration.service != backend.service) {
      Unlist(state);
      added.push_back(state);
    }
    Update(backend, update, *state, now);
  }
  const auto deregistered_count = static_cast<double>(changes.gone.size());
  const bool may_have_expired =
      update.store_troubled &&
      deregistered_count >= kMassExpiryShare * static_cast<double>(registered_before);
  for (const std::string& id : changes.gone) {
    const auto known = backends_.find(id);
    if (known != backends_.end() && known->second->registered) {
      MarkDeregistered(update, may_have_expired, *known->second, now);
      deregistered_.emplace(RetainedUntil(*known->second), known->second);
    }
  }
  List(added);
  RemoveExpired(now);
}

BackendStatePtr ServiceTable::Register(const catalog::Backend& backend) {
  auto state = std::make_shared<BackendState>(backend, Service(backend.service).averages);
  state->load.SetColdUntil(backend.cold_until);
  if (backend.Leaves()) {
    // The back end may have been leaving for a long time.
    state->usable_until = absl::InfinitePast();
    state->owner_usable_until = absl::InfinitePast();
  }
  AddStateChange(*state, "registered",
                 absl::StrCat(backend.service, " at ", FormatEndpoint(backend.address), ", ",
                              NameOfState(backend)));
  EndEarlierIncarnations(backend);
  incarnations_[std::string(catalog::InstanceOf(backend.id))].push_back(state);
  backends_.emplace(backend.id, state);
  ++registered_count_;
  return state;
}

void ServiceTable::EndEarlierIncarnations(const catalog::Backend& backend) {
  const auto known = incarnations_.find(std::string(catalog::InstanceOf(backend.id)));
  if (known == incarnations_.end()) {
    return;
  }
  registrations_examined_ += known->second.size();
  const uint64_t started = catalog::StartOf(backend.id);
  for (const BackendStatePtr& other : known->second) {
    // The row of an earlier incarnation may be read late.
    if (catalog::StartOf(other->registration.id) < started) {
      StopNewWork(absl::InfinitePast(), absl::InfinitePast(), *other);
      AddStateChange(*other, "ended", absl::StrCat(backend.id, " has replaced it"));
    }
  }
}

void ServiceTable::Update(const catalog::Backend& backend, const RegistrationUpdate& update,
                          BackendState& state, Time now) {
  catalog::Backend previous = std::exchange(state.registration, backend);
  // What the back end reported itself is more recent than its registration, which comes through the
  // store.
  const Time cold_until = std::max(backend.cold_until, state.reported_cold_until);
  state.registration.cold_until = cold_until;
  state.load.SetColdUntil(cold_until);
  if (state.registration.BoundedByCold(now) && !previous.BoundedByCold(now)) {
    AddStateChange(state, "cold", absl::StrCat("for ", absl::FormatDuration(cold_until - now)));
  }
  previous.cold_left = backend.cold_left;
  previous.cold_until = backend.cold_until;
  if (state.registered && previous == backend) {
    return;
  }
  const bool was_serving = state.registered && !previous.Leaves();
  registered_count_ += state.registered ? 0 : 1;
  state.registered = true;
  state.deregistered_at = absl::InfiniteFuture();
  state.load.SetSlots(backend.slots);
  state.outlier.Reset();
  if (!backend.Leaves()) {
    // A registration that is delayed, or that reappears after an outage of the store, does not
    // revoke what the back end itself has announced.
    if (!state.reported_leaving) {
      state.usable_until = absl::InfiniteFuture();
      state.owner_usable_until = absl::InfiniteFuture();
    }
    AddStateChange(state, was_serving ? "changed" : "returned", FormatEndpoint(backend.address));
    return;
  }
  // The grace times start on receipt of the update; the time of the change bounds them, so that a
  // late update does not extend them.
  if (backend.draining) {
    const Time last = update.changed_after + settings_.drain_time - kTransitReserve;
    StopNewWork(std::min(now + settings_.drain_grace, last),
                std::min(now + settings_.drain_serving, last), state);
    AddStateChange(state, "draining",
                   absl::StrCat("marked in its registration", AgeOf(update, now)));
  } else {
    const Time last = update.changed_after + settings_.evacuation_time - kTransitReserve;
    StopNewWork(now, std::min(now + settings_.evacuation_serving, last), state);
    AddStateChange(state, "evacuated", absl::StrCat(backend.zone, AgeOf(update, now)));
  }
}

void ServiceTable::RecordCold(Duration time_left, BackendState& state, Time now) {
  const Time until = now + time_left;
  state.reported_cold_until = std::max(state.reported_cold_until, until);
  if (until <= state.registration.cold_until) {
    return;
  }
  state.registration.cold_until = until;
  state.load.SetColdUntil(until);
  AddStateChange(
      state, "cold",
      absl::StrCat("for ", absl::FormatDuration(time_left), ", reported by the back end"));
}

void ServiceTable::RecordLeaving(BackendState& state, Time now) {
  if (std::exchange(state.reported_leaving, true)) {
    return;
  }
  const Time last = now + settings_.drain_time - kTransitReserve;
  StopNewWork(std::min(now + settings_.drain_grace, last),
              std::min(now + settings_.drain_serving, last), state);
  AddStateChange(state, "draining", "announced in its answers");
}

void ServiceTable::RecordBackoff(Duration time, BackendState& state, Time now) {
  const Time until = now + std::min(time, kMaxBackoff);
  if (until <= state.backoff_until) {
    return;
  }
  // Concurrent requests are answered with the same back-off; report it once.
  if (!state.InBackoff(now)) {
    AddStateChange(
        state, "resting",
        absl::StrCat("requested a back-off of ", absl::FormatDuration(time),
                     time > kMaxBackoff ? ", shortened to the maximum" : "", ", at ",
                     state.load.reported().running, " running and ", state.load.reported().waiting,
                     " waiting of ", state.load.slots(), " slots"));
  }
  state.backoff_until = until;
}

void ServiceTable::MarkDeregistered(const RegistrationUpdate& update, bool may_have_expired,
                                    BackendState& state, Time now) {
  state.registered = false;
  --registered_count_;
  state.deregistered_at = now;
  const Duration grace = update.store_troubled ? settings_.expiry_grace : settings_.drain_grace;
  const Time last = may_have_expired
                        ? absl::InfiniteFuture()
                        : update.changed_after + settings_.drain_time - kTransitReserve;
  StopNewWork(std::min(now + grace, last),
              std::min(now + std::max(settings_.drain_serving, grace), last), state);
  AddStateChange(state, "gone",
                 absl::StrCat("its registration disappeared",
                              update.store_troubled ? " while store calls were failing" : "",
                              AgeOf(update, now)));
}

void ServiceTable::List(const std::vector<BackendStatePtr>& added) {
  absl::flat_hash_map<std::string, std::vector<BackendStatePtr>> by_service;
  for (const BackendStatePtr& state : added) {
    by_service[state->registration.service].push_back(state);
  }
  for (auto& [name, fresh] : by_service) {
    std::vector<BackendStatePtr>& listed = Service(name).backends;
    std::sort(fresh.begin(), fresh.end(), ById);
    if (fresh.size() <= kMaxSingleInserts) {
      for (BackendStatePtr& state : fresh) {
        listed.insert(std::upper_bound(listed.begin(), listed.end(), state, ById), state);
      }
      continue;
    }
    const auto middle = static_cast<std::ptrdiff_t>(listed.size());
    listed.insert(listed.end(), fresh.begin(), fresh.end());
    std::inplace_merge(listed.begin(), listed.begin() + middle, listed.end(), ById);
  }
}

Time ServiceTable::RetainedUntil(const BackendState& state) {
  const Duration remembered = state.reported_leaving ? kLeavingRetention : kRetention;
  return std::max(state.deregistered_at + remembered, state.backoff_until);
}

void ServiceTable::RemoveExpired(Time now) {
  while (!deregistered_.empty() && deregistered_.begin()->first < now) {
    const BackendStatePtr state = deregistered_.begin()->second;
    deregistered_.erase(deregistered_.begin());
    ++registrations_examined_;
    if (state->registered) {
      continue;
    }
    const Time due = RetainedUntil(*state);
    if (due >= now) {
      deregistered_.emplace(due, state);
    } else if (FindBackend(state->registration.id) == state) {
      Remove(state);
    }
  }
}

void ServiceTable::Unlist(const BackendStatePtr& state) {
  std::vector<BackendStatePtr>& listed = Service(state->registration.service).backends;
  const auto place = std::lower_bound(listed.begin(), listed.end(), state, ById);
  if (place != listed.end() && *place == state) {
    listed.erase(place);
  }
}

void ServiceTable::Remove(const BackendStatePtr& state) {
  Unlist(state);
  const std::string id = state->registration.id;
  const auto known = incarnations_.find(std::string(catalog::InstanceOf(id)));
  if (known != incarnations_.end()) {
    std::erase(known->second, state);
    if (known->second.empty()) {
      incarnations_.erase(known);
    }
  }
  backends_.erase(id);
}

ServiceState& ServiceTable::Service(const std::string& name) {
  std::unique_ptr<ServiceState>& service = services_[name];
  if (service == nullptr) {
    service = std::make_unique<ServiceState>(settings_);
    service->name = name;
  }
  return *service;
}

const ServiceState* ServiceTable::FindService(const std::string& name) const {
  const auto service = services_.find(name);
  return service == services_.end() ? nullptr : service->second.get();
}

BackendStatePtr ServiceTable::FindBackend(const std::string& id) const {
  const auto backend = backends_.find(id);
  return backend == backends_.end() ? nullptr : backend->second;
}

bool ServiceTable::HasLaterIncarnation(const std::string& id) const {
  const auto known = incarnations_.find(std::string(catalog::InstanceOf(id)));
  return known != incarnations_.end() &&
         std::any_of(known->second.begin(), known->second.end(),
                     [started = catalog::StartOf(id)](const BackendStatePtr& other) {
                       return catalog::StartOf(other->registration.id) > started;
                     });
}

std::vector<ServiceState*> ServiceTable::Services() {
  std::vector<ServiceState*> services;
  services.reserve(services_.size());
  for (const auto& [name, service] : services_) {
    services.push_back(service.get());
  }
  return services;
}

std::vector<BackendStateChange> ServiceTable::TakeStateChanges() {
  return std::exchange(state_changes_, {});
}

void ServiceTable::RecordAdmissionLevel(ServiceState& service, Time now) {
  const uint32_t level = service.admission.level();
  if (level == service.reported_level || now - service.level_reported_at < kLevelReportInterval ||
      state_changes_.size() >= kMaxStateChanges) {
    return;
  }
  service.reported_level = level;
  service.level_reported_at = now;
  const bool limited = level != admission::ServiceAdmission::kNoLevel;
  std::string detail = absl::StrFormat("queueing delay %.0f ms",
                                       absl::ToDoubleMilliseconds(service.admission.Delay(now)));
  if (limited) {
    absl::StrAppendFormat(&detail, ", %.2f admitted, rank %u gets %.2f", service.admission.share(),
                          level, service.admission.ShareOf(level));
  }
  state_changes_.push_back({service.name, limited ? "limited" : "unlimited", std::move(detail)});
}

void ServiceTable::AddStateChange(const BackendState& backend, std::string event,
                                  std::string detail) {
  if (state_changes_.size() < kMaxStateChanges) {
    state_changes_.push_back({backend.registration.id, std::move(event), std::move(detail)});
  }
}

}  // namespace ladderstream::forwarding
