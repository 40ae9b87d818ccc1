// The calls of proto/operators.proto.
#pragma once

#include <grpcpp/server_context.h>

#include <functional>

#include "core/changes/change.h"
#include "core/changes/configuration_format.h"
#include "generated/operators.grpc.pb.h"
#include "operator_service/blocking_store.h"
#include "operator_service/store_reader.h"

namespace ladderstream::operator_service {

namespace proto = ladderstream::operators::v2;

/// Thread-safe; gRPC calls it on its own threads. Holds no state: any number may run over one
/// store. Every error becomes a numbered Result.
class OperatorService final : public proto::OperatorService::Service {
 public:
  /// `store` outlives the service.
  OperatorService(BlockingStore* store, changes::ConfigurationFormatPtr format);

  grpc::Status CreateService(grpc::ServerContext* context,
                             const proto::CreateServiceRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status UpdateService(grpc::ServerContext* context,
                             const proto::UpdateServiceRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status DeleteService(grpc::ServerContext* context,
                             const proto::DeleteServiceRequest* request,
                             proto::ChangeResponse* response) override;
  grpc::Status CreateRoute(grpc::ServerContext* context, const proto::CreateRouteRequest* request,
                           proto::ChangeResponse* response) override;
  grpc::Status UpdateRoute(grpc::ServerContext* context, const proto::UpdateRouteRequest* request,
                           proto::ChangeResponse* response) override;
  grpc::Status DeleteRoute(grpc::ServerContext* context, const proto::DeleteRouteRequest* request,
                           proto::ChangeResponse* response) override;
  grpc::Status UpdateLimits(grpc::ServerContext* context, const proto::UpdateLimitsRequest* request,
                            proto::ChangeResponse* response) override;
  grpc::Status GetConfiguration(grpc::ServerContext* context,
                                const proto::GetConfigurationRequest* request,
                                proto::GetConfigurationResponse* response) override;
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
  /// `request` is the whole call: its bytes without the header tell two changes apart.
  template <typename Request>
  grpc::Status Change(const grpc::ServerContext& context, const Request& request,
                      const changes::ChangePtr& change, proto::ChangeResponse* response);
  grpc::Status RunCall(const grpc::ServerContext& context, const proto::ChangeHeader& header,
                       const changes::ChangePtr& change, uint64_t digest,
                       proto::ChangeResponse* response);

  BlockingStore* store_;
  changes::ConfigurationFormatPtr format_;
  StoreReader reader_;
};

}  // namespace ladderstream::operator_service
