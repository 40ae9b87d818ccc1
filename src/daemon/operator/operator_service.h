// The calls of proto/operator.proto.
#pragma once

#include <grpcpp/server_context.h>

#include "core/configuration/change.h"
#include "core/configuration/ownership_command.h"
#include "daemon/operator/change_runner.h"
#include "generated/operator.grpc.pb.h"
#include "interfaces/control_plane.h"
#include "interfaces/table_client.h"

namespace ladderstream::daemon {

namespace proto = ladderstream::operators::v1;

/// Thread-safe; gRPC calls it on its own threads. Every error becomes a numbered Result.
class OperatorService final : public proto::OperatorService::Service {
 public:
  OperatorService(TableClientPtr table, ControlPlanePtr control_plane);

  grpc::Status CreateService(grpc::ServerContext* context,
                             const proto::CreateServiceRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status UpdateService(grpc::ServerContext* context,
                             const proto::UpdateServiceRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status DeleteService(grpc::ServerContext* context,
                             const proto::DeleteServiceRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status RegisterBackend(grpc::ServerContext* context,
                               const proto::RegisterBackendRequest* request,
                               proto::ChangeResponse* response) override;
  grpc::Status UpdateBackend(grpc::ServerContext* context,
                             const proto::UpdateBackendRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status RemoveBackend(grpc::ServerContext* context,
                             const proto::RemoveBackendRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status DrainBackend(grpc::ServerContext* context, const proto::DrainBackendRequest* request,
                            proto::ChangeResponse* response) override;
  grpc::Status UndrainBackend(grpc::ServerContext* context,
                              const proto::UndrainBackendRequest* request,
                              proto::ChangeResponse* response) override;
  grpc::Status MoveKey(grpc::ServerContext* context, const proto::MoveKeyRequest* request,
                       proto::ChangeResponse* response) override;
  grpc::Status GetConfiguration(grpc::ServerContext* context,
                                const proto::GetConfigurationRequest* request,
                                proto::GetConfigurationResponse* response) override;
  grpc::Status ListServices(grpc::ServerContext* context, const proto::ListServicesRequest* request,
                            proto::ListServicesResponse* response) override;
  grpc::Status ListBackends(grpc::ServerContext* context, const proto::ListBackendsRequest* request,
                            proto::ListBackendsResponse* response) override;
  grpc::Status ListAssignments(grpc::ServerContext* context,
                               const proto::ListAssignmentsRequest* request,
                               proto::ListAssignmentsResponse* response) override;
  grpc::Status GetStatus(grpc::ServerContext* context, const proto::GetStatusRequest* request,
                         proto::GetStatusResponse* response) override;
  grpc::Status GetOperation(grpc::ServerContext* context, const proto::GetOperationRequest* request,
                            proto::GetOperationResponse* response) override;

 private:
  /// Makes the commands of an ownership change from the routing state.
  using CommandPlan = std::function<std::vector<Command>(const authority::RoutingState&)>;

  grpc::Status RunChange(const grpc::ServerContext& context, const proto::ChangeHeader& header,
                         const configuration::Change& change, proto::ChangeResponse* response);
  grpc::Status RunCommands(const grpc::ServerContext& context, const proto::ChangeHeader& header,
                           const CommandPlan& plan, proto::ChangeResponse* response);
  grpc::Status RunDraining(const grpc::ServerContext& context, const proto::ChangeHeader& header,
                           const std::string& id, bool draining, proto::ChangeResponse* response);

  TableClientPtr table_;
  ControlPlanePtr control_plane_;
  ChangeRunner runner_;
};

}  // namespace ladderstream::daemon
