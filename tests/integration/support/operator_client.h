// Operators' calls to one node, as the tests make them.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>

#include "generated/operator.grpc.pb.h"
#include "wire/configuration.h"
#include "wire/result_code.h"

namespace ladderstream::integration {

namespace v1 = operators::v1;

/// What became of a change.
struct ChangeOutcome {
  /// kInternal with an empty message when no Result came back at all.
  ResultCode code = ResultCode::kInternal;
  uint64_t revision = 0;
  std::string message;

  bool Accepted() const { return code == ResultCode::kOk; }
};

/// A change under an operation id drawn at random, whatever revision is in force.
v1::ChangeHeader AnyRevision();
/// A change that is refused unless `revision` is the newest.
v1::ChangeHeader ExpectRevision(uint64_t revision);

/// Thread-safe. Every call waits at most for `timeout`.
class OperatorClient {
 public:
  explicit OperatorClient(const Endpoint& node, absl::Duration timeout = absl::Seconds(5));

  ChangeOutcome CreateService(const v1::CreateServiceRequest& request);
  ChangeOutcome UpdateService(const v1::UpdateServiceRequest& request);
  ChangeOutcome RegisterBackend(const v1::RegisterBackendRequest& request);
  ChangeOutcome DrainBackend(const std::string& backend);
  ChangeOutcome MoveKey(const std::string& service, const std::string& key,
                        const std::string& backend);

  // Empty answers when the node can't be reached.
  v1::GetStatusResponse Status();
  v1::ListAssignmentsResponse Assignments(const std::string& service);
  v1::ListBackendsResponse Backends();
  v1::GetConfigurationResponse Configuration();

 private:
  template <typename Request, typename Method>
  ChangeOutcome Change(Method method, const Request& request);
  template <typename Response, typename Request, typename Method>
  Response Ask(Method method, const Request& request);

  absl::Duration timeout_;
  std::unique_ptr<v1::OperatorService::Stub> stub_;
};

}  // namespace ladderstream::integration
