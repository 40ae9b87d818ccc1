// Steers a fault proxy over HTTP.
//
//   POST /control {"add":{"name":n,"listen":"IP:PORT","target":"IP:PORT"}}
//   POST /control {"link":name prefix, "from":source address prefix, "faults":{LinkFaults}}
//   GET  /control                       gives the links
//
// A "faults" object replaces the one in force for that link and source; {} heals.
#pragma once

#include "standin/fault_proxy/fault_proxy.h"
#include "standin/support/http_server.h"

namespace ladderstream::standin {

/// Serves from construction to destruction.
class ControlServer {
 public:
  /// `proxy` must outlive it. Throws Error(kInvalidSetting) when the address can't be bound.
  ControlServer(const Endpoint& listen, FaultProxy* proxy);

  Endpoint endpoint() const { return server_.endpoint(); }

 private:
  void Control(const nlohmann::json& change);
  nlohmann::json Describe();

  FaultProxy* const proxy_;
  HttpServer server_;
};

}  // namespace ladderstream::standin
