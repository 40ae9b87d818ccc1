// Recorded traces: what was asked and what failed, when. docs/REHEARSAL.md describes the format.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "rehearsal/fault_schedule.h"

namespace ladderstream::rehearsal {

struct TraceHeader {
  /// The deployment whose services and back ends the trace is about.
  std::string deployment;
  uint32_t nodes = 3;
  absl::Duration length;
  /// Where it comes from, for readers.
  std::string origin;
  /// Of everything that a replay draws.
  uint64_t seed = 1;
};

/// Requests of one kind that came within `kBatchLength`, evenly spread over it.
struct RequestBatch {
  absl::Duration at;
  std::string service;
  std::string request;
  /// The numbers in the keys, which follow the service's first prefix.
  std::vector<uint32_t> keys;
};

inline constexpr absl::Duration kBatchLength = absl::Milliseconds(500);

struct Trace {
  TraceHeader header;
  /// In order of `at`.
  std::vector<RequestBatch> batches;
  /// In order of `from`.
  std::vector<Fault> faults;
};

/// Writes one JSON object a line.
void WriteTrace(const Trace& trace, std::ostream& output);

/// Throws Error(kMalformedMessage) naming the line that is wrong.
Trace ReadTrace(std::istream& input);

/// Collects single requests into batches.
class BatchCollector {
 public:
  /// Requests may come in any order of time.
  void Add(absl::Duration at, const std::string& service, const std::string& request, uint32_t key);
  /// Gives the batches in order.
  std::vector<RequestBatch> Take();

 private:
  std::vector<RequestBatch> batches_;
};

}  // namespace ladderstream::rehearsal
