// Starts, signals and ends the processes of a deployment under test.
//
// Every process that a group started is ended with the group, and also when the program
// itself dies: each gets SIGKILL when the thread that started it ends. So a group is used on one
// thread, which must outlive the processes. Errors are thrown as Error(kInternal).
#pragma once

#include <absl/time/time.h>
#include <sys/types.h>

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ladderstream::standin {

/// How a process ended.
struct ExitStatus {
  /// Empty when a signal ended it.
  std::optional<int> code;
  /// Zero when it exited by itself.
  int signal = 0;

  bool operator==(const ExitStatus&) const = default;
};

/// What to run.
struct ProcessSpec {
  /// Names the process in its group and names its log.
  std::string name;
  /// A path.
  std::string program;
  std::vector<std::string> arguments;
};

/// Processor time that a process has used so far.
struct ProcessorTime {
  absl::Duration user;
  absl::Duration system;
};

class ProcessGroup {
 public:
  /// Makes a temporary directory for settings files and logs.
  ProcessGroup();
  /// Ends everything with SIGKILL and removes the directory.
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  const std::filesystem::path& directory() const { return directory_; }

  /// Leaves the directory in place at the end, for a look at the logs.
  void KeepDirectory() { keep_directory_ = true; }

  /// Writes a file into the directory and gives its path.
  std::filesystem::path WriteFile(const std::string& name, const std::string& contents) const;

  /// Starts a process. Its output goes to `directory()/name.log`, appended when a process of that
  /// name ran before. Throws when one of that name is running or the program cannot be started.
  pid_t Start(const ProcessSpec& spec);

  /// Starts a process that has ended again, as it was started first.
  pid_t Restart(const std::string& name);

  /// Sends SIGTERM, SIGSTOP or another signal. Throws when the process is not running.
  void Signal(const std::string& name, int signal);

  /// Sends SIGKILL and waits for the end.
  void Kill(const std::string& name);

  /// Waits for the end of a process; nothing when it still runs after `timeout`.
  std::optional<ExitStatus> WaitForExit(const std::string& name, absl::Duration timeout);

  bool IsRunning(const std::string& name);

  /// Throws when the process never ran.
  pid_t ProcessId(const std::string& name) const;

  /// Of a running process.
  ProcessorTime ReadProcessorTime(const std::string& name) const;

  /// The most memory that a running process has had resident, in megabytes.
  uint64_t ReadPeakMemoryMb(const std::string& name) const;

  /// All that the process wrote so far.
  std::string ReadLog(const std::string& name) const;

  /// The names of the running processes, in order.
  std::vector<std::string> Running();

  /// Sends SIGTERM to all, waits for `grace`, and kills what is left. Gives the names of the
  /// killed.
  std::vector<std::string> StopAll(absl::Duration grace);

 private:
  struct Process {
    ProcessSpec spec;
    pid_t id = 0;
    std::optional<ExitStatus> exit;
  };

  Process& Find(const std::string& name);
  const Process& Find(const std::string& name) const;
  static void Reap(Process& process, bool wait);
  pid_t Spawn(const ProcessSpec& spec) const;
  void CheckThread() const;

  std::filesystem::path directory_;
  bool keep_directory_ = false;
  std::thread::id thread_ = std::this_thread::get_id();
  std::map<std::string, Process> processes_;
};

}  // namespace ladderstream::standin
