// standin_platform: a small table service, object store and machine list for tests.
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "standin/platform/platform.h"
#include "standin/support/program_flags.h"
#include "standin/support/signals.h"

DEFINE_string(table, "127.0.0.1:0", "where the table service listens (port 0: any)");
DEFINE_string(objects, "127.0.0.1:0", "where the object store listens (port 0: any)");
DEFINE_string(machines, "127.0.0.1:0", "where the machine list listens (port 0: any)");
DEFINE_string(control, "127.0.0.1:0", "where faults are steered (port 0: any)");
DEFINE_double(table_rate_limit, 0, "transactions per second; 0 for no limit");
DEFINE_double(object_rate_limit, 0, "object requests per second; 0 for no limit");
DEFINE_int32(machine_list_lag_ms, 2000, "how old the machine list's picture is, in ms");

namespace ladderstream::standin {
namespace {

PlatformSettings ReadSettings() {
  FlagChecks checks;
  PlatformSettings settings;
  settings.table = checks.RequireEndpoint("table", FLAGS_table, /*any_port=*/true);
  settings.objects = checks.RequireEndpoint("objects", FLAGS_objects, /*any_port=*/true);
  settings.machines = checks.RequireEndpoint("machines", FLAGS_machines, /*any_port=*/true);
  settings.control = checks.RequireEndpoint("control", FLAGS_control, /*any_port=*/true);
  checks.Require(FLAGS_table_rate_limit >= 0, "table_rate_limit",
                 std::to_string(FLAGS_table_rate_limit), "0 or more");
  checks.Require(FLAGS_object_rate_limit >= 0, "object_rate_limit",
                 std::to_string(FLAGS_object_rate_limit), "0 or more");
  checks.Require(FLAGS_machine_list_lag_ms >= 0, "machine_list_lag_ms",
                 std::to_string(FLAGS_machine_list_lag_ms), "0 or more");
  checks.ExitOnFaults();
  settings.table_rate_limit = FLAGS_table_rate_limit;
  settings.object_rate_limit = FLAGS_object_rate_limit;
  settings.machine_list_lag = absl::Milliseconds(FLAGS_machine_list_lag_ms);
  return settings;
}

int Run() {
  const StopSignals signals;
  const Platform platform(ReadSettings());
  std::cout << "listening table " << FormatEndpoint(platform.table()) << "\n"
            << "listening objects " << FormatEndpoint(platform.objects()) << "\n"
            << "listening machines " << FormatEndpoint(platform.machines()) << "\n"
            << "listening control " << FormatEndpoint(platform.control()) << std::endl;
  signals.Wait();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace ladderstream::standin

int main(int argc, char** argv) {
  ladderstream::standin::ParseProgramFlags(
      "Stands in for the platform: table service, object store and machine list.", argc, argv);
  return ladderstream::standin::RunProgram(ladderstream::standin::Run);
}
