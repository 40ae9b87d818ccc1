#include "ladderctl/report.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <google/protobuf/util/json_util.h>

#include <nlohmann/json.hpp>

#include "ladderctl/declaration.h"
#include "ladderctl/table_writer.h"

namespace ladderstream::ladderctl {
namespace {

constexpr int kJsonIndent = 2;

std::string YesNo(bool value) { return value ? "yes" : "no"; }

/// A bound that 0 takes away.
std::string BoundText(uint32_t milliseconds) {
  return milliseconds == 0 ? "" : absl::StrCat(milliseconds, "ms");
}

/// "OPERATION_STATE_ACCEPTED" becomes "accepted".
std::string StateText(proto::OperationState state) {
  constexpr char kPrefix[] = "OPERATION_STATE_";
  return absl::AsciiStrToLower(proto::OperationState_Name(state).substr(sizeof(kPrefix) - 1));
}

}  // namespace

void Report::WriteJson(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text, options);
  out_ << nlohmann::json::parse(text).dump(kJsonIndent) << "\n";
}

void Report::WriteTable(const proto::Result& result) {
  out_ << result.code() << " " << result.name() << ", revision " << result.revision()
       << ", operation " << result.operation_id() << "\n";
  if (result.faults().empty()) {
    out_ << result.message() << "\n";
    return;
  }
  TableWriter table({"CODE", "FIELD", "VALUE", "ALLOWED"});
  for (const proto::Fault& fault : result.faults()) {
    table.AddRow({absl::StrCat(fault.code()), fault.field(), fault.value(), fault.allowed()});
  }
  table.Write(out_);
}

void Report::WriteTable(const proto::GetConfigurationResponse& configuration) {
  out_ << "revision " << configuration.revision() << "\n\n";
  TableWriter services({"SERVICE", "SHARDED", "WARM-UP", "HEALTH", "CONNECTIONS"});
  for (const proto::Service& service : configuration.services()) {
    services.AddRow({service.name(), YesNo(service.sharded()), BoundText(service.warmup_ms()),
                     service.health_path(), absl::StrCat(service.max_connections())});
  }
  services.Write(out_);
  out_ << "\n";
  TableWriter routes({"ROUTE", "HOST", "PREFIX", "REPEATABLE", "TIMEOUT", "TARGET", "ATTEMPTS",
                      "PRIORITY", "SERVICES"});
  for (const proto::Route& route : configuration.routes()) {
    routes.AddRow({route.name(), route.host(), route.path_prefix(), YesNo(route.repeatable()),
                   BoundText(route.timeout_ms()), BoundText(route.target_latency_ms()),
                   absl::StrCat(route.max_attempts()), absl::StrCat(route.priority()),
                   TargetsText(route)});
  }
  routes.Write(out_);
  const proto::Limits& limits = configuration.limits();
  out_ << "\nlimits: headers " << limits.max_header_bytes() << " bytes within "
       << limits.header_timeout_ms() << "ms, body " << limits.max_body_bytes() << " bytes, idle "
       << limits.idle_timeout_ms() << "ms\n";
}

void Report::WriteTable(const proto::ListBackendsResponse& backends) {
  TableWriter table({"BACKEND", "SERVICE", "ZONE", "ENDPOINT", "SLOTS", "DRAINING", "KEYS"});
  for (const proto::Backend& backend : backends.backends()) {
    table.AddRow({backend.id(), backend.service(), backend.zone(), backend.endpoint(),
                  absl::StrCat(backend.slots()), YesNo(backend.draining()),
                  absl::StrCat(backend.owned_keys())});
  }
  table.Write(out_);
}

void Report::WriteTable(const proto::ListAssignmentsResponse& assignments) {
  TableWriter table({"SERVICE", "FIRST", "LAST", "OWNER", "FENCE"});
  for (const proto::Assignment& assignment : assignments.assignments()) {
    table.AddRow({assignment.service(), absl::StrCat(assignment.first_key()),
                  absl::StrCat(assignment.last_key()), assignment.owner(),
                  absl::StrCat(assignment.fence())});
  }
  table.Write(out_);
}

void Report::WriteTable(const proto::GetOperationResponse& operation) {
  out_ << StateText(operation.state()) << ", revision " << operation.revision() << "\n";
}

void Report::WriteTable(const proto::GetStatusResponse& status) {
  TableWriter table(
      {"REVISION", "COORDINATOR", "EPOCH", "BACKENDS", "DRAINING", "SHARDED", "UNOWNED KEYS"});
  table.AddRow({absl::StrCat(status.revision()), status.coordinator_endpoint(),
                absl::StrCat(status.coordinator_epoch()), absl::StrCat(status.backends()),
                absl::StrCat(status.draining_backends()), absl::StrCat(status.sharded_services()),
                absl::StrCat(status.unowned_keys())});
  table.Write(out_);
}

}  // namespace ladderstream::ladderctl
