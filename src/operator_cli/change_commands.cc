// The commands that change something.
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <optional>

#include "daemon/operator/proto_conversion.h"
#include "operator_cli/commands.h"
#include "operator_cli/declaration.h"
#include "operator_cli/usage_error.h"
#include "wire/result_code.h"

namespace ladderstream::operator_cli {
namespace {

using Stub = proto::OperatorService::Stub;
using google::protobuf::util::MessageDifferencer;

constexpr Duration kWaitInterval = absl::Milliseconds(200);

void RequireGiven(const std::string& value, const std::string& flag) {
  if (value.empty()) {
    throw UsageError(absl::StrCat("--", flag, " is missing"));
  }
}

const proto::Service* FindService(const proto::GetConfigurationResponse& configuration,
                                  const std::string& name) {
  const auto& services = configuration.services();
  const auto found = std::find_if(services.begin(), services.end(),
                                  [&](const auto& service) { return service.name() == name; });
  return found == services.end() ? nullptr : &*found;
}

const proto::Backend* FindBackend(const proto::GetConfigurationResponse& configuration,
                                  const std::string& id) {
  const auto& backends = configuration.backends();
  const auto found = std::find_if(backends.begin(), backends.end(),
                                  [&](const auto& backend) { return backend.id() == id; });
  return found == backends.end() ? nullptr : &*found;
}

/// With the defaults that a node would fill in.
proto::Service Completed(const proto::Service& service) {
  return daemon::ToProto(daemon::FromProto(service));
}
proto::Backend Completed(const proto::Backend& backend) {
  return daemon::ToProto(daemon::FromProto(backend));
}

[[noreturn]] void ThrowUnknown(const std::string& field, const std::string& name,
                               const proto::ChangeHeader& header) {
  proto::Result result;
  result.set_code(static_cast<uint32_t>(ResultCode::kUnknownName));
  result.set_name(std::string(NameOf(ResultCode::kUnknownName)));
  result.set_message(absl::StrCat(field, " \"", name, "\" is not in the configuration"));
  result.set_field(field);
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
  request.mutable_service()->set_routing(proto::ROUTING_KIND_BY_KEY);
  ApplyOptions(options_.service, request.mutable_service());
  return Accepted(client_.Call(&Stub::CreateService, request));
}

int Commands::UpdateService() {
  RequireGiven(options_.name, "name");
  const auto current = client_.Call(&Stub::GetConfiguration, proto::GetConfigurationRequest());
  proto::UpdateServiceRequest request;
  *request.mutable_header() = HeaderFor(current.revision());
  const proto::Service* const service = FindService(current, options_.name);
  if (service == nullptr) {
    ThrowUnknown("name", options_.name, request.header());
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

int Commands::RegisterBackend() {
  RequireGiven(options_.id, "id");
  proto::RegisterBackendRequest request;
  *request.mutable_header() = Header();
  request.mutable_backend()->set_id(options_.id);
  ApplyOptions(options_.backend_options, request.mutable_backend());
  return Accepted(client_.Call(&Stub::RegisterBackend, request));
}

int Commands::UpdateBackend() {
  RequireGiven(options_.id, "id");
  const auto current = client_.Call(&Stub::GetConfiguration, proto::GetConfigurationRequest());
  proto::UpdateBackendRequest request;
  *request.mutable_header() = HeaderFor(current.revision());
  const proto::Backend* const backend = FindBackend(current, options_.id);
  if (backend == nullptr) {
    ThrowUnknown("id", options_.id, request.header());
  }
  *request.mutable_backend() = *backend;
  ApplyOptions(options_.backend_options, request.mutable_backend());
  return Accepted(client_.Call(&Stub::UpdateBackend, request));
}

int Commands::RemoveBackend() {
  RequireGiven(options_.id, "id");
  proto::RemoveBackendRequest request;
  *request.mutable_header() = Header();
  request.set_id(options_.id);
  return Accepted(client_.Call(&Stub::RemoveBackend, request));
}

int Commands::Drain() {
  RequireGiven(options_.id, "id");
  proto::DrainBackendRequest request;
  *request.mutable_header() = Header();
  request.set_id(options_.id);
  const int code = Accepted(client_.Call(&Stub::DrainBackend, request));
  return options_.wait ? WaitUntilDrained() : code;
}

int Commands::Undrain() {
  RequireGiven(options_.id, "id");
  proto::UndrainBackendRequest request;
  *request.mutable_header() = Header();
  request.set_id(options_.id);
  return Accepted(client_.Call(&Stub::UndrainBackend, request));
}

int Commands::MoveKey() {
  RequireGiven(options_.key, "key");
  RequireGiven(options_.backend, "backend");
  proto::MoveKeyRequest request;
  *request.mutable_header() = Header();
  request.set_service(options_.backend_options.service.value_or(""));
  request.set_key(options_.key);
  request.set_backend_id(options_.backend);
  const int code = Accepted(client_.Call(&Stub::MoveKey, request));
  return options_.wait ? WaitUntilMoved() : code;
}

int Commands::WaitUntilDrained() {
  const absl::Time end = absl::Now() + options_.timeout;
  while (absl::Now() < end) {
    const auto response = client_.Call(&Stub::ListBackends, proto::ListBackendsRequest());
    const auto& backends = response.backends();
    const bool is_drained = std::all_of(backends.begin(), backends.end(), [&](const auto& state) {
      return state.backend().id() != options_.id || (state.draining() && state.owned_shards() == 0);
    });
    if (is_drained) {
      return kExitOk;
    }
    absl::SleepFor(kWaitInterval);
  }
  error_ << options_.id << " still owns keys after " << absl::FormatDuration(options_.timeout)
         << "; the drain goes on\n";
  return kExitPending;
}

int Commands::WaitUntilMoved() {
  const absl::Time end = absl::Now() + options_.timeout;
  proto::ListAssignmentsRequest request;
  request.set_service(options_.backend_options.service.value_or(""));
  request.set_backend_id(options_.backend);
  while (absl::Now() < end) {
    const auto response = client_.Call(&Stub::ListAssignments, request);
    const auto& assignments = response.assignments();
    const bool is_moved =
        std::any_of(assignments.begin(), assignments.end(), [&](const auto& assignment) {
          return assignment.key() == options_.key &&
                 assignment.state() == proto::ASSIGNMENT_STATE_OWNED;
        });
    if (is_moved) {
      return kExitOk;
    }
    absl::SleepFor(kWaitInterval);
  }
  error_ << options_.key << " is not at " << options_.backend << " after "
         << absl::FormatDuration(options_.timeout) << "\n";
  return kExitPending;
}

int Commands::Apply(const std::string& path) {
  const Declaration declaration = ReadDeclaration(path);
  ApplyRun run;
  run.current = client_.Call(&Stub::GetConfiguration, proto::GetConfigurationRequest());
  run.revision = options_.expected_revision.value_or(run.current.revision());
  for (const proto::Service& service : declaration.services) {
    ++run.position;
    ApplyService(service, &run);
  }
  for (const proto::Backend& backend : declaration.backends) {
    ++run.position;
    ApplyBackend(backend, &run);
  }
  error_ << path << ": " << run.changes << " changes, revision " << run.revision << "\n";
  return kExitOk;
}

void Commands::ApplyService(const proto::Service& service, ApplyRun* run) {
  const proto::Service* const existing = FindService(run->current, service.name());
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

void Commands::ApplyBackend(const proto::Backend& backend, ApplyRun* run) {
  const proto::Backend* const existing = FindBackend(run->current, backend.id());
  if (existing == nullptr) {
    proto::RegisterBackendRequest request;
    *request.mutable_header() = ApplyHeader(*run);
    *request.mutable_backend() = backend;
    CountChange(client_.Call(&Stub::RegisterBackend, request), run);
  } else if (!MessageDifferencer::Equals(*existing, Completed(backend))) {
    proto::UpdateBackendRequest request;
    *request.mutable_header() = ApplyHeader(*run);
    *request.mutable_backend() = backend;
    CountChange(client_.Call(&Stub::UpdateBackend, request), run);
  }
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

}  // namespace ladderstream::operator_cli
