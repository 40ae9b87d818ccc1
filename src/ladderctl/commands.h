// The commands of ladderctl, by word.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "generated/operators.pb.h"
#include "ladderctl/options.h"
#include "ladderctl/report.h"
#include "ladderctl/server_client.h"

namespace ladderstream::ladderctl {

/// Exit codes, as --help gives them.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRefused = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitUnreachable = 3;
inline constexpr int kExitPending = 4;

/// Gives the text of --help.
std::string UsageText();

/// Runs one command. Not thread-safe.
class Commands {
 public:
  Commands(Options options, std::ostream& out, std::ostream& error);

  /// `words` is the command and its arguments. Gives the exit code; every error is printed.
  int Run(const std::vector<std::string>& words);

 private:
  friend struct CommandTable;

  int CreateService();
  int UpdateService();
  int DeleteService();
  int CreateRoute();
  int UpdateRoute();
  int DeleteRoute();
  int UpdateLimits();
  int Apply(const std::string& path);
  int GetConfiguration();
  int ListBackends();
  int ListAssignments();
  int GetOperation(const std::string& operation);
  int Status();

  /// How far `apply` has come.
  struct ApplyRun {
    /// As it was before the first change.
    proto::GetConfigurationResponse current;
    /// The newest revision known.
    uint64_t revision = 0;
    /// Of the item in the file; makes its operation id, the same in every run.
    int position = 0;
    int changes = 0;
  };

  proto::GetConfigurationResponse Current();
  void ApplyService(const proto::Service& service, ApplyRun* run);
  void ApplyRoute(const proto::Route& route, ApplyRun* run);
  void ApplyLimits(const proto::Limits& limits, ApplyRun* run);
  proto::ChangeHeader ApplyHeader(const ApplyRun& run) const;
  void CountChange(const proto::ChangeResponse& response, ApplyRun* run);
  int RunCommand(const std::vector<std::string>& words);
  int Refused(const proto::Result& result);
  int Unreachable(const ServersUnreachable& error);
  int Accepted(const proto::ChangeResponse& response);

  /// The header of this command's change. Throws UsageError when no revision is given.
  proto::ChangeHeader Header() const;
  /// The same, with `revision` expected when none is given.
  proto::ChangeHeader HeaderFor(uint64_t revision) const;

  Options options_;
  ServerClient client_;
  std::ostream& out_;
  std::ostream& error_;
  Report report_;
};

}  // namespace ladderstream::ladderctl
