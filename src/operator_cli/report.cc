#include "operator_cli/report.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <google/protobuf/util/json_util.h>

#include <nlohmann/json.hpp>

#include "operator_cli/declaration.h"
#include "operator_cli/table_writer.h"

namespace ladderstream::operator_cli {
namespace {

constexpr int kJsonIndent = 2;

/// "ASSIGNMENT_STATE_OWNED" becomes "owned".
std::string StateText(const std::string& name, const std::string& prefix) {
  return absl::AsciiStrToLower(name.substr(prefix.size()));
}

std::string ToJsonText(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.always_print_primitive_fields = true;
  options.preserve_proto_field_names = true;
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text, options);
  return text;
}

std::string RequestsText(const proto::Service& service) {
  return absl::StrJoin(
      service.requests(), ",", [](std::string* out, const proto::RequestRule& rule) {
        absl::StrAppend(out, rule.name(), ":", rule.repeatable() ? "repeatable" : "once", ":",
                        PriorityText(rule.priority()), ":", rule.default_deadline_ms());
      });
}

std::string WeightsText(const proto::CostWeights& weights) {
  return absl::StrCat(weights.imbalance(), ":", weights.churn(), ":", weights.unavailable_time());
}

template <typename Services>
void WriteServices(const Services& services, std::ostream& out) {
  TableWriter table({"SERVICE", "ROUTING", "KEYS", "RANGES", "REQUESTS", "WEIGHTS"});
  for (const proto::Service& service : services) {
    table.AddRow({service.name(), RoutingText(service.routing()),
                  absl::StrJoin(service.key_prefixes(), ","), absl::StrCat(service.range_count()),
                  RequestsText(service), WeightsText(service.weights())});
  }
  table.Write(out);
}

std::vector<std::string> BackendCells(const proto::Backend& backend) {
  return {backend.id(),
          backend.service(),
          backend.zone(),
          backend.endpoint(),
          absl::StrCat(backend.slots()),
          absl::StrCat(backend.max_connections())};
}

std::string AgeText(const proto::GetStatusResponse& status) {
  return status.has_confirmed_age_ms() ? absl::StrCat(status.confirmed_age_ms(), "ms") : "never";
}

std::string NodeNames(const google::protobuf::RepeatedPtrField<proto::Node>& nodes) {
  return absl::StrJoin(nodes, ",", [](std::string* out, const proto::Node& node) {
    absl::StrAppend(out, node.name());
  });
}

void WriteAnswers(const std::vector<NodeAnswer>& answers, std::ostream& out) {
  TableWriter table(
      {"ADDRESS", "ROLE", "LEADER", "TERM", "COMMITTED", "REVISION", "CONFIRMED", "AGE", "VOTERS"});
  for (const NodeAnswer& answer : answers) {
    if (!answer.status.has_value()) {
      table.AddRow({answer.address, "unreachable", "", "", "", "", "", "", ""});
      continue;
    }
    const proto::GetStatusResponse& status = *answer.status;
    table.AddRow({answer.address, status.role(), status.leader().name(),
                  absl::StrCat(status.generation(), ".", status.term()),
                  absl::StrCat(status.commit_index()), absl::StrCat(status.revision_in_force()),
                  status.confirmed() ? "yes" : "no", AgeText(status), NodeNames(status.voters())});
  }
  table.Write(out);
}

/// The leader's own list of nodes, if the leader is among the answers.
void WriteReportingNodes(const std::vector<NodeAnswer>& answers, std::ostream& out) {
  for (const NodeAnswer& answer : answers) {
    if (!answer.status.has_value() || answer.status->nodes().empty()) {
      continue;
    }
    out << "\n";
    TableWriter table({"NODE", "REGION", "ZONE", "PEER", "HTTP", "REVISION", "LEAVING"});
    for (const proto::NodeStatus& status : answer.status->nodes()) {
      const proto::Node& node = status.node();
      table.AddRow({node.name(), node.region(), node.zone(), node.peer_endpoint(),
                    node.http_endpoint(), absl::StrCat(status.revision_in_force()),
                    status.leaving() ? "yes" : "no"});
    }
    table.Write(out);
  }
}

}  // namespace

void Report::WriteJson(const google::protobuf::Message& message) {
  out_ << nlohmann::json::parse(ToJsonText(message)).dump(kJsonIndent) << "\n";
}

void Report::Write(const proto::Result& result) {
  if (format_ == OutputFormat::kJson) {
    WriteJson(result);
    return;
  }
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

void Report::Write(const proto::GetConfigurationResponse& configuration) {
  if (format_ == OutputFormat::kJson) {
    WriteJson(configuration);
    return;
  }
  out_ << "revision " << configuration.revision() << "\n\n";
  WriteServices(configuration.services(), out_);
  out_ << "\n";
  TableWriter table({"BACKEND", "SERVICE", "ZONE", "ENDPOINT", "SLOTS", "CONNECTIONS"});
  for (const proto::Backend& backend : configuration.backends()) {
    table.AddRow(BackendCells(backend));
  }
  table.Write(out_);
}

void Report::Write(const proto::ListServicesResponse& services) {
  if (format_ == OutputFormat::kJson) {
    WriteJson(services);
    return;
  }
  WriteServices(services.services(), out_);
}

void Report::Write(const proto::ListBackendsResponse& backends) {
  if (format_ == OutputFormat::kJson) {
    WriteJson(backends);
    return;
  }
  TableWriter table({"BACKEND", "SERVICE", "ZONE", "ENDPOINT", "SLOTS", "CONNECTIONS", "HOME",
                     "DRAINING", "SHARDS"});
  for (const proto::BackendState& state : backends.backends()) {
    std::vector<std::string> cells = BackendCells(state.backend());
    cells.push_back(state.home_node());
    cells.emplace_back(state.draining() ? "yes" : "no");
    cells.push_back(absl::StrCat(state.owned_shards()));
    table.AddRow(std::move(cells));
  }
  table.Write(out_);
}

void Report::Write(const proto::ListAssignmentsResponse& assignments) {
  if (format_ == OutputFormat::kJson) {
    WriteJson(assignments);
    return;
  }
  TableWriter table({"SERVICE", "RANGE", "KEY", "STATE", "OWNER", "NEXT", "TOKEN"});
  for (const proto::Assignment& assignment : assignments.assignments()) {
    const std::string state = proto::AssignmentState_Name(assignment.state());
    table.AddRow({assignment.service(), absl::StrCat(assignment.range()), assignment.key(),
                  StateText(state, "ASSIGNMENT_STATE_"), assignment.owner(),
                  assignment.next_owner(), assignment.token()});
  }
  table.Write(out_);
}

void Report::Write(const proto::GetOperationResponse& operation) {
  if (format_ == OutputFormat::kJson) {
    WriteJson(operation);
    return;
  }
  const std::string state = proto::OperationState_Name(operation.state());
  out_ << StateText(state, "OPERATION_STATE_") << ", revision " << operation.revision() << "\n";
}

void Report::Write(const std::vector<NodeAnswer>& answers) {
  if (format_ == OutputFormat::kTable) {
    WriteAnswers(answers, out_);
    WriteReportingNodes(answers, out_);
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const NodeAnswer& answer : answers) {
    nlohmann::json item = {{"address", answer.address}, {"reachable", answer.status.has_value()}};
    if (answer.status.has_value()) {
      item["status"] = nlohmann::json::parse(ToJsonText(*answer.status));
    } else {
      item["failure"] = answer.failure;
    }
    list.push_back(std::move(item));
  }
  out_ << list.dump(kJsonIndent) << "\n";
}

}  // namespace ladderstream::operator_cli
