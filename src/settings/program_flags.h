// What the command lines of our programs have in common: --help, --version, and exit code 2 for a
// flag that is unknown or cannot be read.
#pragma once

#include <string>

namespace ladderstream::settings {

inline constexpr char kProgramVersion[] = "0.1.0";

/// Exit code of a program that was started with a bad command line or bad settings.
inline constexpr int kExitBadUsage = 2;

/// Reads the flags and leaves other words in argv. Prints and ends the process with 0 for --help
/// (`usage`, and the flags of source files whose path holds `own_files`) and --version, and with
/// kExitBadUsage for a bad flag.
void ParseProgramFlags(const std::string& usage, const std::string& own_files, int* argc,
                       char*** argv);

}  // namespace ladderstream::settings
