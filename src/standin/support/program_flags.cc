#include "standin/support/program_flags.h"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "wire/result_code.h"

DECLARE_bool(help);
DECLARE_bool(version);

namespace google {
// Exported by gflags, yet not declared in its header: called when a command line is refused.
extern void (*gflags_exitfunc)(int);
}  // namespace google

namespace ladderstream::standin {
namespace {

constexpr char kVersion[] = "0.1.0";
// The stand-ins' own flags are defined in files of this directory.
constexpr char kOwnFlagFiles[] = "standin/";

void ExitOnBadFlag(int /*code*/) { std::exit(kBadCommandLine); }

}  // namespace

void ParseProgramFlags(const std::string& usage, int argc, char** argv) {
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(kVersion);
  google::gflags_exitfunc = ExitOnBadFlag;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, /*remove_flags=*/true);
  if (FLAGS_help) {
    gflags::ShowUsageWithFlagsRestrict(argv[0], kOwnFlagFiles);
    std::exit(EXIT_SUCCESS);
  }
  if (FLAGS_version) {
    std::cout << gflags::ProgramInvocationShortName() << " " << kVersion << "\n";
    std::exit(EXIT_SUCCESS);
  }
  if (argc > 1) {
    std::cerr << "ERROR: stray argument '" << argv[1] << "'; see --help\n";
    std::exit(kBadCommandLine);
  }
}

int RunProgram(int (*program)()) {
  try {
    return program();
  } catch (const Error& error) {
    std::cerr << "ERROR: " << error.what() << "\n";
    return kBadCommandLine;
  }
}

void FlagChecks::Require(bool holds, const std::string& flag, const std::string& value,
                         const std::string& allowed) {
  if (!holds) {
    faults_.push_back(absl::StrCat("ERROR: --", flag, "=\"", value, "\": want ", allowed));
  }
}

Endpoint FlagChecks::RequireEndpoint(const std::string& flag, const std::string& value,
                                     bool any_port) {
  constexpr char kAnyPort[] = ":0";
  if (any_port && value.size() > 2 && value.ends_with(kAnyPort)) {
    return Endpoint{value.substr(0, value.size() - 2), 0};
  }
  try {
    return ParseEndpoint(value);
  } catch (const Error& error) {
    Require(false, flag, value, any_port ? "IP:PORT, port 0 to 65535" : "IP:PORT, port 1 to 65535");
    return Endpoint{};
  }
}

void FlagChecks::ExitOnFaults() const {
  for (const std::string& fault : faults_) {
    std::cerr << fault << "\n";
  }
  if (!faults_.empty()) {
    std::exit(kBadCommandLine);
  }
}

}  // namespace ladderstream::standin
