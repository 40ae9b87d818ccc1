// The operators' gRPC endpoint of a node (proto/operator.proto).
//
// Every node has one and may be asked for any change: configuration goes to the table service by
// conditional transaction, ownership commands go to the group's leader.
#pragma once

#include <memory>

#include "interfaces/control_plane.h"
#include "interfaces/table_client.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::daemon {

/// Thread-safe. Serves from construction to Stop or destruction, on threads of its own.
class OperatorServer {
 public:
  /// Listens at `endpoint`; port zero takes a free port. Throws Error(kInvalidSetting) when the
  /// address cannot be had.
  OperatorServer(TableClientPtr table, ControlPlanePtr control_plane, const Endpoint& endpoint);
  ~OperatorServer();

  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  /// Where it listens.
  Endpoint endpoint() const;

  /// Takes no new call and waits at most `grace` for those under way.
  void Stop(Duration grace);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ladderstream::daemon
