// The flags of ladderctl, as typed values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/time.h"

namespace ladderstream::operator_cli {

enum class OutputFormat { kTable, kJson };

/// What a service or back end shall be like; what is empty was not given.
struct ServiceOptions {
  std::optional<std::string> routing;
  std::optional<std::string> key_prefixes;
  std::optional<std::string> requests;
  std::optional<std::string> weights;
  std::optional<uint32_t> range_count;
  std::optional<uint32_t> max_body_bytes;
  std::optional<uint32_t> max_key_bytes;
  std::optional<uint32_t> max_queue;
  std::optional<uint32_t> retry_budget_permille;
  std::optional<uint32_t> hedge_after_ms;
};
struct BackendOptions {
  std::optional<std::string> service;
  std::optional<std::string> zone;
  std::optional<std::string> endpoint;
  std::optional<uint32_t> slots;
  std::optional<uint32_t> max_connections;
};

struct Options {
  std::vector<std::string> nodes;
  OutputFormat output = OutputFormat::kTable;
  Duration timeout = absl::Seconds(10);
  Duration interval = absl::Seconds(2);
  /// Rounds of watch; zero: until interrupted.
  uint32_t count = 0;
  /// Whether to wait until a drain or move is complete.
  bool wait = false;
  std::string operation_id;
  std::optional<uint64_t> expected_revision;
  bool any_revision = false;
  std::string name;
  std::string id;
  std::string key;
  std::string backend;
  ServiceOptions service;
  BackendOptions backend_options;
};

/// Reads the flags, which have been parsed. Throws UsageError.
Options ReadOptions();

}  // namespace ladderstream::operator_cli
