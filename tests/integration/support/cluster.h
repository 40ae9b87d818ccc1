// A whole deployment of real processes for one test: platform, nodes, back ends, and the fault
// proxy between them.
//
// Links of the fault proxy: "peer-NODE" (other nodes to that node), "lease-NODE" (back ends to it),
// "backend-ID" (nodes to that back end). Processes of zone number i (from 0) connect from
// 127.0.i+1.1 where they choose a source address: nodes towards nodes, back ends towards nodes.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "rehearsal/judge.h"
#include "rehearsal/load_generator.h"
#include "rehearsal/process_group.h"
#include "support/operator_client.h"

namespace ladderstream::integration {

inline constexpr char kScripts[] = "scripts";
inline constexpr char kCallbacks[] = "callbacks";
inline constexpr char kRead[] = "read";
inline constexpr char kBook[] = "book";
inline constexpr char kScriptKeys[] = "script/";
inline constexpr char kCallbackKeys[] = "callback/";

struct ClusterOptions {
  uint32_t zones = 3;
  /// Of the service routed by key; one per zone in turn.
  uint32_t script_backends = 3;
  /// Of the service routed by load.
  uint32_t callback_backends = 2;
  double service_time_ms = 2;
};

struct NodePlace {
  std::string name;
  std::string zone;
  /// Where other nodes reach it: a link of the fault proxy.
  Endpoint peer;
  Endpoint peer_listen;
  Endpoint http;
  Endpoint operators;
  Endpoint metrics;
  /// Where back ends reach it: a link of the fault proxy.
  Endpoint lease;
};

struct BackendPlace {
  std::string id;
  std::string service;
  std::string zone;
  Endpoint listen;
  /// Where nodes reach it: a link of the fault proxy.
  Endpoint proxied;
};

/// Used from the thread that made it alone. Waiting functions throw std::runtime_error when what
/// they wait for does not come.
class Cluster {
 public:
  /// Starts everything and returns once every range of the keyed service has an owner.
  explicit Cluster(const ClusterOptions& options = {});
  ~Cluster();

  rehearsal::ProcessGroup& processes() { return processes_; }
  const std::vector<NodePlace>& nodes() const { return nodes_; }
  const std::vector<BackendPlace>& backends() const { return backends_; }
  const NodePlace& node(const std::string& name) const;
  const BackendPlace& backend(const std::string& id) const;
  OperatorClient& operators(const std::string& node);
  /// Of the first node that runs and is not stopped by this test.
  OperatorClient& operators();

  /// Notes that a node does not answer now, so that questions go to others.
  void Avoid(const std::string& node) { avoided_.insert(node); }
  void StopAvoiding(const std::string& node) { avoided_.erase(node); }

  /// The leader that the nodes not avoided agree on; waits for one that is not avoided.
  std::string WaitForLeader();
  /// The owner of `key` of the keyed service, empty when it has none.
  std::string OwnerOf(const std::string& key);
  /// Waits until every range is owned by a back end out of `allowed`.
  void WaitUntilOwnedBy(const std::vector<std::string>& allowed);
  /// A key of the keyed service that `backend` owns.
  std::string KeyOwnedBy(const std::string& backend);
  /// The ids of the keyed service's back ends, without `left_out`.
  std::vector<std::string> ScriptBackends(const std::string& left_out = "") const;

  void SetStore(const nlohmann::json& change);
  nlohmann::json StoreState();
  void SetFaults(const std::string& link, const nlohmann::json& faults,
                 const std::string& from = "");
  /// Cuts the zone's nodes and back ends off from all other zones, both ways. Callers reach every
  /// node as before.
  void CutZone(const std::string& zone);
  /// Ends all faults of the proxy.
  void Heal();
  void SetBackend(const std::string& id, const nlohmann::json& change);

  void StartNode(const NodePlace& place);
  void StartBackend(const BackendPlace& place);
  void WaitUntilReady(const NodePlace& place);

  /// What the back ends recorded up to now.
  rehearsal::BackendRecord ReadRecords() const;
  rehearsal::Verdict Judge(const rehearsal::CallerLog& calls) const;

 private:
  void PlaceNodes();
  void PlaceBackends();
  void StartProxy();
  void StartPlatform();
  void DeclareServices();
  void WaitUntilAllOwned();
  std::string BackendFlagNodes() const;
  static std::string ZoneName(uint32_t index);
  std::string SourceOf(const std::string& zone) const;

  ClusterOptions options_;
  rehearsal::ProcessGroup processes_;
  std::vector<NodePlace> nodes_;
  std::vector<BackendPlace> backends_;
  Endpoint table_;
  Endpoint objects_;
  Endpoint machines_;
  Endpoint platform_control_;
  Endpoint proxy_control_;
  std::set<std::string> avoided_;
  std::map<std::string, std::unique_ptr<OperatorClient>> operators_;
};

/// Waits for `condition`; throws std::runtime_error naming `what` when `timeout` passes first.
void Await(const std::string& what, const std::function<bool()>& condition,
           absl::Duration timeout = absl::Seconds(15));

}  // namespace ladderstream::integration
