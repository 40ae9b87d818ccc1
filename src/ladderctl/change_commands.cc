// The commands that change something.
#include <absl/strings/str_cat.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

#include "ladderctl/commands.h"
#include "ladderctl/declaration.h"
#include "ladderctl/usage_error.h"
#include "operator_service/proto_conversion.h"
#include "wire/result_code.h"

namespace ladderstream::ladderctl {
namespace {

using Stub = proto::OperatorService::Stub;
using google::protobuf::util::MessageDifferencer;

void RequireGiven(const std::string& value, const std::string& flag) {
  if (value.empty()) {
    throw UsageError(absl::StrCat("--", flag, " is missing"));
  }
}

template <typename Items>
auto FindItem(const Items& items, const std::string& name) -> decltype(&*items.begin()) {
  const auto found = std::find_if(items.begin(), items.end(),
                                  [&](const auto& item) { return item.name() == name; });
  return found == items.end() ? nullptr : &*found;
}

/// With the defaults that a server would fill in.
template <typename Message>
Message Completed(const Message& message) {
  return operator_service::ToProto(operator_service::FromProto(message));
}

[[noreturn]] void ThrowUnknown(const std::string& name, const proto::ChangeHeader& header) {
  proto::Result result;
  result.set_code(static_cast<uint32_t>(ResultCode::kUnknownName));
  result.set_name(std::string(NameOf(ResultCode::kUnknownName)));
  result.set_message(absl::StrCat("name \"", name, "\" is not in the configuration"));
  result.set_field("name");
  result.set_operation_id(header.operation_id());
  throw CallRefused(result);
}

}  // namespace

proto::ChangeHeader Commands::Header() const {
  if (!options_.expected_revision.has_value() && !options_.any_revision) {
    throw UsageError(
        "--expected_revision=N (ladderctl status shows it) or --any_revision is missing");
  }
  return HeaderFor(0);
}

proto::ChangeHeader Commands::HeaderFor(uint64_t revision) const {
  proto::ChangeHeader header;
  header.set_operation_id(options_.operation_id);
  if (options_.any_revision) {
    header.set_any_revision(true);
  } else {
    header.set_expected_revision(options_.expected_revision.value_or(revision));
  }
  return header;
}

int Commands::Accepted(const proto::ChangeResponse& response) {
  report_.Write(response.result());
  return kExitOk;
}

int Commands::CreateService() {
  RequireGiven(options_.name, "name");
  proto::CreateServiceRequest request;
  *request.mutable_header() = Header();
  request.mutable_service()->set_name(options_.name);
  ApplyOptions(options_.service, request.mutable_service());
  return Accepted(client_.Call(&Stub::CreateService, request));
}

int Commands::UpdateService() {
  RequireGiven(options_.name, "name");
  const proto::GetConfigurationResponse current = Current();
  proto::UpdateServiceRequest request;
  *request.mutable_header() = HeaderFor(current.revision());
  const proto::Service* const service = FindItem(current.services(), options_.name);
  if (service == nullptr) {
    ThrowUnknown(options_.name, request.header());
  }
  *request.mutable_service() = *service;
  ApplyOptions(options_.service, request.mutable_service());
  return Accepted(client_.Call(&Stub::UpdateService, request));
}

int Commands::DeleteService() {
  RequireGiven(options_.name, "name");
  proto::DeleteServiceRequest request;
  *request.mutable_header() = Header();
  request.set_name(options_.name);
  return Accepted(client_.Call(&Stub::DeleteService, request));
}

int Commands::CreateRoute() {
  RequireGiven(options_.name, "name");
  proto::CreateRouteRequest request;
  *request.mutable_header() = Header();
  request.mutable_route()->set_name(options_.name);
  ApplyOptions(options_.route, request.mutable_route());
  return Accepted(client_.Call(&Stub::CreateRoute, request));
}

int Commands::UpdateRoute() {
  RequireGiven(options_.name, "name");
  const proto::GetConfigurationResponse current = Current();
  proto::UpdateRouteRequest request;
  *request.mutable_header() = HeaderFor(current.revision());
  const proto::Route* const route = FindItem(current.routes(), options_.name);
  if (route == nullptr) {
    ThrowUnknown(options_.name, request.header());
  }
  *request.mutable_route() = *route;
  ApplyOptions(options_.route, request.mutable_route());
  return Accepted(client_.Call(&Stub::UpdateRoute, request));
}

int Commands::DeleteRoute() {
  RequireGiven(options_.name, "name");
  proto::DeleteRouteRequest request;
  *request.mutable_header() = Header();
  request.set_name(options_.name);
  return Accepted(client_.Call(&Stub::DeleteRoute, request));
}

int Commands::UpdateLimits() {
  const proto::GetConfigurationResponse current = Current();
  proto::UpdateLimitsRequest request;
  *request.mutable_header() = HeaderFor(current.revision());
  *request.mutable_limits() = current.limits();
  ApplyOptions(options_.limits, request.mutable_limits());
  return Accepted(client_.Call(&Stub::UpdateLimits, request));
}

int Commands::Apply(const std::string& path) {
  const proto::GetConfigurationResponse declaration = ReadDeclaration(path);
  ApplyRun run;
  run.current = Current();
  run.revision = options_.expected_revision.value_or(run.current.revision());
  for (const proto::Service& service : declaration.services()) {
    ++run.position;
    ApplyService(service, &run);
  }
  for (const proto::Route& route : declaration.routes()) {
    ++run.position;
    ApplyRoute(route, &run);
  }
  if (declaration.has_limits()) {
    ++run.position;
    ApplyLimits(declaration.limits(), &run);
  }
  error_ << path << ": " << run.changes << " changes, revision " << run.revision << "\n";
  return kExitOk;
}

void Commands::ApplyService(const proto::Service& service, ApplyRun* run) {
  const proto::Service* const existing = FindItem(run->current.services(), service.name());
  if (existing == nullptr) {
    proto::CreateServiceRequest request;
    *request.mutable_header() = ApplyHeader(*run);
    *request.mutable_service() = service;
    CountChange(client_.Call(&Stub::CreateService, request), run);
  } else if (!MessageDifferencer::Equals(*existing, Completed(service))) {
    proto::UpdateServiceRequest request;
    *request.mutable_header() = ApplyHeader(*run);
    *request.mutable_service() = service;
    CountChange(client_.Call(&Stub::UpdateService, request), run);
  }
}

void Commands::ApplyRoute(const proto::Route& route, ApplyRun* run) {
  const proto::Route* const existing = FindItem(run->current.routes(), route.name());
  if (existing == nullptr) {
    proto::CreateRouteRequest request;
    *request.mutable_header() = ApplyHeader(*run);
    *request.mutable_route() = route;
    CountChange(client_.Call(&Stub::CreateRoute, request), run);
  } else if (!MessageDifferencer::Equals(*existing, Completed(route))) {
    proto::UpdateRouteRequest request;
    *request.mutable_header() = ApplyHeader(*run);
    *request.mutable_route() = route;
    CountChange(client_.Call(&Stub::UpdateRoute, request), run);
  }
}

void Commands::ApplyLimits(const proto::Limits& limits, ApplyRun* run) {
  if (MessageDifferencer::Equals(run->current.limits(), Completed(limits))) {
    return;
  }
  proto::UpdateLimitsRequest request;
  *request.mutable_header() = ApplyHeader(*run);
  *request.mutable_limits() = limits;
  CountChange(client_.Call(&Stub::UpdateLimits, request), run);
}

proto::ChangeHeader Commands::ApplyHeader(const ApplyRun& run) const {
  proto::ChangeHeader header = HeaderFor(run.revision);
  header.set_operation_id(absl::StrCat(options_.operation_id, "-", run.position));
  if (!options_.any_revision) {
    header.set_expected_revision(run.revision);
  }
  return header;
}

void Commands::CountChange(const proto::ChangeResponse& response, ApplyRun* run) {
  ++run->changes;
  run->revision = response.result().revision();
  Accepted(response);
}

}  // namespace ladderstream::ladderctl
