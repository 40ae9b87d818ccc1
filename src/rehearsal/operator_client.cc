#include "rehearsal/operator_client.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <nlohmann/json.hpp>

#include "wire/result_code.h"

namespace ladderstream::rehearsal {
namespace {

constexpr absl::Duration kCommandTimeout = absl::Seconds(40);
constexpr char kDeclarationFile[] = "declaration.json";

std::string PriorityName(Priority priority) {
  switch (priority) {
    case Priority::kCritical:
      return "critical";
    case Priority::kNormal:
      return "normal";
    case Priority::kBulk:
      return "bulk";
  }
  return "normal";
}

nlohmann::json ToJson(const ServiceConfiguration& service) {
  nlohmann::json requests = nlohmann::json::array();
  for (const RequestRule& rule : service.requests) {
    requests.push_back({{"name", rule.name},
                        {"repeatable", rule.repeatable},
                        {"priority", PriorityName(rule.priority)},
                        {"default_deadline_ms", rule.default_deadline_ms}});
  }
  return {{"name", service.name.value()},
          {"routing", service.routing == RoutingKind::kByKey ? "by-key" : "by-load"},
          {"key_prefixes", service.key_prefixes},
          {"range_count", service.range_count},
          {"requests", requests},
          {"weights",
           {{"imbalance", service.weights.imbalance},
            {"churn", service.weights.churn},
            {"unavailable_time", service.weights.unavailable_time}}}};
}

nlohmann::json ToJson(const BackendConfiguration& backend) {
  return {{"id", backend.id.value()}, {"service", backend.service.value()},
          {"zone", backend.zone},     {"endpoint", FormatEndpoint(backend.endpoint)},
          {"slots", backend.slots},   {"max_connections", backend.max_connections}};
}

}  // namespace

void OperatorClient::Declare(const std::vector<ServiceConfiguration>& services,
                             const std::vector<BackendConfiguration>& backends) {
  nlohmann::json declaration = {{"services", nlohmann::json::array()},
                                {"backends", nlohmann::json::array()}};
  for (const ServiceConfiguration& service : services) {
    declaration["services"].push_back(ToJson(service));
  }
  for (const BackendConfiguration& backend : backends) {
    declaration["backends"].push_back(ToJson(backend));
  }
  const auto file = processes_->WriteFile(kDeclarationFile, declaration.dump(2));
  Run({"apply", file.string(), "--any_revision"});
}

void OperatorClient::Drain(const std::string& backend) {
  Run({"drain", absl::StrCat("--id=", backend), "--any_revision"});
}

void OperatorClient::Undrain(const std::string& backend) {
  Run({"undrain", absl::StrCat("--id=", backend), "--any_revision"});
}

void OperatorClient::MoveKey(const std::string& service, const std::string& key,
                             const std::string& backend) {
  Run({"move-key", absl::StrCat("--service=", service), absl::StrCat("--key=", key),
       absl::StrCat("--backend=", backend), "--any_revision"});
}

std::string OperatorClient::Status() { return Run({"status"}); }

std::string OperatorClient::Run(const std::vector<std::string>& words) {
  const std::string name = absl::StrCat("ladderctl-", ++commands_);
  std::vector<std::string> arguments = {absl::StrCat("--nodes=", absl::StrJoin(nodes_, ","))};
  arguments.insert(arguments.end(), words.begin(), words.end());
  processes_->Start({.name = name, .program = program_, .arguments = arguments});
  const auto exit = processes_->WaitForExit(name, kCommandTimeout);
  if (!exit) {
    processes_->Kill(name);
  }
  std::string said = processes_->ReadLog(name);
  if (!exit || exit->code != 0) {
    throw Error(ResultCode::kInternal,
                absl::StrCat("ladderctl ", absl::StrJoin(words, " "), ": ", said));
  }
  return said;
}

}  // namespace ladderstream::rehearsal
