#include "ladderctl/commands.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <utility>

#include "ladderctl/usage_error.h"
#include "wire/result_code.h"

namespace ladderstream::ladderctl {

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
  static const std::array<Row, 13> kRows;
};

const std::array<CommandTable::Row, 13> CommandTable::kRows = {{
    {"create-service", "", "--name [--sharded --warmup_ms --health_path --max_connections]",
     &Commands::CreateService, nullptr},
    {"update-service", "", "--name and what changes; the rest stays", &Commands::UpdateService,
     nullptr},
    {"delete-service", "", "--name; no route may lead to it", &Commands::DeleteService, nullptr},
    {"create-route", "", "--name --host --path_prefix --targets [--repeatable --timeout_ms ...]",
     &Commands::CreateRoute, nullptr},
    {"update-route", "", "--name and what changes; the rest stays", &Commands::UpdateRoute,
     nullptr},
    {"delete-route", "", "--name", &Commands::DeleteRoute, nullptr},
    {"update-limits", "", "[--max_header_bytes --max_body_bytes ...]; the rest stays",
     &Commands::UpdateLimits, nullptr},
    {"apply", "FILE", "create and update what a TOML or JSON file declares", nullptr,
     &Commands::Apply},
    {"get-configuration", "", "the newest configuration", &Commands::GetConfiguration, nullptr},
    {"list-backends", "", "[--service]", &Commands::ListBackends, nullptr},
    {"list-assignments", "", "[--service] [--backend]: who owns what", &Commands::ListAssignments,
     nullptr},
    {"get-operation", "OPERATION_ID", "what became of a change", nullptr, &Commands::GetOperation},
    {"status", "", "revision, coordinator, back ends, keys without owner", &Commands::Status,
     nullptr},
}};

namespace {

using Stub = proto::OperatorService::Stub;

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
      "Operates ladderstream through any ladderstream_operatord.\n"
      "usage: ladderctl COMMAND [--servers=IP:PORT,...] [--output=table|json] ...\n\n"
      "Each change needs --expected_revision=N or --any_revision; updates and apply expect the\n"
      "revision they have read when neither is given. The operation id is printed; the same\n"
      "command with --operation_id=ID may be sent again without harm.\n\n";
  for (const CommandTable::Row& row : CommandTable::kRows) {
    std::string line = absl::StrCat("  ", row.word, " ", row.argument);
    line.resize(std::max(line.size() + 1, kHelpColumn), ' ');
    absl::StrAppend(&text, line, row.help, "\n");
  }
  absl::StrAppend(&text,
                  "\nexit codes: 0 done, 1 refused, 2 bad usage, 3 no server reachable (nothing "
                  "changed),\n4 pending: not decided yet, send it again under its operation id");
  return text;
}

Commands::Commands(Options options, std::ostream& out, std::ostream& error)
    : options_(std::move(options)),
      client_(options_.servers, options_.timeout),
      out_(out),
      error_(error),
      report_(options_.output, out_) {}

int Commands::Run(const std::vector<std::string>& words) {
  try {
    return RunCommand(words);
  } catch (const UsageError& error) {
    error_ << "usage: " << error.what() << "\n";
    return kExitUsage;
  } catch (const CallRefused& error) {
    return Refused(error.result());
  } catch (const ServersUnreachable& error) {
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

int Commands::Unreachable(const ServersUnreachable& error) {
  error_ << "no server answered: " << error.what() << "\n";
  if (!error.may_have_arrived()) {
    return kExitUnreachable;
  }
  error_ << "a change may have been made: send it again with --operation_id="
         << options_.operation_id << "\n";
  return kExitPending;
}

proto::GetConfigurationResponse Commands::Current() {
  return client_.Call(&Stub::GetConfiguration, proto::GetConfigurationRequest());
}

int Commands::GetConfiguration() {
  report_.Write(Current());
  return kExitOk;
}

int Commands::ListBackends() {
  proto::ListBackendsRequest request;
  request.set_service(options_.service_filter);
  report_.Write(client_.Call(&Stub::ListBackends, request));
  return kExitOk;
}

int Commands::ListAssignments() {
  proto::ListAssignmentsRequest request;
  request.set_service(options_.service_filter);
  request.set_backend_id(options_.backend_filter);
  report_.Write(client_.Call(&Stub::ListAssignments, request));
  return kExitOk;
}

int Commands::GetOperation(const std::string& operation) {
  proto::GetOperationRequest request;
  request.set_operation_id(operation);
  const auto response = client_.Call(&Stub::GetOperation, request);
  report_.Write(response);
  return response.state() == proto::OPERATION_STATE_ACCEPTED ? kExitOk : kExitRefused;
}

int Commands::Status() {
  report_.Write(client_.Call(&Stub::GetStatus, proto::GetStatusRequest()));
  return kExitOk;
}

}  // namespace ladderstream::ladderctl
