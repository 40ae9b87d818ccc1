// What the stand-ins' command lines have in common: --help, --version, and clear refusals.
#pragma once

#include <string>
#include <vector>

#include "wire/identifiers.h"

namespace ladderstream::standin {

/// The exit code of a program that was started with a bad command line.
inline constexpr int kBadCommandLine = 2;

/// Reads the command line into the gflags. Prints and ends the process with code 0 for --help and
/// --version, and with kBadCommandLine for unknown flags, unreadable values or stray arguments.
void ParseProgramFlags(const std::string& usage, int argc, char** argv);

/// Runs `program`; prints an Error and gives kBadCommandLine when an address can't be used.
int RunProgram(int (*program)());

/// Collects every fault of the flags' values, so that all are told at once.
class FlagChecks {
 public:
  /// Notes a fault unless `holds`.
  void Require(bool holds, const std::string& flag, const std::string& value,
               const std::string& allowed);

  /// Reads "IP:PORT"; port 0 is allowed only with `any_port` (the system then picks one).
  Endpoint RequireEndpoint(const std::string& flag, const std::string& value, bool any_port);

  /// Ends the process with kBadCommandLine after printing the faults; does nothing without any.
  void ExitOnFaults() const;

 private:
  std::vector<std::string> faults_;
};

}  // namespace ladderstream::standin
