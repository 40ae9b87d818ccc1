#include "settings/program_flags.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DECLARE_bool(help);
DECLARE_bool(version);

namespace google {
// Exported by gflags, yet not declared in its header: called when a command line is refused.
extern void (*gflags_exitfunc)(int);
}  // namespace google

namespace ladderstream::settings {

void ParseProgramFlags(const std::string& usage, const std::string& own_files, int* argc,
                       char*** argv) {
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(kProgramVersion);
  google::gflags_exitfunc = [](int /*code*/) { std::exit(kExitBadUsage); };
  gflags::ParseCommandLineNonHelpFlags(argc, argv, /*remove_flags=*/true);
  if (FLAGS_help) {
    gflags::ShowUsageWithFlagsRestrict((*argv)[0], own_files.c_str());
    std::exit(EXIT_SUCCESS);
  }
  if (FLAGS_version) {
    std::cout << gflags::ProgramInvocationShortName() << " " << kProgramVersion << "\n";
    std::exit(EXIT_SUCCESS);
  }
}

}  // namespace ladderstream::settings
