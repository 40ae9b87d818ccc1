// The operators' gRPC endpoint (proto/operators.proto).
#pragma once

#include <memory>

#include "core/changes/configuration_format.h"
#include "operator_service/blocking_store.h"
#include "wire/identifiers.h"
#include "wire/time.h"

namespace ladderstream::operator_service {

/// Thread-safe. Serves from construction to Stop or destruction, on threads of its own.
class OperatorServer {
 public:
  /// Listens at `endpoint`; port zero takes a free port. `store` outlives the server. Throws
  /// Error(kInvalidSetting) when the address cannot be had.
  OperatorServer(BlockingStore* store, changes::ConfigurationFormatPtr format,
                 const Endpoint& endpoint);
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

}  // namespace ladderstream::operator_service
