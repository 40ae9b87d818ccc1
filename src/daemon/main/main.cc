// ladderstreamd: the daemon that every node runs.
//
// Exit codes: 0 after a planned stop or a check without faults; 1 when the node can't start; 2 for
// faults in the settings; 3 when a planned stop ran out of time.
#include <pthread.h>

#include <csignal>
#include <exception>

#include "daemon/main/daemon.h"
#include "logging/log.h"
#include "settings/daemon_command_line.h"

namespace ladderstream::daemon {
namespace {

enum ExitCode : int { kStopped = 0, kCannotStart = 1, kStopTimedOut = 3 };

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Before any thread starts: all leave the stop signals to the one that waits for them, and a
/// connection that goes while it is written to is an error there, not the end of the process.
void SetUpSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int signal = 0;
  sigwait(&signals, &signal);
  Log(Part::kMain, Severity::kInfo, "Signal received.", {{"signal", signal}});
}

int Run(const settings::DaemonSettings& settings) {
  Severity severity = Severity::kInfo;
  ParseSeverity(settings.log_level, &severity);
  SetUpLogging(severity);
  Daemon daemon(settings);
  daemon.Start();
  WaitForStopSignal();
  return daemon.Stop() ? kStopped : kStopTimedOut;
}

int Main(int argc, char** argv) {
  const settings::DaemonCommandLine command_line = settings::ReadDaemonCommandLine(&argc, &argv);
  if (command_line.exit_code) {
    return *command_line.exit_code;
  }
  SetUpSignals();
  try {
    return Run(command_line.settings);
  } catch (const std::exception& error) {
    Log(Part::kMain, Severity::kError, "The node can't run.", {{"error", error.what()}});
    return kCannotStart;
  }
}

}  // namespace
}  // namespace ladderstream::daemon

int main(int argc, char** argv) { return ladderstream::daemon::Main(argc, argv); }
