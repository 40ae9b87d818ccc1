// What back ends ran and held, by their own records: the second half of what the judge compares.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <filesystem>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "wire/identifiers.h"
#include "wire/ownership.h"

namespace ladderstream::rehearsal {

/// One request that a back end began. Times are CLOCK_BOOTTIME readings.
struct Execution {
  BackendId backend;
  std::string incarnation;
  /// What AttemptId gave.
  std::string attempt_id;
  std::string service;
  std::string key;
  std::string request;
  /// All zero for services routed by load.
  GrantToken token;
  absl::Time started;
  /// When it took effect; InfiniteFuture when it never did.
  absl::Time finished = absl::InfiniteFuture();

  bool TookEffect() const { return finished != absl::InfiniteFuture(); }
};

/// A time during which a back end held a shard: it had the grant and a lease.
struct Tenure {
  ShardId shard;
  BackendId backend;
  std::string incarnation;
  GrantToken token;
  absl::Time from;
  absl::Time until;
};

struct BackendRecord {
  std::vector<Execution> executions;
  std::vector<Tenure> tenures;
};

/// Reads a record file, one JSON event a line, and adds it to `record`. A last line cut off by a
/// kill is left out. Throws Error(kMalformedMessage) for any other bad line.
void ReadBackendRecord(std::istream& input, BackendRecord& record);

/// Reads every record file of a directory (names ending in ".record").
BackendRecord ReadBackendRecords(const std::filesystem::path& directory);

}  // namespace ladderstream::rehearsal
