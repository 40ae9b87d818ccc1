#include "daemon/router/request_validation.h"

#include <absl/strings/str_cat.h>

namespace ladderstream {
namespace {

std::optional<ValidationFault> FindKeyFault(const routing::ServiceRoute& service,
                                            const std::string& key) {
  const ServiceConfiguration& configuration = *service.configuration;
  if (key.size() > configuration.limits.max_key_bytes) {
    return ValidationFault{ResultCode::kKeyTooLong,
                           absl::StrCat("the key has ", key.size(), " bytes; at most ",
                                        configuration.limits.max_key_bytes, " are allowed")};
  }
  const bool by_key = configuration.routing == RoutingKind::kByKey;
  if (by_key && (key.empty() || !service.Declares(key))) {
    return ValidationFault{ResultCode::kKeyNotDeclared,
                           "the service declares no prefix that covers the key"};
  }
  return std::nullopt;
}

std::optional<ValidationFault> FindDeadlineFault(const std::optional<Duration>& deadline,
                                                 Duration max_deadline) {
  if (!deadline.has_value()) {
    return std::nullopt;
  }
  if (*deadline > absl::ZeroDuration() && *deadline <= max_deadline) {
    return std::nullopt;
  }
  return ValidationFault{ResultCode::kBadDeadline,
                         absl::StrCat("the deadline must be from 1 to ",
                                      absl::ToInt64Milliseconds(max_deadline), " ms")};
}

}  // namespace

std::optional<ValidationFault> FindFault(const routing::RouteTable& table,
                                         const CallerRequest& request, Duration max_deadline) {
  const routing::ServiceRoute* service = table.FindService(request.service);
  if (service == nullptr) {
    return ValidationFault{ResultCode::kUnknownService,
                           absl::StrCat("no service \"", request.service.value(), "\"")};
  }
  const ServiceConfiguration& configuration = *service->configuration;
  if (FindRequest(configuration, request.request) == nullptr) {
    return ValidationFault{
        ResultCode::kRequestNotDeclared,
        absl::StrCat("the service declares no request \"", request.request, "\"")};
  }
  if (auto fault = FindKeyFault(*service, request.key)) {
    return fault;
  }
  if (request.body.size() > configuration.limits.max_body_bytes) {
    return ValidationFault{ResultCode::kBodyTooLarge,
                           absl::StrCat("the body has ", request.body.size(), " bytes; at most ",
                                        configuration.limits.max_body_bytes, " are allowed")};
  }
  return FindDeadlineFault(request.deadline, max_deadline);
}

}  // namespace ladderstream
