#include "operator_service/operator_server.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <utility>

#include "operator_service/operator_service.h"
#include "wire/result_code.h"

namespace ladderstream::operator_service {
namespace {

/// Operators make few calls; this bounds what a flood of them may cost this server.
constexpr int kMaxMessageBytes = 16 << 20;
constexpr int kMaxConcurrentCalls = 32;

}  // namespace

class OperatorServer::Impl {
 public:
  Impl(BlockingStore* store, changes::ConfigurationFormatPtr format, const Endpoint& endpoint)
      : service_(store, std::move(format)), endpoint_(endpoint) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(FormatEndpoint(endpoint), grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS, kMaxConcurrentCalls);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.RegisterService(&service_);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port == 0) {
      throw Error(ResultCode::kInvalidSetting,
                  absl::StrCat("--listen=", FormatEndpoint(endpoint),
                               "; cannot listen there; allowed: a free IP address and port of "
                               "this machine"));
    }
    endpoint_.port = static_cast<uint16_t>(port);
  }

  ~Impl() { Stop(absl::ZeroDuration()); }

  Endpoint endpoint() const { return endpoint_; }

  void Stop(Duration grace) {
    server_->Shutdown(std::chrono::system_clock::now() + absl::ToChronoMilliseconds(grace));
  }

 private:
  OperatorService service_;
  Endpoint endpoint_;
  std::unique_ptr<grpc::Server> server_;
};

OperatorServer::OperatorServer(BlockingStore* store, changes::ConfigurationFormatPtr format,
                               const Endpoint& endpoint)
    : impl_(std::make_unique<Impl>(store, std::move(format), endpoint)) {}

OperatorServer::~OperatorServer() = default;

Endpoint OperatorServer::endpoint() const { return impl_->endpoint(); }

void OperatorServer::Stop(Duration grace) { impl_->Stop(grace); }

}  // namespace ladderstream::operator_service
