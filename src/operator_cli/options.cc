#include "operator_cli/options.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <random>

#include "operator_cli/usage_error.h"

DEFINE_string(nodes, "127.0.0.1:9000",
              "operator addresses of nodes, IP:PORT with commas; the next is tried when one is "
              "unreachable");
DEFINE_string(output, "table", "table or json");
DEFINE_string(timeout, "10s", "how long one call may take");
DEFINE_string(interval, "2s", "watch: time between two rounds");
DEFINE_uint32(count, 0, "watch: rounds; 0 goes on until interrupted");
DEFINE_bool(wait, false, "drain and move-key: return only when no key is left to move");
DEFINE_string(operation_id, "", "changes: operation id; drawn and printed when not given");
DEFINE_int64(expected_revision, -1, "changes: refused unless this revision is the newest");
DEFINE_bool(any_revision, false, "changes: take effect whatever the revision");
DEFINE_string(name, "", "name of a service");
DEFINE_string(id, "", "id of a back end");
DEFINE_string(key, "", "a key");
DEFINE_string(backend, "", "id of a back end to move to or to list");
DEFINE_string(routing, "by-key", "service: by-key or by-load");
DEFINE_string(key_prefixes, "", "service: prefixes of its keys, with commas");
DEFINE_string(requests, "",
              "service: requests as NAME:repeatable|once:critical|normal|bulk:DEADLINE_MS, with "
              "commas");
DEFINE_string(weights, "1:1:1", "service: costs as IMBALANCE:CHURN:UNAVAILABLE_TIME");
DEFINE_uint32(range_count, 0, "service: ranges of its key space, a power of two");
DEFINE_uint32(max_body_bytes, 0, "service: limit");
DEFINE_uint32(max_key_bytes, 0, "service: limit");
DEFINE_uint32(max_queue, 0, "service: requests that may wait for one back end");
DEFINE_uint32(retry_budget_permille, 0, "service: retries per thousand first tries");
DEFINE_uint32(hedge_after_ms, 0, "service: when a repeatable request is sent a second time");
DEFINE_string(service, "", "service of a back end, or to list");
DEFINE_string(zone, "", "back end: its zone");
DEFINE_string(endpoint, "", "back end: IP:PORT");
DEFINE_uint32(slots, 0, "back end: requests that it runs at once");
DEFINE_uint32(max_connections, 0, "back end: connections that it accepts from all nodes");

namespace ladderstream::operator_cli {
namespace {

template <typename Value>
std::optional<Value> IfGiven(const char* flag, const Value& value) {
  const bool given = !gflags::GetCommandLineFlagInfoOrDie(flag).is_default;
  return given ? std::optional<Value>(value) : std::nullopt;
}

Duration ReadDuration(const char* flag, const std::string& text) {
  Duration duration;
  if (!absl::ParseDuration(text, &duration) || duration <= absl::ZeroDuration()) {
    throw UsageError(absl::StrCat("--", flag, "=", text, "; allowed: a duration such as 2s"));
  }
  return duration;
}

std::string DrawOperationId() {
  std::random_device random;
  return absl::StrCat("ladderctl-", absl::Hex(random(), absl::kZeroPad8),
                      absl::Hex(random(), absl::kZeroPad8));
}

ServiceOptions ReadServiceOptions() {
  ServiceOptions options;
  options.routing = IfGiven("routing", FLAGS_routing);
  options.key_prefixes = IfGiven("key_prefixes", FLAGS_key_prefixes);
  options.requests = IfGiven("requests", FLAGS_requests);
  options.weights = IfGiven("weights", FLAGS_weights);
  options.range_count = IfGiven("range_count", FLAGS_range_count);
  options.max_body_bytes = IfGiven("max_body_bytes", FLAGS_max_body_bytes);
  options.max_key_bytes = IfGiven("max_key_bytes", FLAGS_max_key_bytes);
  options.max_queue = IfGiven("max_queue", FLAGS_max_queue);
  options.retry_budget_permille = IfGiven("retry_budget_permille", FLAGS_retry_budget_permille);
  options.hedge_after_ms = IfGiven("hedge_after_ms", FLAGS_hedge_after_ms);
  return options;
}

BackendOptions ReadBackendOptions() {
  BackendOptions options;
  options.service = IfGiven("service", FLAGS_service);
  options.zone = IfGiven("zone", FLAGS_zone);
  options.endpoint = IfGiven("endpoint", FLAGS_endpoint);
  options.slots = IfGiven("slots", FLAGS_slots);
  options.max_connections = IfGiven("max_connections", FLAGS_max_connections);
  return options;
}

OutputFormat ReadOutput() {
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    throw UsageError(absl::StrCat("--output=", FLAGS_output, "; allowed: table, json"));
  }
  return FLAGS_output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
}

}  // namespace

Options ReadOptions() {
  Options options;
  options.nodes = absl::StrSplit(FLAGS_nodes, ',', absl::SkipEmpty());
  if (options.nodes.empty()) {
    throw UsageError("--nodes is empty; allowed: IP:PORT,...");
  }
  options.output = ReadOutput();
  options.timeout = ReadDuration("timeout", FLAGS_timeout);
  options.interval = ReadDuration("interval", FLAGS_interval);
  options.count = FLAGS_count;
  options.wait = FLAGS_wait;
  options.operation_id = FLAGS_operation_id.empty() ? DrawOperationId() : FLAGS_operation_id;
  if (FLAGS_expected_revision >= 0) {
    options.expected_revision = static_cast<uint64_t>(FLAGS_expected_revision);
  }
  options.any_revision = FLAGS_any_revision;
  options.name = FLAGS_name;
  options.id = FLAGS_id;
  options.key = FLAGS_key;
  options.backend = FLAGS_backend;
  options.service = ReadServiceOptions();
  options.backend_options = ReadBackendOptions();
  return options;
}

}  // namespace ladderstream::operator_cli
