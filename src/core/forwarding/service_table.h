// All services and back ends that this node knows, kept in step with the registrations.
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

/// What one service's requests share. Outlives its registrations.
struct ServiceState {
  explicit ServiceState(const DispatcherSettings& settings) : admission(settings.admission_floor) {}

  std::string name;
  load::ServiceAverages averages;
  allowance::RetryBudget budget;
  load::LoadCounter load;
  admission::WaitQueue waiting;
  admission::ServiceAdmission admission;
  /// What was last told of its level, and when.
  uint32_t reported_level = admission::ServiceAdmission::kNoLevel;
  Time level_reported_at = absl::InfinitePast();
  std::vector<BackendStatePtr> backends;
};

class ServiceTable {
 public:
  /// `settings` must outlive the table.
  explicit ServiceTable(const DispatcherSettings& settings) : settings_(settings) {}

  /// See Dispatcher::ChangeBackends.
  void ChangeBackends(const catalog::BackendChanges& changes, const RegistrationNews& news,
                      Time now);

  /// The back end itself said that it is cold for `time_left` from now on.
  void RecordCold(Duration time_left, BackendState& state, Time now);
  /// The back end itself asked this node to send it nothing for `time` from now on.
  void RecordBackoff(Duration time, BackendState& state, Time now);
  /// The back end itself said that it is about to end.
  void RecordLeaving(BackendState& state, Time now);
  /// The state of a service, made when it is not known yet. Stays where it is.
  ServiceState& Service(const std::string& name);
  /// Null when no such service is known.
  const ServiceState* FindService(const std::string& name) const;
  /// Null when no such back end is known; also finds those that disappeared a short time ago.
  BackendStatePtr FindBackend(const std::string& id) const;

  std::vector<ServiceState*> Services();
  /// Back ends looked at by all changes of registrations so far.
  uint64_t registrations_examined() const { return registrations_examined_; }
  std::vector<BackendBelief> TakeBeliefs();
  void AddStateChange(const BackendState& backend, std::string event, std::string detail);
  /// Tells when another rank of the service begins to be turned away; not with every wave.
  void RecordAdmissionLevel(ServiceState& service, Time now);

 private:
  BackendStatePtr Register(const catalog::Backend& backend);
  /// `backend` proves that earlier incarnations of it have ended.
  void EndEarlierIncarnations(const catalog::Backend& backend);
  void Update(const catalog::Backend& backend, const RegistrationNews& news, BackendState& state,
              Time now);
  /// `may_have_expired`: so many went at once that the store may have lost them by mistake.
  void MarkDeregistered(const RegistrationNews& news, bool may_have_expired, BackendState& state,
                        Time now);
  /// Puts the new ones into the lists of their services.
  void List(const std::vector<BackendStatePtr>& added);
  /// Drops back ends that disappeared long ago.
  void RemoveExpired(Time now);
  /// When a back end that is gone is forgotten.
  static Time RetainedUntil(const BackendState& state);
  void Remove(const BackendStatePtr& state);
  /// Takes it out of its service's list.
  void Unlist(const BackendStatePtr& state);

  const DispatcherSettings& settings_;
  absl::flat_hash_map<std::string, std::unique_ptr<ServiceState>> services_;
  absl::flat_hash_map<std::string, BackendStatePtr> backends_;
  /// The incarnations in `backends_` of each back end, by the name that it gives itself.
  absl::flat_hash_map<std::string, std::vector<BackendStatePtr>> incarnations_;
  size_t registered_count_ = 0;
  /// Those in `backends_` that are not registered, by when to look whether they are forgotten;
  /// some also that are registered again.
  std::multimap<Time, BackendStatePtr> deregistered_;
  std::vector<BackendBelief> state_changes_;
  uint64_t registrations_examined_ = 0;
};

}  // namespace ladderstream::forwarding
