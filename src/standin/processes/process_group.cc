#include "standin/processes/process_group.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include "standin/processes/ports.h"
#include "wire/result_code.h"

namespace ladderstream::standin {
namespace {

constexpr int kExecFailed = 127;
constexpr mode_t kLogMode = 0644;

[[noreturn]] void Fail(const std::string& what) { throw Error(ResultCode::kInternal, what); }

// Runs in the new process, where only async-signal-safe calls are allowed.
[[noreturn]] void Execute(pid_t parent, int log, char* const* arguments) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kExecFailed);
  }
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

std::filesystem::path MakeTemporaryDirectory() {
  std::string pattern = (std::filesystem::temp_directory_path() / "ladderstream-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    Fail(absl::StrCat("cannot make a temporary directory: ", std::strerror(errno)));
  }
  return pattern;
}

std::string ReadFile(const std::filesystem::path& path) {
  const std::ifstream file(path);
  std::ostringstream contents;
  contents << file.rdbuf();
  return contents.str();
}

ExitStatus ToExitStatus(int status) {
  if (WIFEXITED(status)) {
    return ExitStatus{.code = WEXITSTATUS(status), .signal = 0};
  }
  return ExitStatus{.code = std::nullopt, .signal = WTERMSIG(status)};
}

}  // namespace

ProcessGroup::ProcessGroup() : directory_(MakeTemporaryDirectory()) {}

ProcessGroup::~ProcessGroup() {
  for (auto& [name, process] : processes_) {
    if (!process.exit) {
      kill(process.id, SIGKILL);
      Reap(process, /*wait=*/true);
    }
  }
  if (!keep_directory_) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }
}

std::filesystem::path ProcessGroup::WriteFile(const std::string& name,
                                              const std::string& contents) const {
  std::filesystem::path path = directory_ / name;
  std::ofstream file(path, std::ios::trunc);
  file << contents;
  file.close();
  if (!file) {
    Fail(absl::StrCat("cannot write ", path.string()));
  }
  return path;
}

pid_t ProcessGroup::Start(const ProcessSpec& spec) {
  CheckThread();
  const auto found = processes_.find(spec.name);
  if (found != processes_.end()) {
    Reap(found->second, /*wait=*/false);
    if (!found->second.exit) {
      Fail(absl::StrCat(spec.name, " is running already"));
    }
  }
  if (access(spec.program.c_str(), X_OK) != 0) {
    Fail(absl::StrCat("cannot run ", spec.program, ": ", std::strerror(errno)));
  }
  const pid_t id = Spawn(spec);
  processes_[spec.name] = Process{.spec = spec, .id = id, .exit = std::nullopt};
  return id;
}

pid_t ProcessGroup::Restart(const std::string& name) {
  const ProcessSpec spec = Find(name).spec;
  return Start(spec);
}

void ProcessGroup::Signal(const std::string& name, int signal) {
  Process& process = Find(name);
  Reap(process, /*wait=*/false);
  if (process.exit) {
    Fail(absl::StrCat(name, " is not running"));
  }
  kill(process.id, signal);
}

void ProcessGroup::Kill(const std::string& name) {
  Signal(name, SIGKILL);
  Reap(Find(name), /*wait=*/true);
}

std::optional<ExitStatus> ProcessGroup::WaitForExit(const std::string& name,
                                                    absl::Duration timeout) {
  Process& process = Find(name);
  WaitUntil(
      [&process] {
        Reap(process, /*wait=*/false);
        return process.exit.has_value();
      },
      timeout);
  return process.exit;
}

bool ProcessGroup::IsRunning(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) {
    return false;
  }
  Reap(found->second, /*wait=*/false);
  return !found->second.exit;
}

pid_t ProcessGroup::ProcessId(const std::string& name) const { return Find(name).id; }

ProcessorTime ProcessGroup::ReadProcessorTime(const std::string& name) const {
  const std::string stat = ReadFile(absl::StrCat("/proc/", Find(name).id, "/stat"));
  // The program's name, in brackets, may hold spaces; the fields after it are counted from 3.
  const size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) {
    Fail(absl::StrCat(name, " is not running"));
  }
  const std::vector<std::string> fields = absl::StrSplit(stat.substr(name_end + 2), ' ');
  constexpr size_t kUserTime = 14 - 3;
  constexpr size_t kSystemTime = 15 - 3;
  const double ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  return ProcessorTime{
      .user = absl::Seconds(std::stod(fields.at(kUserTime)) / ticks_per_second),
      .system = absl::Seconds(std::stod(fields.at(kSystemTime)) / ticks_per_second)};
}

uint64_t ProcessGroup::ReadPeakMemoryMb(const std::string& name) const {
  constexpr char kField[] = "VmHWM:";
  constexpr uint64_t kKilobytesPerMegabyte = 1024;
  const std::string status = ReadFile(absl::StrCat("/proc/", Find(name).id, "/status"));
  const size_t field = status.find(kField);
  if (field == std::string::npos) {
    Fail(absl::StrCat(name, " is not running"));
  }
  return std::stoull(status.substr(field + sizeof(kField) - 1)) / kKilobytesPerMegabyte;
}

std::string ProcessGroup::ReadLog(const std::string& name) const {
  return ReadFile(directory_ / absl::StrCat(name, ".log"));
}

std::vector<std::string> ProcessGroup::Running() {
  std::vector<std::string> names;
  for (auto& [name, process] : processes_) {
    if (IsRunning(name)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> ProcessGroup::StopAll(absl::Duration grace) {
  for (const std::string& name : Running()) {
    // A stopped process would not see SIGTERM.
    Signal(name, SIGCONT);
    Signal(name, SIGTERM);
  }
  WaitUntil([this] { return Running().empty(); }, grace);
  std::vector<std::string> killed = Running();
  for (const std::string& name : killed) {
    Kill(name);
  }
  return killed;
}

ProcessGroup::Process& ProcessGroup::Find(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) {
    Fail(absl::StrCat("no process is named ", name));
  }
  return found->second;
}

const ProcessGroup::Process& ProcessGroup::Find(const std::string& name) const {
  return const_cast<ProcessGroup*>(this)->Find(name);
}

void ProcessGroup::Reap(Process& process, bool wait) {
  if (process.exit) {
    return;
  }
  int status = 0;
  pid_t result = 0;
  do {
    result = waitpid(process.id, &status, wait ? 0 : WNOHANG);
  } while (result < 0 && errno == EINTR);
  if (result == process.id) {
    process.exit = ToExitStatus(status);
  }
}

pid_t ProcessGroup::Spawn(const ProcessSpec& spec) const {
  std::vector<std::string> words = {spec.program};
  words.insert(words.end(), spec.arguments.begin(), spec.arguments.end());
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const std::string log_path = (directory_ / absl::StrCat(spec.name, ".log")).string();
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  if (log < 0) {
    Fail(absl::StrCat("cannot write ", log_path, ": ", std::strerror(errno)));
  }
  const pid_t parent = getpid();
  const pid_t id = fork();
  if (id == 0) {
    Execute(parent, log, arguments.data());
  }
  close(log);
  if (id < 0) {
    Fail(absl::StrCat("cannot start ", spec.name, ": ", std::strerror(errno)));
  }
  return id;
}

void ProcessGroup::CheckThread() const {
  if (std::this_thread::get_id() != thread_) {
    Fail("a process group starts processes on the thread that made it");
  }
}

}  // namespace ladderstream::standin
