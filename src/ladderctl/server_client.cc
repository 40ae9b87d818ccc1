#include "ladderctl/server_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::ladderctl {
namespace {

std::optional<proto::Result> ResultOf(const grpc::Status& status) {
  proto::Result result;
  if (status.error_details().empty() || !result.ParseFromString(status.error_details())) {
    return std::nullopt;
  }
  return result;
}

/// A server gets at least this long, if that much is left, before the next is tried.
constexpr Duration kShortestAttempt = absl::Seconds(2);

/// Whether another server may well do better.
bool IsWorthAnotherServer(const proto::Result& result) {
  const auto code = static_cast<ResultCode>(result.code());
  return code == ResultCode::kStoreUnavailable || code == ResultCode::kChangePending;
}

/// Whether the call certainly did not leave: no connection came about. A connection that broke is
/// UNAVAILABLE as well.
bool SurelyNotSent(const grpc::Status& status) {
  return status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         absl::StartsWith(status.error_message(), "failed to connect");
}

}  // namespace

ServerClient::ServerClient(std::vector<std::string> servers, Duration timeout)
    : servers_(std::move(servers)), timeout_(timeout) {}

proto::OperatorService::Stub& ServerClient::StubOf(const std::string& server) {
  std::unique_ptr<proto::OperatorService::Stub>& stub = stubs_[server];
  if (stub == nullptr) {
    const auto channel = grpc::CreateChannel(server, grpc::InsecureChannelCredentials());
    stub = proto::OperatorService::NewStub(channel);
  }
  return *stub;
}

Duration ServerClient::AttemptTimeout(absl::Time end, size_t servers_left) const {
  const Duration left = end - absl::Now();
  const Duration share = left / static_cast<int64_t>(servers_left);
  return std::max(share, std::min(left, kShortestAttempt));
}

void ServerClient::TryServers(const std::vector<std::string>& servers, const Attempt& attempt) {
  const absl::Time end = absl::Now() + timeout_;
  size_t servers_left = servers.size();
  std::optional<proto::Result> refusal;
  std::string failures;
  bool may_have_arrived = false;
  for (const std::string& server : servers) {
    grpc::ClientContext context;
    context.set_deadline(absl::ToChronoTime(absl::Now() + AttemptTimeout(end, servers_left--)));
    const grpc::Status status = attempt(StubOf(server), context);
    if (status.ok()) {
      return;
    }
    const std::optional<proto::Result> result = ResultOf(status);
    if (result.has_value() && !IsWorthAnotherServer(*result)) {
      throw CallRefused(*result);
    }
    if (result.has_value()) {
      // What is pending stays so, whatever a later server could not find out.
      const bool is_pending = refusal.has_value() &&
                              refusal->code() == static_cast<uint32_t>(ResultCode::kChangePending);
      refusal = is_pending ? refusal : result;
      continue;
    }
    may_have_arrived = may_have_arrived || !SurelyNotSent(status);
    absl::StrAppend(&failures, failures.empty() ? "" : "; ", server, ": ", status.error_message());
  }
  if (refusal.has_value()) {
    throw CallRefused(*refusal);
  }
  throw ServersUnreachable(failures, may_have_arrived);
}

}  // namespace ladderstream::ladderctl
