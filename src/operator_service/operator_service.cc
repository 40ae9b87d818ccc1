#include "operator_service/operator_service.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "core/changes/validation.h"
#include "operator_service/call_result.h"
#include "operator_service/change_runner.h"
#include "operator_service/proto_conversion.h"

namespace ladderstream::operator_service {
namespace {

using changes::ConfigurationError;
using changes::ConfigurationFault;

/// How long a change goes on when the caller sets no deadline, and at most.
constexpr Duration kLongestChange = absl::Seconds(8);
/// Kept back from the caller's deadline, so that the outcome still reaches it.
constexpr Duration kAnswerMargin = absl::Milliseconds(300);

/// `last_call`: how long the last call to the store may go on past the deadline.
changes::SubmissionTiming TimingFor(const grpc::ServerContext& context, Duration last_call) {
  changes::SubmissionTiming timing;
  const Duration margin = kAnswerMargin + last_call;
  const auto left = context.deadline() - std::chrono::system_clock::now();
  const bool is_far = left > absl::ToChronoMilliseconds(kLongestChange + margin);
  timing.deadline =
      is_far ? kLongestChange : std::max(absl::FromChrono(left) - margin, absl::ZeroDuration());
  return timing;
}

/// Gives the expected revision, or nothing for any. Throws ConfigurationError for a bad header.
std::optional<uint64_t> CheckHeader(const proto::ChangeHeader& header) {
  std::vector<ConfigurationFault> faults;
  if (!changes::IsOperationId(header.operation_id())) {
    faults.push_back({ResultCode::kInvalidConfiguration, "header.operation_id",
                      header.operation_id(), "1 to 64 characters of [A-Za-z0-9._-]"});
  }
  if (!header.has_expected_revision() && !header.any_revision()) {
    faults.push_back({ResultCode::kInvalidConfiguration, "header.expected_revision", "",
                      "a revision, or any_revision = true"});
  }
  if (!faults.empty()) {
    throw ConfigurationError(std::move(faults));
  }
  return header.has_expected_revision() ? std::optional(header.expected_revision()) : std::nullopt;
}

/// The bytes of a call without its header, and its kind: the same for the same change.
template <typename Request>
uint64_t DigestOfCall(const Request& request) {
  Request change = request;
  change.clear_header();
  std::string bytes = change.GetTypeName();
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream output(&stream);
    output.SetSerializationDeterministic(true);
    change.SerializeToCodedStream(&output);
  }
  return changes::DigestOf(bytes);
}

template <typename Kind>
changes::ChangePtr MakeChange(Kind kind) {
  return std::make_shared<const changes::Change>(std::move(kind));
}

/// Answers a question, or tells with which number it failed.
grpc::Status Answer(const std::function<void()>& question) {
  try {
    question();
    return grpc::Status::OK;
  } catch (const Error& error) {
    return ToStatus(MakeResult(error.code(), error.what(), 0));
  }
}

bool IsAskedFor(const std::string& wanted, const std::string& name) {
  return wanted.empty() || wanted == name;
}

absl::flat_hash_map<std::string, uint32_t> CountOwnedKeys(const Ownership& ownership) {
  absl::flat_hash_map<std::string, uint32_t> owned;
  for (const auto& [service, assignments] : ownership.services) {
    for (const ownership::Assignment& assignment : assignments) {
      owned[assignment.owner] += assignment.range.Size();
    }
  }
  return owned;
}

}  // namespace

OperatorService::OperatorService(BlockingStore* store, changes::ConfigurationFormatPtr format)
    : store_(store), format_(std::move(format)), reader_(store) {}

template <typename Request>
grpc::Status OperatorService::Change(const grpc::ServerContext& context, const Request& request,
                                     const changes::ChangePtr& change,
                                     proto::ChangeResponse* response) {
  return RunCall(context, request.header(), change, DigestOfCall(request), response);
}

grpc::Status OperatorService::RunCall(const grpc::ServerContext& context,
                                      const proto::ChangeHeader& header,
                                      const changes::ChangePtr& change, uint64_t digest,
                                      proto::ChangeResponse* response) {
  changes::SubmissionOutcome outcome;
  try {
    const std::optional<uint64_t> expected = CheckHeader(header);
    outcome = RunChange({header.operation_id(), expected, change, digest}, format_,
                        TimingFor(context, store_->timeout()), store_);
  } catch (const ConfigurationError& error) {
    outcome = {error.code(), error.what(), 0, error.faults()};
  }
  proto::Result* const result = response->mutable_result();
  *result = MakeResult(outcome.code, outcome.message, outcome.revision);
  AddFaults(outcome.faults, result);
  result->set_operation_id(header.operation_id());
  return ToStatus(*result);
}

grpc::Status OperatorService::CreateService(grpc::ServerContext* context,
                                            const proto::CreateServiceRequest* request,
                                            proto::ChangeResponse* response) {
  return Change(*context, *request,
                MakeChange(changes::CreateService{FromProto(request->service())}), response);
}

grpc::Status OperatorService::UpdateService(grpc::ServerContext* context,
                                            const proto::UpdateServiceRequest* request,
                                            proto::ChangeResponse* response) {
  return Change(*context, *request,
                MakeChange(changes::UpdateService{FromProto(request->service())}), response);
}

grpc::Status OperatorService::DeleteService(grpc::ServerContext* context,
                                            const proto::DeleteServiceRequest* request,
                                            proto::ChangeResponse* response) {
  return Change(*context, *request, MakeChange(changes::DeleteService{request->name()}), response);
}

grpc::Status OperatorService::CreateRoute(grpc::ServerContext* context,
                                          const proto::CreateRouteRequest* request,
                                          proto::ChangeResponse* response) {
  return Change(*context, *request, MakeChange(changes::CreateRoute{FromProto(request->route())}),
                response);
}

grpc::Status OperatorService::UpdateRoute(grpc::ServerContext* context,
                                          const proto::UpdateRouteRequest* request,
                                          proto::ChangeResponse* response) {
  return Change(*context, *request, MakeChange(changes::UpdateRoute{FromProto(request->route())}),
                response);
}

grpc::Status OperatorService::DeleteRoute(grpc::ServerContext* context,
                                          const proto::DeleteRouteRequest* request,
                                          proto::ChangeResponse* response) {
  return Change(*context, *request, MakeChange(changes::DeleteRoute{request->name()}), response);
}

grpc::Status OperatorService::UpdateLimits(grpc::ServerContext* context,
                                           const proto::UpdateLimitsRequest* request,
                                           proto::ChangeResponse* response) {
  return Change(*context, *request, MakeChange(changes::UpdateLimits{FromProto(request->limits())}),
                response);
}

grpc::Status OperatorService::GetConfiguration(grpc::ServerContext* /*context*/,
                                               const proto::GetConfigurationRequest* /*request*/,
                                               proto::GetConfigurationResponse* response) {
  return Answer([&] { *response = ToProto(reader_.ReadConfiguration()); });
}

grpc::Status OperatorService::ListBackends(grpc::ServerContext* /*context*/,
                                           const proto::ListBackendsRequest* request,
                                           proto::ListBackendsResponse* response) {
  return Answer([&] {
    auto owned = CountOwnedKeys(reader_.ReadOwnership());
    for (const catalog::Backend& backend : reader_.ReadBackends()) {
      if (IsAskedFor(request->service(), backend.service)) {
        proto::Backend* const added = response->add_backends();
        *added = ToProto(backend);
        added->set_owned_keys(owned[backend.id]);
      }
    }
  });
}

grpc::Status OperatorService::ListAssignments(grpc::ServerContext* /*context*/,
                                              const proto::ListAssignmentsRequest* request,
                                              proto::ListAssignmentsResponse* response) {
  return Answer([&] {
    const Ownership ownership = reader_.ReadOwnership();
    for (const auto& [service, assignments] : ownership.services) {
      for (const ownership::Assignment& assignment : assignments) {
        if (IsAskedFor(request->service(), service) &&
            IsAskedFor(request->backend_id(), assignment.owner)) {
          *response->add_assignments() = ToProto(service, assignment);
        }
      }
    }
  });
}

grpc::Status OperatorService::GetStatus(grpc::ServerContext* /*context*/,
                                        const proto::GetStatusRequest* /*request*/,
                                        proto::GetStatusResponse* response) {
  return Answer([&] {
    response->set_revision(reader_.ReadConfiguration().version);
    const Ownership ownership = reader_.ReadOwnership();
    if (ownership.lease.has_value()) {
      response->set_coordinator_epoch(ownership.lease->epoch);
      response->set_coordinator_endpoint(FormatEndpoint(ownership.lease->peer_address));
    }
    response->set_sharded_services(static_cast<uint32_t>(ownership.services.size()));
    response->set_unowned_keys(CountOwnedKeys(ownership)[""]);
    const std::vector<catalog::Backend> backends = reader_.ReadBackends();
    response->set_backends(static_cast<uint32_t>(backends.size()));
    response->set_draining_backends(static_cast<uint32_t>(
        std::count_if(backends.begin(), backends.end(),
                      [](const catalog::Backend& backend) { return backend.draining; })));
  });
}

grpc::Status OperatorService::GetOperation(grpc::ServerContext* /*context*/,
                                           const proto::GetOperationRequest* request,
                                           proto::GetOperationResponse* response) {
  return Answer([&] {
    const auto record = reader_.ReadRecord(request->operation_id());
    response->set_state(record.has_value() ? proto::OPERATION_STATE_ACCEPTED
                                           : proto::OPERATION_STATE_NOT_FOUND);
    response->set_revision(record.has_value() ? record->revision : 0);
  });
}

}  // namespace ladderstream::operator_service
