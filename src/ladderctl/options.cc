#include "ladderctl/options.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <random>

#include "ladderctl/usage_error.h"

DEFINE_string(
    servers, "127.0.0.1:9000",
    "addresses of ladderstream_operatord, IP:PORT with commas; the next is tried when one "
    "is unreachable");
DEFINE_string(output, "table", "table or json");
DEFINE_string(timeout, "10s", "how long one call may take");
DEFINE_string(operation_id, "", "changes: operation id; drawn and printed when not given");
DEFINE_int64(expected_revision, -1, "changes: refused unless this revision is the newest");
DEFINE_bool(any_revision, false, "changes: take effect whatever the revision");
DEFINE_string(name, "", "name of a service or route");
DEFINE_bool(sharded, false, "service: each back end owns a part of the keys");
DEFINE_uint32(warmup_ms, 0, "service: how long keys without a handover are slow");
DEFINE_string(health_path, "", "service: where back ends are asked for their health");
DEFINE_uint32(max_connections, 0, "service: connections that a back end takes from all nodes");
DEFINE_string(host, "", "route: host of its requests");
DEFINE_string(path_prefix, "", "route: begins and ends with a slash");
DEFINE_bool(repeatable, false, "route: running a request twice is harmless");
DEFINE_uint32(timeout_ms, 0, "route: the longest time that a request is held; 0: no bound");
DEFINE_uint32(target_latency_ms, 0, "route: within this an answer is worth its full value");
DEFINE_uint32(max_attempts, 1, "route: the most back ends that one request may be sent to");
DEFINE_uint32(priority, 0, "route: 0 is the highest rank");
DEFINE_string(targets, "", "route: SERVICE or SERVICE:WEIGHT,...");
DEFINE_uint64(max_header_bytes, 0, "limits");
DEFINE_uint64(max_body_bytes, 0, "limits");
DEFINE_uint32(header_timeout_ms, 0, "limits: for a request's headers to arrive");
DEFINE_uint32(idle_timeout_ms, 0, "limits: for a connection to rest");
DEFINE_string(service, "", "lists: of this service only");
DEFINE_string(backend, "", "lists: of this back end only");

namespace ladderstream::ladderctl {
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
  options.sharded = IfGiven("sharded", FLAGS_sharded);
  options.warmup_ms = IfGiven("warmup_ms", FLAGS_warmup_ms);
  options.health_path = IfGiven("health_path", FLAGS_health_path);
  options.max_connections = IfGiven("max_connections", FLAGS_max_connections);
  return options;
}

RouteOptions ReadRouteOptions() {
  RouteOptions options;
  options.host = IfGiven("host", FLAGS_host);
  options.path_prefix = IfGiven("path_prefix", FLAGS_path_prefix);
  options.repeatable = IfGiven("repeatable", FLAGS_repeatable);
  options.timeout_ms = IfGiven("timeout_ms", FLAGS_timeout_ms);
  options.target_latency_ms = IfGiven("target_latency_ms", FLAGS_target_latency_ms);
  options.max_attempts = IfGiven("max_attempts", FLAGS_max_attempts);
  options.priority = IfGiven("priority", FLAGS_priority);
  options.targets = IfGiven("targets", FLAGS_targets);
  return options;
}

LimitsOptions ReadLimitsOptions() {
  LimitsOptions options;
  options.max_header_bytes = IfGiven("max_header_bytes", FLAGS_max_header_bytes);
  options.max_body_bytes = IfGiven("max_body_bytes", FLAGS_max_body_bytes);
  options.header_timeout_ms = IfGiven("header_timeout_ms", FLAGS_header_timeout_ms);
  options.idle_timeout_ms = IfGiven("idle_timeout_ms", FLAGS_idle_timeout_ms);
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
  options.servers = absl::StrSplit(FLAGS_servers, ',', absl::SkipEmpty());
  if (options.servers.empty()) {
    throw UsageError("--servers is empty; allowed: IP:PORT,...");
  }
  options.output = ReadOutput();
  options.timeout = ReadDuration("timeout", FLAGS_timeout);
  options.operation_id = FLAGS_operation_id.empty() ? DrawOperationId() : FLAGS_operation_id;
  if (FLAGS_expected_revision >= 0) {
    options.expected_revision = static_cast<uint64_t>(FLAGS_expected_revision);
  }
  options.any_revision = FLAGS_any_revision;
  options.name = FLAGS_name;
  options.service_filter = FLAGS_service;
  options.backend_filter = FLAGS_backend;
  options.service = ReadServiceOptions();
  options.route = ReadRouteOptions();
  options.limits = ReadLimitsOptions();
  return options;
}

}  // namespace ladderstream::ladderctl
