// standin_backend: a server that owns keys, for tests and rehearsals.
#include <absl/random/random.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <vector>

#include "standin/backend/backend_server.h"
#include "standin/support/program_flags.h"
#include "standin/support/signals.h"

DEFINE_string(id, "", "the name under which operators registered this back end");
DEFINE_string(service, "", "the service it serves");
DEFINE_string(routing, "key", "how the service is routed: by key (under grants) or by load");
DEFINE_string(zone, "", "its zone");
DEFINE_string(listen, "127.0.0.1:0", "where it serves (port 0: any)");
DEFINE_string(nodes, "", "HTTP addresses of the nodes to ask for the lease, separated by commas");
DEFINE_string(source_address, "", "the IP number it connects to nodes from; empty: any");
DEFINE_int32(lease_timeout_ms, 200, "how long one node may take to answer a lease request");
DEFINE_uint32(range_count, 256, "the service's number of ranges, a power of two");
DEFINE_uint32(slots, 2, "requests it runs at once");
DEFINE_uint32(queue_limit, 8, "requests that may wait for a slot; more are shed");
DEFINE_uint32(max_connections, 130, "connections it accepts");
DEFINE_double(connect_cost_ms, 0, "what a new connection costs");
DEFINE_double(probe_cost_ms, 0, "what a call of /health or /load costs");
DEFINE_double(service_time_ms, 2, "mean time that a request takes");
DEFINE_string(service_time_distribution, "fixed", "fixed, uniform or exponential");
DEFINE_double(cold_factor, 1, "how much slower it is just after its start");
DEFINE_int32(cold_ms, 0, "how long it takes to become warm");
DEFINE_int32(report_lag_ms, 0, "how old the picture is that /health and /load show");
DEFINE_uint32(body_bytes, 0, "smallest size of an answer's body");
DEFINE_int32(leave_quiet_ms, 500, "on SIGTERM: how long no request must have come before it ends");
DEFINE_int32(leave_timeout_ms, 10000, "on SIGTERM: after this, new requests are refused");
DEFINE_string(record_file, "", "where what ran is written; empty: in memory alone");
DEFINE_uint64(seed, 1, "of the random service times");
DEFINE_bool(ignore_grants, false, "serve without a grant or a lease (a broken back end)");

namespace ladderstream::standin {
namespace {

void CheckNumbers(FlagChecks& checks) {
  const bool power_of_two =
      FLAGS_range_count > 0 && (FLAGS_range_count & (FLAGS_range_count - 1)) == 0;
  checks.Require(power_of_two, "range_count", std::to_string(FLAGS_range_count), "a power of two");
  checks.Require(FLAGS_slots > 0, "slots", std::to_string(FLAGS_slots), "1 or more");
  checks.Require(FLAGS_max_connections > 0, "max_connections",
                 std::to_string(FLAGS_max_connections), "1 or more");
  checks.Require(FLAGS_service_time_ms >= 0, "service_time_ms",
                 std::to_string(FLAGS_service_time_ms), "0 or more");
  checks.Require(FLAGS_cold_factor >= 1, "cold_factor", std::to_string(FLAGS_cold_factor),
                 "1 or more");
  checks.Require(FLAGS_lease_timeout_ms > 0, "lease_timeout_ms",
                 std::to_string(FLAGS_lease_timeout_ms), "1 or more");
}

ServiceTimeDistribution ReadDistribution(FlagChecks& checks) {
  const std::string& name = FLAGS_service_time_distribution;
  checks.Require(name == "fixed" || name == "uniform" || name == "exponential",
                 "service_time_distribution", name, "fixed, uniform or exponential");
  if (name == "uniform") {
    return ServiceTimeDistribution::kUniform;
  }
  return name == "exponential" ? ServiceTimeDistribution::kExponential
                               : ServiceTimeDistribution::kFixed;
}

std::vector<Endpoint> ReadNodes(FlagChecks& checks) {
  const std::vector<std::string> addresses = absl::StrSplit(FLAGS_nodes, ',');
  std::vector<Endpoint> nodes;
  nodes.reserve(addresses.size());
  for (const std::string& node : addresses) {
    nodes.push_back(checks.RequireEndpoint("nodes", node, /*any_port=*/false));
  }
  return nodes;
}

RunnerSettings ReadRunnerSettings(FlagChecks& checks) {
  RunnerSettings runner;
  runner.range_count = FLAGS_range_count;
  runner.slots = FLAGS_slots;
  runner.queue_limit = FLAGS_queue_limit;
  runner.service_time = absl::Milliseconds(FLAGS_service_time_ms);
  runner.distribution = ReadDistribution(checks);
  runner.cold_factor = FLAGS_cold_factor;
  runner.cold_duration = absl::Milliseconds(FLAGS_cold_ms);
  runner.seed = FLAGS_seed;
  checks.Require(FLAGS_routing == "key" || FLAGS_routing == "load", "routing", FLAGS_routing,
                 "key or load");
  runner.needs_grants = FLAGS_routing == "key" && !FLAGS_ignore_grants;
  return runner;
}

BackendSettings ReadSettings() {
  FlagChecks checks;
  checks.Require(!FLAGS_id.empty(), "id", FLAGS_id, "a name");
  checks.Require(!FLAGS_service.empty(), "service", FLAGS_service, "a name");
  CheckNumbers(checks);
  BackendSettings settings;
  settings.id = BackendId(FLAGS_id);
  settings.service = ServiceName(FLAGS_service);
  settings.zone = FLAGS_zone;
  settings.listen = checks.RequireEndpoint("listen", FLAGS_listen, /*any_port=*/true);
  settings.connections.max_connections = FLAGS_max_connections;
  settings.connections.connect_cost = absl::Milliseconds(FLAGS_connect_cost_ms);
  settings.runner = ReadRunnerSettings(checks);
  settings.lease.backend = settings.id;
  settings.lease.incarnation = BackendIncarnation(absl::Uniform<uint64_t>(absl::BitGen()));
  settings.lease.nodes = ReadNodes(checks);
  settings.lease.source_address = FLAGS_source_address;
  settings.lease.timeout = absl::Milliseconds(FLAGS_lease_timeout_ms);
  settings.body_bytes = FLAGS_body_bytes;
  settings.probe_cost = absl::Milliseconds(FLAGS_probe_cost_ms);
  settings.report_lag = absl::Milliseconds(FLAGS_report_lag_ms);
  settings.leave_quiet = absl::Milliseconds(FLAGS_leave_quiet_ms);
  settings.leave_timeout = absl::Milliseconds(FLAGS_leave_timeout_ms);
  settings.record_file = FLAGS_record_file;
  checks.ExitOnFaults();
  return settings;
}

int Run() {
  const StopSignals signals;
  BackendServer server(ReadSettings());
  std::cout << "listening http " << FormatEndpoint(server.endpoint()) << std::endl;
  signals.Wait();
  server.Leave();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace ladderstream::standin

int main(int argc, char** argv) {
  ladderstream::standin::ParseProgramFlags("Stands in for a server that owns keys.", argc, argv);
  return ladderstream::standin::RunProgram(ladderstream::standin::Run);
}
