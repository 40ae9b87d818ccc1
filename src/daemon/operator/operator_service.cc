#include "daemon/operator/operator_service.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "core/configuration/configuration_fault.h"
#include "core/configuration/validation.h"
#include "daemon/operator/boot_time.h"
#include "daemon/operator/call_result.h"
#include "daemon/operator/proto_conversion.h"
#include "wire/codec.h"
#include "wire/store_rows.h"

namespace ladderstream::daemon {
namespace {

using configuration::ConfigurationError;
using configuration::ConfigurationFault;

/// How long a change goes on when the caller sets no deadline, and at most.
constexpr Duration kLongestChange = absl::Seconds(8);
/// Kept back from the caller's deadline, so that the outcome still reaches it.
constexpr Duration kAnswerMargin = absl::Milliseconds(300);

Duration ChangeDeadline(const grpc::ServerContext& context) {
  const auto left = context.deadline() - std::chrono::system_clock::now();
  if (left > absl::ToChronoMilliseconds(kLongestChange + kAnswerMargin)) {
    return kLongestChange;
  }
  return std::max(absl::FromChrono(left) - kAnswerMargin, absl::ZeroDuration());
}

grpc::Status Answer(const proto::ChangeHeader& header, proto::Result result,
                    proto::ChangeResponse* response) {
  result.set_operation_id(header.operation_id());
  *response->mutable_result() = result;
  return ToStatus(result);
}

grpc::Status AnswerError(const proto::ChangeHeader& header, const Error& error, Revision revision,
                         proto::ChangeResponse* response) {
  proto::Result result = MakeResult(error.code(), error.what(), revision);
  if (const auto* const refused = dynamic_cast<const ConfigurationError*>(&error)) {
    AddFaults(refused->faults(), &result);
  }
  return Answer(header, std::move(result), response);
}

/// Gives the expected revision, or nothing for any. Throws ConfigurationError for a bad header.
std::optional<Revision> CheckHeader(const proto::ChangeHeader& header) {
  std::vector<ConfigurationFault> faults;
  if (!configuration::IsOperationId(header.operation_id())) {
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
  return header.has_expected_revision() ? std::optional(Revision(header.expected_revision()))
                                        : std::nullopt;
}

void RequireRevision(const std::optional<Revision>& expected, Revision in_force) {
  if (expected.has_value() && *expected != in_force) {
    throw Error(ResultCode::kRevisionConflict, absl::StrCat("expected revision ", expected->value(),
                                                            ", in force is ", in_force.value()));
  }
}

}  // namespace

OperatorService::OperatorService(TableClientPtr table, ControlPlanePtr control_plane)
    : table_(std::move(table)),
      control_plane_(std::move(control_plane)),
      runner_(table_, control_plane_) {}

grpc::Status OperatorService::RunChange(const grpc::ServerContext& context,
                                        const proto::ChangeHeader& header,
                                        const configuration::Change& change,
                                        proto::ChangeResponse* response) {
  const auto routing = control_plane_->Routing();
  const Revision in_force = routing->configuration.revision;
  try {
    const std::optional<Revision> expected = CheckHeader(header);
    if (const auto* const removal = std::get_if<configuration::RemoveBackend>(&change)) {
      configuration::RequireOwnsNothing(*routing, removal->id);
    }
    const configuration::SubmissionOutcome outcome = runner_.RunChange(
        {OperationId(header.operation_id()), expected, change, in_force}, ChangeDeadline(context));
    const Revision revision = outcome.revision == Revision() ? in_force : outcome.revision;
    proto::Result result = MakeResult(outcome.code, outcome.message, revision);
    AddFaults(outcome.faults, &result);
    return Answer(header, std::move(result), response);
  } catch (const Error& error) {
    return AnswerError(header, error, in_force, response);
  }
}

grpc::Status OperatorService::RunCommands(const grpc::ServerContext& context,
                                          const proto::ChangeHeader& header,
                                          const CommandPlan& plan,
                                          proto::ChangeResponse* response) {
  const auto routing = control_plane_->Routing();
  const Revision in_force = routing->configuration.revision;
  try {
    RequireRevision(CheckHeader(header), in_force);
    const ResultCode code = runner_.RunCommands(plan(*routing), ChangeDeadline(context));
    const std::string message =
        code == ResultCode::kOk ? "accepted" : "the group did not commit the command";
    return Answer(header, MakeResult(code, message, in_force), response);
  } catch (const Error& error) {
    return AnswerError(header, error, in_force, response);
  }
}

grpc::Status OperatorService::RunDraining(const grpc::ServerContext& context,
                                          const proto::ChangeHeader& header, const std::string& id,
                                          bool draining, proto::ChangeResponse* response) {
  const auto plan = [&](const authority::RoutingState& state) {
    return std::vector<Command>{configuration::PlanDraining(state, BackendId(id), draining)};
  };
  return RunCommands(context, header, plan, response);
}

grpc::Status OperatorService::CreateService(grpc::ServerContext* context,
                                            const proto::CreateServiceRequest* request,
                                            proto::ChangeResponse* response) {
  const configuration::CreateService change{FromProto(request->service())};
  return RunChange(*context, request->header(), change, response);
}

grpc::Status OperatorService::UpdateService(grpc::ServerContext* context,
                                            const proto::UpdateServiceRequest* request,
                                            proto::ChangeResponse* response) {
  const configuration::UpdateService change{FromProto(request->service())};
  return RunChange(*context, request->header(), change, response);
}

grpc::Status OperatorService::DeleteService(grpc::ServerContext* context,
                                            const proto::DeleteServiceRequest* request,
                                            proto::ChangeResponse* response) {
  const configuration::DeleteService change{ServiceName(request->name())};
  return RunChange(*context, request->header(), change, response);
}

grpc::Status OperatorService::RegisterBackend(grpc::ServerContext* context,
                                              const proto::RegisterBackendRequest* request,
                                              proto::ChangeResponse* response) {
  const configuration::RegisterBackend change{FromProto(request->backend())};
  return RunChange(*context, request->header(), change, response);
}

grpc::Status OperatorService::UpdateBackend(grpc::ServerContext* context,
                                            const proto::UpdateBackendRequest* request,
                                            proto::ChangeResponse* response) {
  const configuration::UpdateBackend change{FromProto(request->backend())};
  return RunChange(*context, request->header(), change, response);
}

grpc::Status OperatorService::RemoveBackend(grpc::ServerContext* context,
                                            const proto::RemoveBackendRequest* request,
                                            proto::ChangeResponse* response) {
  const configuration::RemoveBackend change{BackendId(request->id())};
  return RunChange(*context, request->header(), change, response);
}

grpc::Status OperatorService::DrainBackend(grpc::ServerContext* context,
                                           const proto::DrainBackendRequest* request,
                                           proto::ChangeResponse* response) {
  return RunDraining(*context, request->header(), request->id(), true, response);
}

grpc::Status OperatorService::UndrainBackend(grpc::ServerContext* context,
                                             const proto::UndrainBackendRequest* request,
                                             proto::ChangeResponse* response) {
  return RunDraining(*context, request->header(), request->id(), false, response);
}

grpc::Status OperatorService::MoveKey(grpc::ServerContext* context,
                                      const proto::MoveKeyRequest* request,
                                      proto::ChangeResponse* response) {
  const configuration::KeyMove move{ServiceName(request->service()), request->key(),
                                    BackendId(request->backend_id())};
  const auto plan = [&](const authority::RoutingState& state) {
    return configuration::PlanMove(state, move);
  };
  return RunCommands(*context, request->header(), plan, response);
}

grpc::Status OperatorService::GetConfiguration(grpc::ServerContext* /*context*/,
                                               const proto::GetConfigurationRequest* /*request*/,
                                               proto::GetConfigurationResponse* response) {
  const auto routing = control_plane_->Routing();
  response->set_revision(routing->configuration.revision.value());
  for (const ServiceConfiguration& service : routing->configuration.services) {
    *response->add_services() = ToProto(service);
  }
  for (const BackendConfiguration& backend : routing->configuration.backends) {
    *response->add_backends() = ToProto(backend);
  }
  return grpc::Status::OK;
}

grpc::Status OperatorService::ListServices(grpc::ServerContext* /*context*/,
                                           const proto::ListServicesRequest* /*request*/,
                                           proto::ListServicesResponse* response) {
  const auto routing = control_plane_->Routing();
  response->set_revision(routing->configuration.revision.value());
  for (const ServiceConfiguration& service : routing->configuration.services) {
    *response->add_services() = ToProto(service);
  }
  return grpc::Status::OK;
}

grpc::Status OperatorService::ListBackends(grpc::ServerContext* /*context*/,
                                           const proto::ListBackendsRequest* request,
                                           proto::ListBackendsResponse* response) {
  const auto routing = control_plane_->Routing();
  absl::flat_hash_map<BackendId, const BackendHome*> homes;
  for (const BackendHome& home : routing->homes) {
    homes[home.backend] = &home;
  }
  absl::flat_hash_map<BackendId, uint32_t> owned;
  for (const Assignment& assignment : routing->assignments) {
    if (assignment.state != AssignmentState::kFree) {
      ++owned[assignment.owner];
    }
  }
  response->set_revision(routing->configuration.revision.value());
  for (const BackendConfiguration& backend : routing->configuration.backends) {
    if (!request->service().empty() && request->service() != backend.service.value()) {
      continue;
    }
    proto::BackendState* const state = response->add_backends();
    *state->mutable_backend() = ToProto(backend);
    state->set_owned_shards(owned[backend.id]);
    if (const BackendHome* const home = homes[backend.id]) {
      state->set_home_node(home->home.name);
      state->set_draining(home->draining);
    }
  }
  return grpc::Status::OK;
}

grpc::Status OperatorService::ListAssignments(grpc::ServerContext* /*context*/,
                                              const proto::ListAssignmentsRequest* request,
                                              proto::ListAssignmentsResponse* response) {
  const auto routing = control_plane_->Routing();
  for (const Assignment& assignment : routing->assignments) {
    const bool is_service =
        request->service().empty() || request->service() == assignment.shard.service.value();
    const bool is_backend =
        request->backend_id().empty() || request->backend_id() == assignment.owner.value();
    if (is_service && is_backend) {
      *response->add_assignments() = ToProto(assignment);
    }
  }
  return grpc::Status::OK;
}

grpc::Status OperatorService::GetStatus(grpc::ServerContext* /*context*/,
                                        const proto::GetStatusRequest* /*request*/,
                                        proto::GetStatusResponse* response) {
  *response = ToProto(control_plane_->Status());
  response->set_confirmed(control_plane_->Routing()->confirmed_until > BootTimeNow());
  return grpc::Status::OK;
}

grpc::Status OperatorService::GetOperation(grpc::ServerContext* /*context*/,
                                           const proto::GetOperationRequest* request,
                                           proto::GetOperationResponse* response) {
  const Revision in_force = control_plane_->Routing()->configuration.revision;
  authority::StoreTransaction transaction;
  transaction.reads = {absl::StrCat(kOperationRowPrefix, request->operation_id())};
  const TableResult result = table_->Run(transaction);
  if (result.status != authority::StoreStatus::kCommitted || result.rows.size() != 1) {
    return ToStatus(
        MakeResult(ResultCode::kStoreUnavailable, "the table service did not answer", in_force));
  }
  if (result.rows.front().version == 0) {
    response->set_state(proto::OPERATION_STATE_NOT_FOUND);
    return grpc::Status::OK;
  }
  const auto record = Decode<ChangeRecord>(result.rows.front().value);
  response->set_revision(record.revision.value());
  response->set_state(record.revision <= in_force ? proto::OPERATION_STATE_IN_FORCE
                                                  : proto::OPERATION_STATE_PENDING);
  return grpc::Status::OK;
}

}  // namespace ladderstream::daemon
