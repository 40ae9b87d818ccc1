#include "operator_service/call_result.h"

namespace ladderstream::operator_service {
namespace {

using operators::v2::Result;

grpc::StatusCode StatusCodeOf(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return grpc::StatusCode::OK;
    case ResultCode::kRevisionConflict:
      return grpc::StatusCode::ABORTED;
    case ResultCode::kInvalidConfiguration:
      return grpc::StatusCode::INVALID_ARGUMENT;
    case ResultCode::kUnknownName:
      return grpc::StatusCode::NOT_FOUND;
    case ResultCode::kAlreadyExists:
      return grpc::StatusCode::ALREADY_EXISTS;
    case ResultCode::kOperationIdReused:
    case ResultCode::kStillInUse:
      return grpc::StatusCode::FAILED_PRECONDITION;
    case ResultCode::kStoreUnavailable:
      return grpc::StatusCode::UNAVAILABLE;
    case ResultCode::kChangePending:
      return grpc::StatusCode::DEADLINE_EXCEEDED;
    default:
      return grpc::StatusCode::INTERNAL;
  }
}

}  // namespace

Result MakeResult(ResultCode code, const std::string& message, uint64_t revision) {
  Result result;
  result.set_code(static_cast<uint32_t>(code));
  result.set_name(std::string(NameOf(code)));
  result.set_message(message);
  result.set_revision(revision);
  return result;
}

void AddFaults(const std::vector<changes::ConfigurationFault>& faults, Result* result) {
  for (const changes::ConfigurationFault& fault : faults) {
    operators::v2::Fault* const added = result->add_faults();
    added->set_code(static_cast<uint32_t>(fault.code));
    added->set_name(std::string(NameOf(fault.code)));
    added->set_field(fault.field);
    added->set_value(fault.value);
    added->set_allowed(fault.allowed);
  }
  if (!faults.empty()) {
    result->set_field(faults.front().field);
  }
}

grpc::Status ToStatus(const Result& result) {
  const auto code = static_cast<ResultCode>(result.code());
  if (code == ResultCode::kOk) {
    return grpc::Status::OK;
  }
  return {StatusCodeOf(code), result.name() + ": " + result.message(), result.SerializeAsString()};
}

}  // namespace ladderstream::operator_service
