// ladderstream_operatord: the operators' endpoint. Keeps nothing: any number may run, anywhere from
// where the metadata store can be reached.
//
// Exit codes: 0 after SIGTERM or SIGINT; 1 when it cannot start; 2 for faults in the flags.
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>
#include <gflags/gflags.h>
#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "operator_service/blocking_store.h"
#include "operator_service/change_runner.h"
#include "operator_service/operator_server.h"
#include "platform/adapter.h"
#include "settings/program_flags.h"
#include "wire/result_code.h"

DEFINE_string(listen, "127.0.0.1:9000", "where operators call, IP:PORT");
DEFINE_string(store, "", "address of the metadata store, IP:PORT");
DEFINE_string(store_timeout, "1s", "how long one call to the store may take");
DEFINE_uint32(row_bytes, 65536, "the longest value that the store takes");

namespace ladderstream::operator_service {
namespace {

constexpr Duration kStopGrace = absl::Seconds(2);

struct Flags {
  Endpoint listen;
  Endpoint store;
  Duration store_timeout;
};

/// Reads one flag, or notes what is wrong with it.
Endpoint ReadEndpoint(const char* flag, const std::string& text, std::vector<std::string>* faults) {
  try {
    return ParseEndpoint(text);
  } catch (const Error&) {
    faults->push_back(absl::StrCat("--", flag, "=", text, "; allowed: IP:PORT"));
    return {};
  }
}

Flags ReadFlags(std::vector<std::string>* faults) {
  Flags flags;
  flags.listen = ReadEndpoint("listen", FLAGS_listen, faults);
  flags.store = ReadEndpoint("store", FLAGS_store, faults);
  if (!absl::ParseDuration(FLAGS_store_timeout, &flags.store_timeout) ||
      flags.store_timeout <= absl::ZeroDuration()) {
    faults->push_back(
        absl::StrCat("--store_timeout=", FLAGS_store_timeout, "; allowed: a duration such as 1s"));
  }
  if (FLAGS_row_bytes == 0) {
    faults->push_back("--row_bytes=0; allowed: more than 0");
  }
  return flags;
}

/// Blocked before any thread starts, so that Run alone takes them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void Run(const Flags& flags) {
  const sigset_t signals = BlockStopSignals();
  const interfaces::PlatformAdapterPtr adapter = platform::MakeAdapter();
  BlockingStore store(adapter, flags.store, flags.store_timeout);
  OperatorServer server(&store, MakeFormat(adapter, FLAGS_row_bytes), flags.listen);
  std::cout << "listening at " << FormatEndpoint(server.endpoint()) << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop(kStopGrace);
}

int Main(int argc, char** argv) {
  settings::ParseProgramFlags("ladderstream_operatord --store=IP:PORT [--listen=IP:PORT]",
                              "operator_service/", &argc, &argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> faults;
  const Flags flags = ReadFlags(&faults);
  if (!faults.empty()) {
    for (const std::string& fault : faults) {
      std::cerr << fault << '\n';
    }
    return settings::kExitBadUsage;
  }
  try {
    Run(flags);
    return EXIT_SUCCESS;
  } catch (const Error& error) {
    std::cerr << "ladderstream_operatord: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace
}  // namespace ladderstream::operator_service

int main(int argc, char** argv) { return ladderstream::operator_service::Main(argc, argv); }
