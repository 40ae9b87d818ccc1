// All services and back ends known to this node, updated with the registrations.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/admission/service_admission.h"
#include "core/admission/wait_queue.h"
#include "core/allowance/retry_budget.h"
#include "core/forwarding/backend_state.h"
#include "core/forwarding/dispatcher.h"
#include "core/load/load_counter.h"

namespace ladderstream::forwarding {

/// State shared by the requests of one service. Outlives the registrations of its back ends.
struct ServiceState {
  explicit ServiceState(const DispatcherSettings& settings) : admission(settings.admission_floor) {}

  std::string name;
  load::ServiceAverages averages;
  allowance::RetryBudget budget;
  load::LoadCounter load;
  admission::WaitQueue waiting;
  admission::ServiceAdmission admission;
  /// The admission level in the latest state change reported, and the time of that report.
  uint32_t reported_level = admission::ServiceAdmission::kNoLevel;
  Time level_reported_at = absl::InfinitePast();
  std::vector<BackendStatePtr> backends;
};

/// Returns how long nothing may be heard from a service's back ends before the path is probed.
Duration SilencePatience(const ServiceState& service);

class ServiceTable {
 public:
  /// `settings` must outlive the table.
  explicit ServiceTable(const DispatcherSettings& settings) : settings_(settings) {}

  /// See Dispatcher::ChangeBackends.
  void ChangeBackends(const catalog::BackendChanges& changes, const RegistrationUpdate& update,
                      Time now);

  /// Records that the back end itself reported being cold for `time_left` from now on.
  void RecordCold(Duration time_left, BackendState& state, Time now);
  /// Records that the back end itself asked this node to send it nothing for `time` from now on.
  void RecordBackoff(Duration time, BackendState& state, Time now);
  /// Records that the back end itself announced its shutdown.
  void RecordLeaving(BackendState& state, Time now);
  /// Returns the state of a service, which is created if it is unknown. The reference stays valid.
  ServiceState& Service(const std::string& name);
  /// Returns null when no such service is known.
  const ServiceState* FindService(const std::string& name) const;
  /// Returns null when no such back end is known. Also finds back ends deregistered a short time
  /// ago.
  BackendStatePtr FindBackend(const std::string& id) const;
  /// Whether a later process is registered under the instance name of `id`.
  bool HasLaterIncarnation(const std::string& id) const;

  std::vector<ServiceState*> Services();
  /// Returns the number of back ends examined by all registration changes so far.
  uint64_t registrations_examined() const { return registrations_examined_; }
  std::vector<BackendStateChange> TakeStateChanges();
  void AddStateChange(const BackendState& backend, std::string event, std::string detail);
  /// Reports a change of the path to a service, or to its back ends in one zone.
  void AddPathChange(const std::string& scope, std::string event, std::string detail) {
    state_changes_.push_back({scope, std::move(event), std::move(detail)});
  }
  /// Reports a change of the rank at which requests begin to be turned away. Rate-limited, so that
  /// not every wave of requests is reported.
  void RecordAdmissionLevel(ServiceState& service, Time now);

 private:
  BackendStatePtr Register(const catalog::Backend& backend);
  /// Sends no more requests to incarnations of `backend` that started earlier.
  void EndEarlierIncarnations(const catalog::Backend& backend);
  void Update(const catalog::Backend& backend, const RegistrationUpdate& update,
              BackendState& state, Time now);
  /// `may_have_expired` is true when so many registrations disappeared at once that the store may
  /// have lost them by mistake.
  void MarkDeregistered(const RegistrationUpdate& update, bool may_have_expired,
                        BackendState& state, Time now);
  /// Adds the new back ends to the lists of their services.
  void List(const std::vector<BackendStatePtr>& added);
  /// Removes back ends whose retention time has passed.
  void RemoveExpired(Time now);
  /// Returns the time until which a deregistered back end is retained.
  static Time RetainedUntil(const BackendState& state);
  void Remove(const BackendStatePtr& state);
  /// Removes the back end from the list of its service.
  void Unlist(const BackendStatePtr& state);

  const DispatcherSettings& settings_;
  absl::flat_hash_map<std::string, std::unique_ptr<ServiceState>> services_;
  absl::flat_hash_map<std::string, BackendStatePtr> backends_;
  /// The incarnations in `backends_` of each back end, keyed by the instance name that it chose.
  absl::flat_hash_map<std::string, std::vector<BackendStatePtr>> incarnations_;
  size_t registered_count_ = 0;
  /// The deregistered back ends in `backends_`, by the time of the next check for removal. May
  /// contain some that have registered again.
  std::multimap<Time, BackendStatePtr> deregistered_;
  std::vector<BackendStateChange> state_changes_;
  uint64_t registrations_examined_ = 0;
};

}  // namespace ladderstream::forwarding
