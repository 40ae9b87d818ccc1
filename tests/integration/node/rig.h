// Three nodes as processes against a small fleet in this one, under load, judged in the end.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "standin/fault_proxy/fault_proxy.h"
#include "standin/fleet/deployments.h"
#include "standin/fleet/fleet.h"
#include "standin/fleet/node_processes.h"

namespace ladderstream::fleet {

inline constexpr size_t kNodes = 3;
/// The store has one entrance for each node, and these behind them.
inline constexpr size_t kOperatorEntrances = 2;

inline constexpr char kScripts[] = "scripts";
inline constexpr char kBookings[] = "bookings";
inline constexpr char kCards[] = "cards";
/// One of the hot keys.
inline constexpr ownership::Key kHotKey = 20100;

enum class PeerLinks { kDirect, kProxied };

/// Waiting functions throw std::runtime_error when what they wait for does not come.
class Rig {
 public:
  /// Starts everything; returns when the nodes are ready, every key is held, and calls are served.
  Rig() : Rig(PeerLinks::kDirect) {}
  /// With kProxied, the connections from node to node go through proxies that SetPeerFaults steers.
  explicit Rig(PeerLinks links);

  /// Strikes the connections that lead to this node from others.
  void SetPeerFaults(size_t node, const standin::LinkFaults& faults);
  /// Strikes the connections between all nodes.
  void SetPeerFaults(const standin::LinkFaults& faults);

  Fleet& fleet() { return fleet_; }
  NodeProcesses& nodes() { return nodes_; }

  /// Runs the fleet until `condition` holds.
  void Await(const std::string& what, const std::function<bool()>& condition,
             Duration timeout = absl::Seconds(15));
  /// Runs the fleet until so many more calls have been served.
  void Serve(uint64_t calls);
  /// Runs the fleet until the node's log has this text.
  void AwaitLog(size_t node, const std::string& text);
  /// The node that last wrote to the store under a condition.
  size_t Coordinator();
  /// Waits until another node writes to the store under a condition.
  void AwaitCoordinatorOtherThan(size_t node);
  /// Waits until every key is held by a back end other than this one.
  void AwaitKeysLeave(const Backend& backend);
  Backend& OwnerOfHotKey();
  /// The status with which a node answers a request for this host and path, made beside the load;
  /// -1 when it gives none.
  int StatusAt(size_t node, const std::string& host, const std::string& path);
  /// Every back end of the service fails in this way from now on.
  void SetFaults(const std::string& service, const BackendFaults& faults);

  /// Ends the load and checks that nothing happened that must never happen, and that at least this
  /// share of the calls was served.
  Verdict Finish(double least_served);

 private:
  void StartProxies();

  Fleet fleet_;
  /// Null when the nodes are connected directly.
  std::unique_ptr<standin::FaultProxy> proxy_;
  NodeProcesses nodes_;
};

}  // namespace ladderstream::fleet
