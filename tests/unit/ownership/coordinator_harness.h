// A coordinator with a store and back ends that answer at once, or not at all, as the test says.
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
  /// `port` tells machines apart: a process restarted on its machine has the same.
  Harness(ModelStore* store, uint64_t incarnation, uint16_t port, Time now,
          const CoordinatorSettings& settings = {});

  /// Registers these back ends of the service kService, those of another service, and no others.
  void Register(const std::vector<std::string>& ids,
                const std::map<std::string, Endpoint>& of_another_service = {});
  /// The same with these back ends, all of kService.
  void RegisterBackends(const std::vector<catalog::Backend>& backends);
  /// Lets time pass, with every wake on time.
  void Run(Duration duration);
  /// Starts, and waits until every back end has been granted its keys.
  void Settle(const std::vector<std::string>& ids);
  /// Carries out what the coordinator wants now.
  void Drain();

  /// Those sent at or after `since`.
  std::vector<At<GrantAction>> GrantsSince(Time since) const;
  const std::string& OwnerOf(Key key) const;
  bool IsMoving(Key key) const;
  bool Reported(const std::string& event) const;

  static constexpr char kService[] = "boards";

  CoordinatorSettings settings;
  ModelStore* store;
  Time now;
  Coordinator coordinator;
  /// What the coordinator was told.
  catalog::BackendSet registered;
  /// The store takes calls and answers.
  bool store_answers = true;
  /// The store answers at once that it does nothing.
  bool store_refuses = false;
  /// The store takes transactions, and their answers are lost.
  bool store_loses_answers = false;
  /// These leave orders unanswered.
  std::set<std::string> unresponsive;
  /// Nothing listens at the address of these.
  std::set<std::string> unreachable;

  std::vector<At<GrantAction>> grants;
  std::vector<At<ReleaseAction>> releases;
  std::vector<At<CommitAction>> commits;
  size_t reads = 0;
  std::vector<At<StateChangeAction>> state_changes;
  OwnershipMap published;

 private:
  void Order(CallId call, const std::string& backend, const std::string& handover);
};

}  // namespace ladderstream::ownership
