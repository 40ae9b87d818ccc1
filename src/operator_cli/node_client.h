// Calls to the operators' endpoint of whichever node answers.
#pragma once

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "generated/operator.grpc.pb.h"
#include "wire/time.h"

namespace ladderstream::operator_cli {

namespace proto = ladderstream::operators::v1;

/// A node refused the call, or cannot tell its outcome yet, with a numbered code.
class CallRefused : public std::runtime_error {
 public:
  explicit CallRefused(proto::Result result)
      : std::runtime_error(result.message()), result_(std::move(result)) {}

  const proto::Result& result() const { return result_; }

 private:
  proto::Result result_;
};

/// No node gave an answer.
class NodesUnreachable : public std::runtime_error {
 public:
  NodesUnreachable(const std::string& message, bool may_have_arrived)
      : std::runtime_error(message), may_have_arrived_(may_have_arrived) {}

  /// Whether a node may have received the call and acted on it.
  bool may_have_arrived() const { return may_have_arrived_; }

 private:
  bool may_have_arrived_;
};

/// Tries the nodes in order. A change may be sent to several, since its operation id makes it
/// harmless to repeat. Not thread-safe.
class NodeClient {
 public:
  /// `timeout` is for one call, over all the nodes that it tries.
  NodeClient(std::vector<std::string> nodes, Duration timeout);

  /// One of the schema's calls.
  template <typename Request, typename Response>
  using Method = grpc::Status (proto::OperatorService::Stub::*)(grpc::ClientContext*,
                                                                const Request&, Response*);

  /// Throws CallRefused or NodesUnreachable.
  template <typename Request, typename Response>
  Response Call(Method<Request, Response> method, const Request& request) {
    Response response;
    TryNodes(nodes_, [&](proto::OperatorService::Stub& stub, grpc::ClientContext& context) {
      return (stub.*method)(&context, request, &response);
    });
    return response;
  }

  /// The same, from this node alone.
  template <typename Request, typename Response>
  Response CallNode(const std::string& node, Method<Request, Response> method,
                    const Request& request) {
    Response response;
    TryNodes({node}, [&](proto::OperatorService::Stub& stub, grpc::ClientContext& context) {
      return (stub.*method)(&context, request, &response);
    });
    return response;
  }

  const std::vector<std::string>& nodes() const { return nodes_; }

 private:
  using Attempt =
      std::function<grpc::Status(proto::OperatorService::Stub& stub, grpc::ClientContext& context)>;

  /// A node's share of the time left, so that one which hangs leaves some to the others.
  Duration AttemptTimeout(absl::Time end, size_t nodes_left) const;
  void TryNodes(const std::vector<std::string>& nodes, const Attempt& attempt);
  proto::OperatorService::Stub& StubOf(const std::string& node);

  std::vector<std::string> nodes_;
  Duration timeout_;
  std::map<std::string, std::unique_ptr<proto::OperatorService::Stub>> stubs_;
};

}  // namespace ladderstream::operator_cli
