#include "operator_cli/commands.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <utility>

#include "operator_cli/usage_error.h"
#include "wire/result_code.h"

namespace ladderstream::operator_cli {

/// What each word does.
struct CommandTable {
  struct Row {
    const char* word;
    /// Name of the one argument after the word; empty when it takes none.
    const char* argument;
    const char* help;
    int (Commands::*run)();
    int (Commands::*run_with_argument)(const std::string&);
  };
  static const std::array<Row, 17> kRows;
};

const std::array<CommandTable::Row, 17> CommandTable::kRows = {{
    {"create-service", "", "--name --key_prefixes --requests [--routing --weights ...]",
     &Commands::CreateService, nullptr},
    {"update-service", "", "--name and what changes; the rest stays", &Commands::UpdateService,
     nullptr},
    {"delete-service", "", "--name", &Commands::DeleteService, nullptr},
    {"register-backend", "", "--id --service --zone --endpoint [--slots --max_connections]",
     &Commands::RegisterBackend, nullptr},
    {"update-backend", "", "--id and what changes; the rest stays", &Commands::UpdateBackend,
     nullptr},
    {"remove-backend", "", "--id; it must own no key: drain it first", &Commands::RemoveBackend,
     nullptr},
    {"drain", "", "--id [--wait]: no new keys, and gives up its own", &Commands::Drain, nullptr},
    {"undrain", "", "--id", &Commands::Undrain, nullptr},
    {"move-key", "", "--service --key --backend [--wait]", &Commands::MoveKey, nullptr},
    {"apply", "FILE", "create and update what a TOML or JSON file declares", nullptr,
     &Commands::Apply},
    {"get-configuration", "", "the configuration in force", &Commands::GetConfiguration, nullptr},
    {"list-services", "", "the services in force", &Commands::ListServices, nullptr},
    {"list-backends", "", "[--service]", &Commands::ListBackends, nullptr},
    {"list-assignments", "", "[--service] [--backend]: who owns what", &Commands::ListAssignments,
     nullptr},
    {"get-operation", "OPERATION_ID", "what became of a change", nullptr, &Commands::GetOperation},
    {"status", "", "role, revision in force and its confirmation, of each of --nodes",
     &Commands::Status, nullptr},
    {"watch", "", "status again and again [--interval --count]", &Commands::Watch, nullptr},
}};

namespace {

constexpr Duration kStatusTimeout = absl::Seconds(2);

const CommandTable::Row* FindCommand(const std::string& word) {
  for (const CommandTable::Row& row : CommandTable::kRows) {
    if (word == row.word) {
      return &row;
    }
  }
  return nullptr;
}

}  // namespace

std::string UsageText() {
  constexpr size_t kHelpColumn = 32;
  std::string text =
      "Operates ladderstream through any of its nodes.\n"
      "usage: ladderctl COMMAND [--nodes=IP:PORT,...] [--output=table|json] ...\n\n"
      "Each change needs --expected_revision=N or --any_revision; update-service, update-backend\n"
      "and apply expect the revision they have read when neither is given. The operation id is\n"
      "printed; the same command with --operation_id=ID may be sent again without harm.\n\n";
  for (const CommandTable::Row& row : CommandTable::kRows) {
    std::string line = absl::StrCat("  ", row.word, " ", row.argument);
    line.resize(std::max(line.size() + 1, kHelpColumn), ' ');
    absl::StrAppend(&text, line, row.help, "\n");
  }
  absl::StrAppend(&text,
                  "\nexit codes: 0 done, 1 refused, 2 bad usage, 3 no node reachable (nothing "
                  "changed),\n4 pending: not decided yet, send it again under its operation id");
  return text;
}

Commands::Commands(Options options, std::ostream& out, std::ostream& error)
    : options_(std::move(options)),
      client_(options_.nodes, options_.timeout),
      out_(out),
      error_(error),
      report_(options_.output, out) {}

int Commands::Run(const std::vector<std::string>& words) {
  try {
    return RunCommand(words);
  } catch (const UsageError& error) {
    error_ << "usage: " << error.what() << "\n";
    return kExitUsage;
  } catch (const CallRefused& error) {
    return Refused(error.result());
  } catch (const NodesUnreachable& error) {
    return Unreachable(error);
  }
}

int Commands::RunCommand(const std::vector<std::string>& words) {
  if (words.empty()) {
    throw UsageError("a command is missing; see --help");
  }
  const CommandTable::Row* const row = FindCommand(words.front());
  if (row == nullptr) {
    throw UsageError(absl::StrCat("unknown command ", words.front(), "; see --help"));
  }
  const size_t expected_words = row->run_with_argument == nullptr ? 1 : 2;
  if (words.size() != expected_words) {
    throw UsageError(absl::StrCat(row->word, " takes ", expected_words - 1, " argument ",
                                  row->argument, "; given: ", words.size() - 1));
  }
  return row->run_with_argument == nullptr ? (this->*row->run)()
                                           : (this->*row->run_with_argument)(words.back());
}

int Commands::Refused(const proto::Result& result) {
  report_.Write(result);
  return result.code() == static_cast<uint32_t>(ResultCode::kChangePending) ? kExitPending
                                                                            : kExitRefused;
}

int Commands::Unreachable(const NodesUnreachable& error) {
  error_ << "no node answered: " << error.what() << "\n";
  if (!error.may_have_arrived()) {
    return kExitUnreachable;
  }
  error_ << "a change may have been made: send it again with --operation_id="
         << options_.operation_id << "\n";
  return kExitPending;
}

int Commands::GetConfiguration() {
  report_.Write(client_.Call(&proto::OperatorService::Stub::GetConfiguration,
                             proto::GetConfigurationRequest()));
  return kExitOk;
}

int Commands::ListServices() {
  report_.Write(
      client_.Call(&proto::OperatorService::Stub::ListServices, proto::ListServicesRequest()));
  return kExitOk;
}

int Commands::ListBackends() {
  proto::ListBackendsRequest request;
  request.set_service(options_.backend_options.service.value_or(""));
  report_.Write(client_.Call(&proto::OperatorService::Stub::ListBackends, request));
  return kExitOk;
}

int Commands::ListAssignments() {
  proto::ListAssignmentsRequest request;
  request.set_service(options_.backend_options.service.value_or(""));
  request.set_backend_id(options_.backend);
  report_.Write(client_.Call(&proto::OperatorService::Stub::ListAssignments, request));
  return kExitOk;
}

int Commands::GetOperation(const std::string& operation) {
  proto::GetOperationRequest request;
  request.set_operation_id(operation);
  const auto response = client_.Call(&proto::OperatorService::Stub::GetOperation, request);
  report_.Write(response);
  switch (response.state()) {
    case proto::OPERATION_STATE_IN_FORCE:
      return kExitOk;
    case proto::OPERATION_STATE_PENDING:
      return kExitPending;
    default:
      return kExitRefused;
  }
}

std::vector<NodeAnswer> Commands::AskAllNodes() {
  // A node that hangs shall not hold up the others' answers.
  NodeClient client(options_.nodes, std::min(options_.timeout, kStatusTimeout));
  std::vector<NodeAnswer> answers;
  answers.reserve(client.nodes().size());
  for (const std::string& node : client.nodes()) {
    NodeAnswer answer;
    answer.address = node;
    try {
      answer.status = client.CallNode(node, &proto::OperatorService::Stub::GetStatus,
                                      proto::GetStatusRequest());
    } catch (const NodesUnreachable& error) {
      answer.failure = error.what();
    }
    answers.push_back(std::move(answer));
  }
  return answers;
}

int Commands::Status() {
  const std::vector<NodeAnswer> answers = AskAllNodes();
  report_.Write(answers);
  for (const NodeAnswer& answer : answers) {
    if (answer.status.has_value()) {
      return kExitOk;
    }
  }
  return kExitUnreachable;
}

int Commands::Watch() {
  int code = kExitOk;
  for (uint32_t round = 0; options_.count == 0 || round < options_.count; ++round) {
    if (round > 0) {
      absl::SleepFor(options_.interval);
      out_ << "\n";
    }
    if (options_.output == OutputFormat::kTable) {
      out_ << absl::FormatTime("%Y-%m-%d %H:%M:%S", absl::Now(), absl::LocalTimeZone()) << "\n";
    }
    code = Status();
    out_.flush();
  }
  return code;
}

}  // namespace ladderstream::operator_cli
