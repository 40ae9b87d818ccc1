// The command line of ladderstreamd: --settings, --set, --check_settings, --help, --version.
#pragma once

#include <optional>

#include "settings/daemon_settings.h"

namespace ladderstream::settings {

/// What the command line asks for.
struct DaemonCommandLine {
  /// Set when the process shall end at once with this code: 0 after --check_settings without
  /// faults, 2 after faults, which have been printed to standard error.
  std::optional<int> exit_code;
  /// Valid when `exit_code` is empty.
  DaemonSettings settings;
};

/// Reads the flags (and ends the process itself for --help and --version).
DaemonCommandLine ReadDaemonCommandLine(int* argc, char*** argv);

}  // namespace ladderstream::settings
