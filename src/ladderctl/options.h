// The flags of ladderctl, as typed values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::ladderctl {

enum class OutputFormat { kTable, kJson };

/// What a service shall be like; what is empty was not given.
struct ServiceOptions {
  std::optional<bool> sharded;
  std::optional<uint32_t> warmup_ms;
  std::optional<std::string> health_path;
  std::optional<uint32_t> max_connections;
};

struct RouteOptions {
  std::optional<std::string> host;
  std::optional<std::string> path_prefix;
  std::optional<bool> repeatable;
  std::optional<uint32_t> timeout_ms;
  std::optional<uint32_t> target_latency_ms;
  std::optional<uint32_t> max_attempts;
  std::optional<uint32_t> priority;
  std::optional<std::string> targets;
};

struct LimitsOptions {
  std::optional<uint64_t> max_header_bytes;
  std::optional<uint64_t> max_body_bytes;
  std::optional<uint32_t> header_timeout_ms;
  std::optional<uint32_t> idle_timeout_ms;
};

struct Options {
  std::vector<std::string> servers;
  OutputFormat output = OutputFormat::kTable;
  Duration timeout = absl::Seconds(10);
  std::string operation_id;
  std::optional<uint64_t> expected_revision;
  bool any_revision = false;
  std::string name;
  /// Filters of lists.
  std::string service_filter;
  std::string backend_filter;
  ServiceOptions service;
  RouteOptions route;
  LimitsOptions limits;
};

/// Reads the flags, which have been parsed. Throws UsageError.
Options ReadOptions();

}  // namespace ladderstream::ladderctl
