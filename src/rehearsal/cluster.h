// A deployment as running processes: platform stand-ins, nodes, back ends, and the operators' tool.
//
// Used on one thread, as its ProcessGroup is. Errors are thrown as Error.
#pragma once

#include <absl/time/time.h>

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "rehearsal/deployment_spec.h"
#include "rehearsal/judge.h"
#include "rehearsal/operator_client.h"
#include "rehearsal/process_group.h"
#include "wire/identifiers.h"

namespace ladderstream::rehearsal {

struct ClusterSettings {
  /// Where the programs are.
  std::filesystem::path binaries;
  DeploymentSpec deployment;
  uint32_t nodes_per_zone = 1;
  /// Seeds the back ends' service times.
  uint64_t seed = 1;
  /// Delays between callers and nodes, by a fault proxy.
  bool caller_delays = true;
};

class Cluster {
 public:
  explicit Cluster(const ClusterSettings& settings);

  /// Starts the platform and the nodes and waits until they answer.
  void StartNodes();
  /// Declares services and back ends through the operators' tool.
  void Declare();
  /// Starts the back ends and waits until they answer. Back ends that come before they are declared
  /// are admitted one by one as the declaration proceeds, and the first gets every key.
  void StartBackends();
  /// Waits until every service answers on every node, and every back end of a keyed service holds
  /// a grant.
  void WaitUntilServing(absl::Duration timeout);

  /// Where callers go.
  std::vector<Endpoint> CallerEndpoints() const;
  std::vector<std::string> NodeNames() const;
  /// Of the services of that kind of routing.
  std::vector<std::string> BackendNames(RoutingKind routing) const;
  Endpoint BackendEndpoint(const std::string& backend) const;

  ProcessGroup& processes() { return processes_; }
  OperatorClient& operators() { return operators_; }

  /// The back end that served a read of `key` just now. Throws Error(kNoOwner) when none did.
  std::string OwnerOf(const std::string& service, const std::string& key);

  /// Changes a setting of the platform's table service; see standin_platform.
  void ControlTable(const std::string& json_change);

  /// Judges by: from here on `backend` takes part in its service's load, or no longer does.
  void NotePresent(const std::string& backend);
  void NoteAbsent(const std::string& backend);
  /// Judges by: `backend` was told to leave now, and some seconds later gets no new work.
  void NoteLeaving(const std::string& backend);
  void NoteStaying(const std::string& backend);

  /// Ends all processes. A planned stop of all at once would wait for successors that never come.
  void End();

  /// What is known after End: the back ends' records, with presence and leaving.
  Evidence CollectEvidence(CallerLog calls);

 private:
  struct Node {
    std::string name;
    std::string zone;
    Endpoint peer;
    Endpoint http;
    Endpoint operators;
    Endpoint metrics;
    /// The delaying proxy before `http`, if there is one.
    Endpoint callers;
  };
  struct Backend {
    std::string name;
    std::string zone;
    Endpoint endpoint;
    const ServiceSpec* service = nullptr;
  };

  void StartPlatform();
  void StartNode(const Node& node);
  void StartBackend(const Backend& backend);
  void StartCallerProxy();
  std::string NodeSettings(const Node& node) const;
  std::string NodesFor(const Backend& backend) const;
  const Backend& FindBackend(const std::string& name) const;
  std::string Program(const std::string& name) const;
  void Await(const std::string& what, const std::function<bool()>& condition,
             absl::Duration timeout);
  bool ServiceAnswers(const Node& node, const ServiceSpec& service);
  bool HoldsGrants(const Backend& backend) const;
  void ClosePresence(const std::string& backend, absl::Time until);

  const ClusterSettings settings_;
  ProcessGroup processes_;
  Endpoint table_;
  Endpoint objects_;
  Endpoint machines_;
  Endpoint platform_control_;
  std::vector<Node> nodes_;
  std::vector<Backend> backends_;
  OperatorClient operators_;
  std::map<std::string, Presence> present_;
  std::vector<Presence> past_presence_;
  std::map<std::string, Leaving> leaving_;
  std::vector<Leaving> past_leaving_;
  uint64_t checks_ = 0;
};

}  // namespace ladderstream::rehearsal
