#include "operator_cli/node_client.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "wire/result_code.h"

namespace ladderstream::operator_cli {
namespace {

std::optional<proto::Result> ResultOf(const grpc::Status& status) {
  proto::Result result;
  if (status.error_details().empty() || !result.ParseFromString(status.error_details())) {
    return std::nullopt;
  }
  return result;
}

/// A node gets at least this long, if that much is left, before the next is tried.
constexpr Duration kShortestAttempt = absl::Seconds(2);

/// Whether another node may well do better.
bool IsWorthAnotherNode(const proto::Result& result) {
  const auto code = static_cast<ResultCode>(result.code());
  return code == ResultCode::kNoLeader || code == ResultCode::kStoreUnavailable ||
         code == ResultCode::kChangePending;
}

}  // namespace

NodeClient::NodeClient(std::vector<std::string> nodes, Duration timeout)
    : nodes_(std::move(nodes)), timeout_(timeout) {}

proto::OperatorService::Stub& NodeClient::StubOf(const std::string& node) {
  std::unique_ptr<proto::OperatorService::Stub>& stub = stubs_[node];
  if (stub == nullptr) {
    const auto channel = grpc::CreateChannel(node, grpc::InsecureChannelCredentials());
    stub = proto::OperatorService::NewStub(channel);
  }
  return *stub;
}

Duration NodeClient::AttemptTimeout(absl::Time end, size_t nodes_left) const {
  const Duration left = end - absl::Now();
  const Duration share = left / static_cast<int64_t>(nodes_left);
  return std::max(share, std::min(left, kShortestAttempt));
}

void NodeClient::TryNodes(const std::vector<std::string>& nodes, const Attempt& attempt) {
  const absl::Time end = absl::Now() + timeout_;
  size_t nodes_left = nodes.size();
  std::optional<proto::Result> refusal;
  std::string failures;
  bool may_have_arrived = false;
  for (const std::string& node : nodes) {
    grpc::ClientContext context;
    context.set_deadline(absl::ToChronoTime(absl::Now() + AttemptTimeout(end, nodes_left--)));
    const grpc::Status status = attempt(StubOf(node), context);
    if (status.ok()) {
      return;
    }
    const std::optional<proto::Result> result = ResultOf(status);
    if (result.has_value() && !IsWorthAnotherNode(*result)) {
      throw CallRefused(*result);
    }
    if (result.has_value()) {
      // What is pending stays so, whatever a later node could not find out.
      const bool is_pending = refusal.has_value() &&
                              refusal->code() == static_cast<uint32_t>(ResultCode::kChangePending);
      refusal = is_pending ? refusal : result;
      continue;
    }
    may_have_arrived = may_have_arrived || status.error_code() != grpc::StatusCode::UNAVAILABLE;
    absl::StrAppend(&failures, failures.empty() ? "" : "; ", node, ": ", status.error_message());
  }
  if (refusal.has_value()) {
    throw CallRefused(*refusal);
  }
  throw NodesUnreachable(failures, may_have_arrived);
}

}  // namespace ladderstream::operator_cli
