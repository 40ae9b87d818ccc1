// Calls to the operators' endpoint of whichever server answers.
#pragma once

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "generated/operators.grpc.pb.h"
#include "wire/time.h"

namespace ladderstream::ladderctl {

namespace proto = ladderstream::operators::v2;

/// A server refused the call, or cannot tell its outcome yet, with a numbered code.
class CallRefused : public std::runtime_error {
 public:
  explicit CallRefused(proto::Result result)
      : std::runtime_error(result.message()), result_(std::move(result)) {}

  const proto::Result& result() const { return result_; }

 private:
  proto::Result result_;
};

/// No server gave an answer.
class ServersUnreachable : public std::runtime_error {
 public:
  ServersUnreachable(const std::string& message, bool may_have_arrived)
      : std::runtime_error(message), may_have_arrived_(may_have_arrived) {}

  /// Whether a server may have received the call and acted on it.
  bool may_have_arrived() const { return may_have_arrived_; }

 private:
  bool may_have_arrived_;
};

/// Tries the servers in order. A change may be sent to several, since its operation id makes it
/// harmless to repeat. Not thread-safe.
class ServerClient {
 public:
  /// `timeout` is for one call, over all the servers that it tries.
  ServerClient(std::vector<std::string> servers, Duration timeout);

  /// One of the schema's calls.
  template <typename Request, typename Response>
  using Method = grpc::Status (proto::OperatorService::Stub::*)(grpc::ClientContext*,
                                                                const Request&, Response*);

  /// Throws CallRefused or ServersUnreachable.
  template <typename Request, typename Response>
  Response Call(Method<Request, Response> method, const Request& request) {
    Response response;
    TryServers(servers_, [&](proto::OperatorService::Stub& stub, grpc::ClientContext& context) {
      return (stub.*method)(&context, request, &response);
    });
    return response;
  }

  /// The same, from this server alone.
  template <typename Request, typename Response>
  Response CallServer(const std::string& server, Method<Request, Response> method,
                      const Request& request) {
    Response response;
    TryServers({server}, [&](proto::OperatorService::Stub& stub, grpc::ClientContext& context) {
      return (stub.*method)(&context, request, &response);
    });
    return response;
  }

  const std::vector<std::string>& servers() const { return servers_; }

 private:
  using Attempt =
      std::function<grpc::Status(proto::OperatorService::Stub& stub, grpc::ClientContext& context)>;

  /// A server's share of the time left, so that one which hangs leaves some to the others.
  Duration AttemptTimeout(absl::Time end, size_t servers_left) const;
  void TryServers(const std::vector<std::string>& servers, const Attempt& attempt);
  proto::OperatorService::Stub& StubOf(const std::string& server);

  std::vector<std::string> servers_;
  Duration timeout_;
  std::map<std::string, std::unique_ptr<proto::OperatorService::Stub>> stubs_;
};

}  // namespace ladderstream::ladderctl
