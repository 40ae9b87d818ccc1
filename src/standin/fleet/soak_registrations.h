// The faults of a soak that write registrations of back ends that do not run.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "standin/fleet/fleet.h"
#include "standin/fleet/soak_schedule.h"

namespace ladderstream::fleet {

class RegistrationFaultInjector {
 public:
  /// Runs a step after a delay, unless all faults have ended by then.
  using Later = std::function<void(Duration delay, std::function<void()> step)>;

  /// `fleet` outlives the injector.
  RegistrationFaultInjector(Fleet* fleet, Later later) : fleet_(fleet), later_(std::move(later)) {}

  /// Strikes the back end that the fault's target chooses. Without effect when it would be the last
  /// of its service.
  void Strike(const SoakFault& fault);
  /// Removes all registrations of back ends that do not run.
  void Heal();

 private:
  /// The back end crashes and another one starts at its address; a heartbeat from before the crash
  /// takes effect in the store when the fault has lasted.
  void WriteLate(Backend* backend, const SoakFault& fault);
  /// Another writer's row shows the address of the back end for as long as the fault lasts.
  void WriteForeign(const Backend& backend, const SoakFault& fault);
  void Put(const std::string& id, const std::string& value);
  void Remove(const std::string& id);

  Fleet* fleet_;
  Later later_;
  uint64_t last_foreign_ = 0;
  /// Ids of the rows written and not yet removed.
  std::set<std::string> written_;
};

}  // namespace ladderstream::fleet
