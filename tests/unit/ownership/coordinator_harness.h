// Runs a coordinator against a model store and back ends that answer at once, or not at all, as the
// test configures.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ownership/coordinator.h"
#include "model_store.h"
#include "scripted_partitioner.h"

namespace ladderstream::ownership {

template <typename Sent>
struct At {
  Time at;
  Sent sent;
};

class Harness {
 public:
  /// `port` identifies the machine: a process restarted on the same machine keeps its port.
  Harness(ModelStore* store, uint64_t incarnation, uint16_t port, Time now,
          const CoordinatorSettings& settings = {});

  /// Registers these back ends of the service kService, those of another service, and no others.
  void Register(const std::vector<std::string>& ids,
                const std::map<std::string, Endpoint>& of_another_service = {});
  /// Registers exactly these back ends, all of kService.
  void RegisterBackends(const std::vector<catalog::Backend>& backends);
  /// Advances the time by `duration` and delivers every wake-up on time.
  void Run(Duration duration);
  /// Registers these back ends and runs until each of them has been granted its keys.
  void Settle(const std::vector<std::string>& ids);
  /// Executes the pending actions of the coordinator.
  void Drain();

  /// Returns the grants sent at or after `since`.
  std::vector<At<GrantAction>> GrantsSince(Time since) const;
  const std::string& OwnerOf(Key key) const;
  bool IsMoving(Key key) const;
  /// Returns whether the coordinator reported this state change.
  bool Reported(const std::string& event) const;

  static constexpr char kService[] = "boards";

  CoordinatorSettings settings;
  ModelStore* store;
  Time now;
  Coordinator coordinator;
  /// The back ends last passed to the coordinator.
  catalog::BackendSet registered;
  /// The store executes calls and answers them.
  bool store_answers = true;
  /// The store refuses every transaction at once.
  bool store_refuses = false;
  /// The store executes transactions, but their answers are lost.
  bool store_loses_answers = false;
  /// Back ends that leave orders unanswered.
  std::set<std::string> unresponsive;
  /// Back ends whose addresses refuse connections.
  std::set<std::string> unreachable;
  /// Back ends at whose addresses other instances answer.
  std::set<std::string> replaced;
  /// Addresses at which other instances answer, whichever back end an order is for.
  std::set<std::string> foreign_hosts;

  std::vector<At<GrantAction>> grants;
  std::vector<At<ReleaseAction>> releases;
  std::vector<At<CommitAction>> commits;
  size_t reads = 0;
  std::vector<At<StateChangeAction>> state_changes;
  OwnershipMap published;

 private:
  void Order(CallId call, const std::string& backend, const Endpoint& address,
             const std::string& handover);
};

}  // namespace ladderstream::ownership
