#include "support/operator_client.h"

#include <absl/random/random.h>
#include <absl/strings/str_cat.h>
#include <grpcpp/grpcpp.h>

#include <chrono>

namespace ladderstream::integration {
namespace {

std::string DrawOperationId() {
  return absl::StrCat("test-", absl::Hex(absl::Uniform<uint64_t>(absl::BitGen())));
}

}  // namespace

v1::ChangeHeader AnyRevision() {
  v1::ChangeHeader header;
  header.set_operation_id(DrawOperationId());
  header.set_any_revision(true);
  return header;
}

v1::ChangeHeader ExpectRevision(uint64_t revision) {
  v1::ChangeHeader header;
  header.set_operation_id(DrawOperationId());
  header.set_expected_revision(revision);
  return header;
}

OperatorClient::OperatorClient(const Endpoint& node, absl::Duration timeout) : timeout_(timeout) {
  grpc::ChannelArguments arguments;
  // A node that was killed and came back is found again at once.
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 200);
  stub_ = v1::OperatorService::NewStub(grpc::CreateCustomChannel(
      FormatEndpoint(node), grpc::InsecureChannelCredentials(), arguments));
}

template <typename Request, typename Method>
ChangeOutcome OperatorClient::Change(Method method, const Request& request) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + absl::ToChronoMicroseconds(timeout_));
  v1::ChangeResponse response;
  const grpc::Status status = (stub_.get()->*method)(&context, request, &response);
  v1::Result result = response.result();
  if (!status.ok() && !result.ParseFromString(status.error_details())) {
    return {ResultCode::kInternal, 0, status.error_message()};
  }
  if (!status.ok() && status.error_details().empty()) {
    return {ResultCode::kInternal, 0, status.error_message()};
  }
  return {static_cast<ResultCode>(result.code()), result.revision(), result.message()};
}

template <typename Response, typename Request, typename Method>
Response OperatorClient::Ask(Method method, const Request& request) {
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + absl::ToChronoMicroseconds(timeout_));
  Response response;
  const grpc::Status status = (stub_.get()->*method)(&context, request, &response);
  return status.ok() ? response : Response();
}

ChangeOutcome OperatorClient::CreateService(const v1::CreateServiceRequest& request) {
  return Change(&v1::OperatorService::Stub::CreateService, request);
}

ChangeOutcome OperatorClient::UpdateService(const v1::UpdateServiceRequest& request) {
  return Change(&v1::OperatorService::Stub::UpdateService, request);
}

ChangeOutcome OperatorClient::RegisterBackend(const v1::RegisterBackendRequest& request) {
  return Change(&v1::OperatorService::Stub::RegisterBackend, request);
}

ChangeOutcome OperatorClient::DrainBackend(const std::string& backend) {
  v1::DrainBackendRequest request;
  *request.mutable_header() = AnyRevision();
  request.set_id(backend);
  return Change(&v1::OperatorService::Stub::DrainBackend, request);
}

ChangeOutcome OperatorClient::MoveKey(const std::string& service, const std::string& key,
                                      const std::string& backend) {
  v1::MoveKeyRequest request;
  *request.mutable_header() = AnyRevision();
  request.set_service(service);
  request.set_key(key);
  request.set_backend_id(backend);
  return Change(&v1::OperatorService::Stub::MoveKey, request);
}

v1::GetStatusResponse OperatorClient::Status() {
  return Ask<v1::GetStatusResponse>(&v1::OperatorService::Stub::GetStatus, v1::GetStatusRequest());
}

v1::ListAssignmentsResponse OperatorClient::Assignments(const std::string& service) {
  v1::ListAssignmentsRequest request;
  request.set_service(service);
  return Ask<v1::ListAssignmentsResponse>(&v1::OperatorService::Stub::ListAssignments, request);
}

v1::ListBackendsResponse OperatorClient::Backends() {
  return Ask<v1::ListBackendsResponse>(&v1::OperatorService::Stub::ListBackends,
                                       v1::ListBackendsRequest());
}

v1::GetConfigurationResponse OperatorClient::Configuration() {
  return Ask<v1::GetConfigurationResponse>(&v1::OperatorService::Stub::GetConfiguration,
                                           v1::GetConfigurationRequest());
}

}  // namespace ladderstream::integration
